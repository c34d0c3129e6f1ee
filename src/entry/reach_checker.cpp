#include "entry/reach_checker.h"

#include <set>

namespace cedarpoint {
namespace {

constexpr int patience_ms = 300;
constexpr duration repeat_after = milliseconds{600};

} // namespace

reach_checker::~reach_checker() = default;

void reach_checker::check(instant now, const wire::fleet_update& update)
{
    std::set<runner_id> named;
    for (const auto& suspect : update.suspects()) {
        const runner_id runner{suspect.runner()};
        named.insert(runner);
        const auto known = attempts_.find(runner);
        const bool recent = known != attempts_.end() &&
                            (!known->second->done || now - known->second->begun < repeat_after);
        const auto at = endpoint::parse(suspect.address());
        if (!recent && at) {
            begin(now, runner, *at);
        }
    }
    std::erase_if(attempts_, [&](const auto& each) {
        return each.second->done && !named.contains(each.first);
    });
}

void reach_checker::begin(instant now, const runner_id& runner, const endpoint& at)
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
    attempts_[runner] = std::move(next);
    each->timer.start(patience_ms);
    each->socket->connect_to(at);
}

void reach_checker::end(attempt& each, bool reachable)
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

void reach_checker::fill(instant now, wire::fleet_follow& out) const
{
    for (const auto& [runner, each] : attempts_) {
        if (!each->done) {
            continue;
        }
        auto* check = out.add_checks();
        check->set_runner(runner.str());
        check->set_reachable(each->reachable);
        check->set_age_ms(static_cast<std::uint32_t>(to_ms(now - each->begun)));
    }
}

} // namespace cedarpoint
