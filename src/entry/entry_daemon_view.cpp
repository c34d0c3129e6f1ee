// What an entry daemon learns from the leader, and what it reports.

#include "entry/entry_daemon.h"

#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "io/clock.h"
#include "io/crash_log.h"
#include "io/log_line.h"

#include <utility>
#include <vector>

namespace cedarpoint {

void entry_daemon::on_view(view_copy::outcome outcome)
{
    context_.entry_daemons = follower_.followers();
    context_.targets.permits().set_daemons(context_.entry_daemons);
    if (outcome != view_copy::outcome::applied) {
        return;
    }
    const auto& view = follower_.view();
    const auto* accepted = view.configuration();
    if (accepted != nullptr && supersedes(accepted->revision(), installed_version_) &&
        accepted->revision() != unreadable_version_) {
        install_configuration(*accepted);
    }
    auto content = decode(view.items());
    context_.targets.update(steady_now(), content);
    context_.peers.update(steady_now(), content.entry_daemons);
    context_.crashes.set_leader_counts(steady_now(), std::move(content.crashes));
    for (const auto& each : std::vector(requests_.begin(), requests_.end())) {
        each->on_configuration_changed();
        each->on_targets_changed();
    }
    log_line("view")
        .with("term", view.term())
        .with("version", view.version())
        .with("targets", context_.targets.targets().size())
        .with("config", context_.routes == nullptr ? 0 : context_.routes->version())
        .write();
}

void entry_daemon::install_configuration(const wire::accepted_configuration& accepted)
{
    reason why;
    const auto document = read_document(accepted);
    auto read = context_.platform.read_stored_configuration(document.value_or(""), why);
    if (!read) {
        unreadable_version_ = accepted.revision();
        log_line("configuration_unreadable")
            .with("version", accepted.revision())
            .with("reason", document ? why.str() : "the compressed document is corrupt")
            .write();
        return;
    }
    installed_version_ = accepted.revision();
    context_.routes = std::make_shared<const route_table>(std::move(*read));
    const auto& view = follower_.view();
    log_line("in_force")
        .with("version", accepted.revision())
        .with("term", view.term())
        .with("view", view.version())
        .with("leader", follower_.leader().str())
        .write();
}

void entry_daemon::on_update(const wire::fleet_update& update)
{
    reachability_.check(steady_now(), decode_suspects(update));
    if (const auto loads = decode_loads(update)) {
        context_.targets.update_loads(*loads);
    }
    if (update.stamp_us() != 0) {
        const instant asked_at{duration{update.stamp_us()}};
        context_.targets.permits().on_grants(asked_at, decode_grants(update));
        context_.crashes.on_confirmed(steady_now(), update.term(), asked_at);
    }
}

health_report entry_daemon::make_report()
{
    const auto now = steady_now();
    health_report out;
    out.runners = context_.targets.take_observations(now);
    out.rate_limits = context_.targets.permits().take_observations(now);
    out.crashes = context_.crashes.unconfirmed();
    out.cuts = context_.crashes.unconfirmed_cuts(now);
    out.leaving = context_.targets.leaving_targets();
    out.cut_off = cut_off_since_.has_value();
    if (settings_.forwards && !context_.stop) {
        out.as_peer = {*settings_.forwards, settings_.failure_domain, out.cut_off};
    }
    out.demand = context_.demand;
    for (auto& [model, count] : context_.demand) {
        count = {};
    }
    reachability_.add_checks(now, out);
    return out;
}

void entry_daemon::on_runner_end_checked(const runner_id& runner, bool refused)
{
    const auto seen = context_.crashes.on_address_checked(steady_now(), runner, refused);
    if (seen.empty()) {
        return;
    }
    context_.metrics.count_runner_end();
    log_runner_end(runner, seen);
    follower_.report_soon();
}

} // namespace cedarpoint
