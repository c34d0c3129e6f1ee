#include "io/runner_pool.h"

#include "io/clock.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Interval at which connections that were idle for too long are closed.
constexpr int sweep_ms = 1000;

/// Deletes the connection from the event loop, because it may be the one whose handler runs now.
void dispose(std::unique_ptr<runner_connection> connection)
{
    connection.release()->deleteLater();
}

} // namespace

runner_pool::runner_pool() : runner_pool{pool_options{}} {}

runner_pool::runner_pool(pool_options options) : options_{options}
{
    QObject::connect(&sweeper_, &QTimer::timeout, [this] { sweep(); });
    sweeper_.start(sweep_ms);
}

runner_pool::~runner_pool() = default;

bool runner_pool::is_usable(const runner_connection& connection, instant now,
                            milliseconds max_idle) const
{
    if (!connection.is_reusable()) {
        return false;
    }
    auto limit = max_idle;
    if (const auto said = connection.keep_alive()) {
        limit = std::min<milliseconds>(limit, milliseconds{*said} - options_.keep_alive_margin);
    }
    return now - connection.idle_since() < limit;
}

runner_connection* runner_pool::take(const endpoint& to, milliseconds max_idle)
{
    const auto now = steady_now();
    auto& at = connections_[to];
    while (!at.idle.empty()) {
        auto connection = std::move(at.idle.back());
        at.idle.pop_back();
        if (is_usable(*connection, now, max_idle)) {
            auto* out = connection.get();
            at.busy.emplace(out, std::move(connection));
            return out;
        }
        dispose(std::move(connection));
    }
    auto connection = std::make_unique<runner_connection>(to);
    ++opened_;
    auto* out = connection.get();
    at.busy.emplace(out, std::move(connection));
    return out;
}

void runner_pool::release(runner_connection* connection)
{
    auto& at = connections_[connection->peer()];
    const auto found = at.busy.find(connection);
    if (found == at.busy.end()) {
        return;
    }
    auto owned = std::move(found->second);
    at.busy.erase(found);
    if (owned->is_reusable()) {
        at.idle.push_back(std::move(owned));
    }
    else {
        dispose(std::move(owned));
    }
}

std::size_t runner_pool::count(const endpoint& to) const
{
    const auto found = connections_.find(to);
    return found == connections_.end() ? 0 : found->second.idle.size() + found->second.busy.size();
}

std::size_t runner_pool::count() const
{
    std::size_t out = 0;
    for (const auto& [to, at] : connections_) {
        out += at.idle.size() + at.busy.size();
    }
    return out;
}

void runner_pool::sweep()
{
    const auto now = steady_now();
    for (auto& [to, at] : connections_) {
        std::vector<std::unique_ptr<runner_connection>> kept;
        for (auto& connection : at.idle) {
            if (is_usable(*connection, now, options_.max_idle)) {
                kept.push_back(std::move(connection));
            }
            else {
                dispose(std::move(connection));
            }
        }
        at.idle = std::move(kept);
    }
    std::erase_if(connections_, [](const auto& each) {
        return each.second.idle.empty() && each.second.busy.empty();
    });
}

} // namespace cedarpoint
