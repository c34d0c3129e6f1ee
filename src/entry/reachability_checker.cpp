#include "entry/reachability_checker.h"

#include <chrono>
#include <set>
#include <utility>

namespace cedarpoint {
namespace {

/// How long a connection may take. Not measured.
constexpr int connect_timeout_ms = 300;
/// Time between two attempts at one runner. Not measured.
constexpr duration attempt_interval = milliseconds{600};

} // namespace

reachability_checker::~reachability_checker() = default;

bool reachability_checker::was_tried_lately(instant now, const runner_id& runner) const
{
    const auto found = attempts_.find(runner);
    return found != attempts_.end() &&
           (!found->second->done || now - found->second->begun < attempt_interval);
}

void reachability_checker::check(instant now, const std::vector<suspect>& suspects)
{
    std::set<runner_id> named;
    for (const auto& each : suspects) {
        named.insert(each.runner);
        if (!was_tried_lately(now, each.runner)) {
            begin(now, each);
        }
    }
    std::erase_if(attempts_, [&](const auto& each) {
        return each.second->done && !named.contains(each.first);
    });
}

void reachability_checker::begin(instant now, const suspect& to)
{
    auto next = std::make_unique<attempt>();
    auto* each = next.get();
    each->begun = now;
    stream_socket::handlers handlers;
    handlers.on_connected = [this, each] { end(*each, true); };
    handlers.on_bytes = [](std::string_view) {};
    handlers.on_end = [this, each](socket_end) { end(*each, false); };
    each->socket = std::make_unique<stream_socket>(std::move(handlers));
    each->timer.setSingleShot(true);
    QObject::connect(&each->timer, &QTimer::timeout, [this, each] { end(*each, false); });
    attempts_[to.runner] = std::move(next);
    each->timer.start(connect_timeout_ms);
    each->socket->connect_to(to.address);
}

void reachability_checker::end(attempt& each, bool reachable)
{
    if (each.done) {
        return;
    }
    each.done = true;
    each.reachable = reachable;
    each.timer.stop();
    each.socket->close();
    if (on_result) {
        on_result();
    }
}

void reachability_checker::add_checks(instant now, health_report& out) const
{
    for (const auto& [runner, each] : attempts_) {
        if (each->done) {
            out.checks[runner] = {milliseconds{to_ms(now - each->begun)}, each->reachable};
        }
    }
}

} // namespace cedarpoint
