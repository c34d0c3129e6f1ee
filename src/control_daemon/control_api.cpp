#include "control_daemon/control_api.h"

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/json_text.h"
#include "io/clock.h"
#include "io/crash_log.h"
#include "io/header_rules.h"
#include "io/log_line.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace cedarpoint {
namespace {

/// The value of Retry-After, in seconds.
constexpr const char* retry_after_seconds = "0.2";

void answer(const control_api::reply_ptr& reply, int status, const std::string& body = {})
{
    http_head head{status, {}};
    head.fields.add("Content-Type", "application/json");
    if (status == http_status::service_unavailable) {
        head.fields.add(retry_after_field, retry_after_seconds);
    }
    reply->send(std::move(head), body);
}

void log_configuration(const char* outcome, std::uint64_t version, std::uint64_t held)
{
    log_line("configuration")
        .with("outcome", outcome)
        .with("version", version)
        .with("held", held)
        .write();
}

void log_new_runner(const announcement& in)
{
    log_line("runner")
        .with("runner", in.id.str())
        .with("service", in.service.str())
        .with("address", in.address.str())
        .with("domain", in.fabric_domain.str())
        .with("sequence", in.sequence)
        .write();
}

} // namespace

control_api::control_api(const platform_adapter& platform, const fleet_state& state,
                         fleet_leader& leader, control_metrics& metrics, hooks hooks)
    : platform_{platform}, state_{state}, leader_{leader}, metrics_{metrics}, hooks_{
                                                                                  std::move(hooks)}
{
}

void control_api::on_call(const http_request& request, const reply_ptr& reply)
{
    const auto path = std::string_view{request.target}.substr(0, request.target.find('?'));
    const auto parsed = platform_.read_call(request.method, path);
    if (parsed.call == control_call::unknown) {
        answer(reply, http_status::not_found, R"({"error":"unknown call"})");
        return;
    }
    if (parsed.call == control_call::check_readiness) {
        answer(reply, hooks_.is_ready() ? http_status::ok : http_status::service_unavailable);
        return;
    }
    if (!redirect(parsed.call, request, reply)) {
        dispatch(parsed, request, reply);
    }
}

bool control_api::redirect(control_call kind, const http_request& request, const reply_ptr& reply)
{
    if (hooks_.leads()) {
        return false;
    }
    const auto leader = hooks_.leader();
    if (kind == control_call::put_configuration) {
        log_line("configuration")
            .with("outcome", leader ? "redirected" : "no leader")
            .with("leader", leader ? leader->str() : "")
            .with("held", state_.version())
            .write();
    }
    if (!leader) {
        answer(reply, http_status::service_unavailable, R"({"error":"no leader is known"})");
        return true;
    }
    http_head head{http_status::temporary_redirect, {}};
    head.fields.add("Location", "http://" + leader->str() + request.target);
    reply->send(std::move(head), "");
    return true;
}

void control_api::dispatch(const parsed_call& parsed, const http_request& request,
                           const reply_ptr& reply)
{
    switch (parsed.call) {
    case control_call::put_configuration:
        put_configuration(request, reply);
        break;
    case control_call::get_configuration:
        get_configuration(reply);
        break;
    case control_call::heartbeat:
        handle_heartbeat(parsed.runner, request, reply);
        break;
    case control_call::list_quarantine:
        list_quarantine(reply);
        break;
    case control_call::lift_quarantine:
        lift_quarantine(parsed.cause, reply);
        break;
    default:
        handle_deregistration(parsed.runner, request, reply);
        break;
    }
}

void control_api::handle_deregistration(const runner_id& runner, const http_request& request,
                                        const reply_ptr& reply)
{
    if (runner.empty()) {
        log_line("deregistration_refused").with("target", request.target).write();
        metrics_.count_call(std::string{name_of(control_call::deregister)},
                            http_status::bad_request);
        answer(reply, http_status::bad_request,
               R"({"error":"the runner's id is missing or no text"})");
        return;
    }
    handle_departure(runner, true, platform_.read_departing_incarnation(request.body), reply);
}

void control_api::put_configuration(const http_request& request, const reply_ptr& reply)
{
    reason why;
    const auto read = leader_.read_configuration(request.body, why);
    if (!read) {
        log_line("configuration").with("outcome", "invalid").with("reason", why.str()).write();
        answer(reply, http_status::bad_request, R"({"error":"the configuration is not valid"})");
        return;
    }
    if (!supersedes(read->version, state_.version())) {
        log_configuration("not newer", read->version, state_.version());
        answer(reply, http_status::ok);
        return;
    }
    propose_configuration(read->version, request.body, reply);
}

void control_api::propose_configuration(std::uint64_t version, const std::string& document,
                                        const reply_ptr& reply)
{
    const auto now = steady_now();
    const auto held = state_.version();
    const bool proposed = hooks_.propose(
        fleet_state::put_configuration(version, document),
        [this, reply, version, now](const std::optional<std::string>& applied) {
            const auto status = applied ? http_status::ok : http_status::service_unavailable;
            metrics_.observe_commit(steady_now() - now);
            metrics_.count_call(std::string{name_of(control_call::put_configuration)}, status);
            log_configuration(applied ? "accepted" : "unknown", version, state_.version());
            if (applied) {
                hooks_.on_committed();
            }
            answer(reply, status);
        });
    log_configuration(proposed ? "proposed" : "not proposed", version, held);
    if (!proposed) {
        answer(reply, http_status::service_unavailable);
    }
}

void control_api::get_configuration(const reply_ptr& reply)
{
    if (state_.version() == 0) {
        answer(reply, http_status::service_unavailable, R"({"error":"no configuration yet"})");
        return;
    }
    answer(reply, http_status::ok, state_.document());
}

void control_api::handle_heartbeat(const runner_id& runner, const http_request& request,
                                   const reply_ptr& reply)
{
    reason why;
    const auto read = platform_.read_announcement(runner, request.body, why);
    if (!read) {
        log_line("heartbeat_refused")
            .with("runner", runner.str())
            .with("target", request.target)
            .with("reason", why.str())
            .write();
        metrics_.count_call(std::string{name_of(control_call::heartbeat)},
                            http_status::bad_request);
        answer(reply, http_status::bad_request, R"({"error":"the heartbeat is not valid"})");
        return;
    }
    const bool is_new = leader_.registry().find(runner) == nullptr;
    leader_.announce(steady_now(), *read);
    if (is_new) {
        log_new_runner(*read);
    }
    if (read->draining && !state_.is_leaving(runner)) {
        handle_departure(runner, false, read->born, reply);
        return;
    }
    answer(reply, http_status::ok, "{}");
}

void control_api::handle_departure(const runner_id& runner, bool gone,
                                   incarnation reported_incarnation, const reply_ptr& reply)
{
    const auto* record = leader_.registry().find(runner);
    const auto latest = record == nullptr ? incarnation{} : record->latest.born;
    const auto its_incarnation =
        reported_incarnation == incarnation{} ? latest : reported_incarnation;
    const bool is_known = gone ? state_.is_gone(runner) : state_.is_leaving(runner);
    // A departure from before the runner's latest start no longer applies.
    if (is_known || its_incarnation < latest) {
        answer(reply, http_status::ok, "{}");
        return;
    }
    const bool proposed = hooks_.propose(
        fleet_state::depart(runner, gone, its_incarnation),
        [this, reply, runner, gone](const std::optional<std::string>& applied) {
            log_line("departure")
                .with("runner", runner.str())
                .with("gone", gone)
                .with("outcome", applied ? "accepted" : "unknown")
                .write();
            if (applied) {
                hooks_.on_committed();
            }
            answer(reply, applied ? http_status::ok : http_status::service_unavailable, "{}");
        });
    if (!proposed) {
        answer(reply, http_status::service_unavailable);
    }
}

void control_api::list_quarantine(const reply_ptr& reply)
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& cause : state_.quarantined()) {
        nlohmann::json crashes = nlohmann::json::array();
        if (const auto* record = state_.find_quarantined(cause); record != nullptr) {
            for (const auto& crash : record->crashes()) {
                crashes.push_back({{"runner", crash.runner()},
                                   {"daemon", crash.daemon()},
                                   {"request", crash.request()}});
            }
        }
        nlohmann::json each{{"crashes", std::move(crashes)}};
        if (const auto* part = std::get_if<prompt_part>(&cause)) {
            each["prompt_part"] = part->id.str();
            each["model"] = part->model.str();
        }
        else {
            each["fingerprint"] = std::get<request_fingerprint>(cause).str();
        }
        out.push_back(std::move(each));
    }
    answer(reply, http_status::ok, write_json(out));
}

void control_api::lift_quarantine(const crash_cause& cause, const reply_ptr& reply)
{
    if (!state_.quarantined().contains(cause)) {
        answer(reply, http_status::not_found,
               is_prompt_part(cause) ? R"({"error":"this part is not quarantined"})"
                                     : R"({"error":"this request is not quarantined"})");
        return;
    }
    const bool proposed = hooks_.propose(
        fleet_state::lift_quarantine(cause),
        [this, reply, cause](const std::optional<std::string>& applied) {
            log_line("quarantine_lifted")
                .with(log_key_of(cause), describe(cause))
                .with("outcome", applied ? "accepted" : "unknown")
                .write();
            if (applied) {
                leader_.on_quarantine_lifted(steady_now(), cause);
                hooks_.on_committed();
            }
            answer(reply, applied ? http_status::ok : http_status::service_unavailable, "{}");
        });
    if (!proposed) {
        answer(reply, http_status::service_unavailable);
    }
}

} // namespace cedarpoint
