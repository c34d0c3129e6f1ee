// Messages from other daemons.

#include "control/control_plane_priv.h"

#include "cedarpoint/groups/drain_wire.h"

namespace cedarpoint {

void control_plane::receive(instant now, const wire::envelope& in)
{
    if (in.version() != protocol_version) {
        return;
    }
    last_message_at_[daemon_id{in.from()}] = now;
    switch (in.body_case()) {
    case wire::envelope::kRaft:
        return on_raft(now, in);
    case wire::envelope::kSubmit:
        return on_submit(now, in);
    case wire::envelope::kSubmitAnswer:
        return client_.on_answer(now, in.submit_answer());
    case wire::envelope::kConfigPull:
        return on_config_pull(in);
    case wire::envelope::kConfigPush:
        return propose_configuration(now, in.config_push());
    case wire::envelope::kReports:
        return on_reports(now, in);
    case wire::envelope::kViewPull:
        return on_view_pull(now, in);
    case wire::envelope::kView:
        remote_domains_.on_view(now, in.view());
        return;
    default:
        return;
    }
}

void control_plane::on_raft(instant now, const wire::envelope& in)
{
    if (auto* log = find_log(in.raft().log())) {
        log->receive(now, member_id{in.from_member()}, in.raft().message());
    }
}

void control_plane::on_submit(instant now, const wire::envelope& in)
{
    const daemon_id from{in.from()};
    const auto call = in.submit().call();
    const auto answer = [this, from, call](const std::optional<std::string>& bytes,
                                           const std::string& leader) {
        wire::envelope out;
        auto* it = out.mutable_submit_answer();
        it->set_call(call);
        it->set_applied(bytes.has_value());
        it->set_answer(bytes.value_or(""));
        it->set_leader(leader);
        send(from, std::move(out));
    };
    auto* log = find_log(in.submit().log());
    const auto done = [answer](const std::optional<std::string>& bytes) { answer(bytes, ""); };
    if (log != nullptr && log->propose(now, in.submit().command(), done)) {
        return;
    }
    answer({}, log == nullptr ? "" : log->raft().leader().str());
}

void control_plane::on_config_pull(const wire::envelope& in)
{
    if (root_ != nullptr && root_->state.in_force().value > in.config_pull().have_revision()) {
        wire::envelope out;
        *out.mutable_config_push() = root_->state.accepted();
        send(daemon_id{in.from()}, std::move(out));
    }
}

void control_plane::on_report(instant now, const runner_id& runner, const runner_report& report)
{
    watch_.on_report(now, runner, report);
    own_reports_[runner] = report;
}

void control_plane::on_reports(instant now, const wire::envelope& in)
{
    for (const auto& it : in.reports().reports()) {
        if (const auto report = from_wire(it)) {
            watch_.on_report(now, runner_id{it.runner()}, *report);
        }
    }
}

void control_plane::on_view_pull(instant now, const wire::envelope& in)
{
    const auto& pull = in.view_pull();
    const auto& raft = domain_log_->raft();
    if (pull.domain() != options_.daemon_settings.failure_domain.str()) {
        return;
    }
    if (!raft.holds_lease(now)) {
        // Only the daemon that the asker sent the pull to forwards it.
        const bool is_from_asker = pull.asker() == in.from();
        if (is_from_asker && !raft.leader().empty()) {
            wire::envelope forwarded;
            *forwarded.mutable_view_pull() = pull;
            send(daemon_id{raft.leader().str()}, std::move(forwarded));
        }
        return;
    }
    const auto& state = domain_->state;
    wire::envelope out;
    auto* view = out.mutable_view();
    view->set_domain(pull.domain());
    view->set_stamp(pull.stamp());
    view->set_version(domain_log_->applied());
    view->set_unchanged(pull.have_version() == domain_log_->applied());
    for (const auto& [id, it] : state.groups().records()) {
        if (!view->unchanged()) {
            *view->add_groups() = to_wire(it);
        }
        const auto* runner = state.config()->find_runner_on(it.nodes.front());
        const auto report = runner == nullptr ? std::nullopt : watch_.report_of(runner->id);
        if (report && report->in_flight > 0) {
            *view->add_loads() = to_wire(runner->id, *report);
        }
    }
    if (!view->unchanged()) {
        write_drains(state.drains(), *view->mutable_drains());
    }
    send(daemon_id{pull.asker()}, std::move(out));
}

} // namespace cedarpoint
