// How an entry daemon watches its paths to the runners and to the other entry daemons.

#include "entry/entry_daemon.h"
#include "io/clock.h"
#include "io/log_line.h"

#include <utility>

namespace cedarpoint {

void entry_daemon::check_paths(instant now)
{
    auto& targets = context_.targets;
    targets.check_silence(now);
    auto& paths = targets.paths();
    for (const auto& runner : paths.take_due_probes(now)) {
        if (const auto* target = targets.find(runner)) {
            path_prober_.probe(runner, target->address);
        }
    }
    const bool is_cut_off = paths.cut() && paths.cut()->is_confirmed;
    context_.metrics.set_paths(static_cast<double>(paths.count_failing()), is_cut_off);
    if (is_cut_off && !cut_off_since_) {
        on_cut_off(now, *paths.cut());
    }
    else if (!is_cut_off && cut_off_since_) {
        log_line("dependency_regained")
            .with("kind", "all runners")
            .with("after_ms", to_ms(now - *std::exchange(cut_off_since_, {})))
            .write();
        follower_.report_soon();
    }
}

void entry_daemon::on_cut_off(instant now, const path_monitor::cut_off& cut)
{
    cut_off_since_ = cut.since;
    log_line("dependency_lost")
        .with("kind", "all runners")
        .with("evidence", name_of(cut.evidence))
        .with("since_ms", to_ms(now - cut.since))
        .with("failing", context_.targets.paths().count_failing())
        .write();
    follower_.report_soon(); // so that no other daemon sends requests through this one
    for (const auto& each : std::vector(requests_.begin(), requests_.end())) {
        each->on_cut_off();
    }
}

void entry_daemon::on_path_probed(const runner_id& runner, connect_probe::result how)
{
    const auto now = steady_now();
    auto& targets = context_.targets;
    if (how == connect_probe::result::connected) {
        targets.on_connected(now, runner);
    }
    else {
        targets.on_unreachable(now, runner, how == connect_probe::result::refused);
    }
}

void entry_daemon::check_peers(instant now)
{
    for (const auto& peer : context_.peers.take_due_probes(now)) {
        peer_prober_.probe(peer, peer);
    }
}

} // namespace cedarpoint
