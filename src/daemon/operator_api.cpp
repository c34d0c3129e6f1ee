#include "daemon/operator_api.h"

#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/config/plan.h"
#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/json_text.h"
#include "cedarpoint/core/secret.h"
#include "daemon/daemon.h"
#include "daemon/status_report.h"
#include "io/clock.h"

#include <array>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

namespace status = http_status;

/// Largest size of a declarative file in bytes.
constexpr std::size_t max_operator_body = 32 << 20;
/// Largest number of simultaneous connections from operators and metrics scrapers.
constexpr std::size_t max_operator_connections = 256;

caller_limits operator_limits()
{
    caller_limits out;
    out.max_body_bytes = max_operator_body;
    out.max_connections = max_operator_connections;
    return out;
}

void answer(http_reply& reply, int status, const json& body)
{
    http_head head{status, {}};
    head.fields.add("Content-Type", "application/json");
    reply.send(std::move(head), write_json(body, 2) + "\n");
}

void answer_text(http_reply& reply, int status, const char* type, const std::string& body)
{
    http_head head{status, {}};
    head.fields.add("Content-Type", type);
    reply.send(std::move(head), body);
}

json to_json(const faults& all)
{
    auto out = json::array();
    for (const auto& it : all) {
        out.push_back({{"path", it.path}, {"text", it.text}});
    }
    return out;
}

void answer_change(http_reply& reply, const std::optional<wire::command_answer>& in)
{
    if (!in) {
        answer(reply, status::service_unavailable,
               {{"result", "unknown"},
                {"text", "no answer from the root's voters in time; the change may still be "
                         "accepted: apply the same file again"}});
        return;
    }
    switch (static_cast<change_verdict>(in->change_verdict())) {
    case change_verdict::accepted:
        answer(reply, status::ok, {{"result", "accepted"}, {"revision", in->revision()}});
        return;
    case change_verdict::conflict:
        answer(reply, status::conflict,
               {{"result", "conflict"},
                {"in_force", in->conflict_with()},
                {"in_force_change", in->conflict_change()},
                {"text", "based_on is not the revision in force"}});
        return;
    case change_verdict::reused_id:
        answer(
            reply, status::conflict,
            {{"result", "reused_change_id"}, {"text", "this change_id was used for another file"}});
        return;
    default:
        break;
    }
    faults found;
    for (const auto& it : in->faults()) {
        found.push_back({it.path(), it.text()});
    }
    answer(reply, status::unprocessable_content,
           {{"result", "refused"}, {"faults", to_json(found)}});
}

} // namespace

struct operator_api::route_entry {
    const char* method = nullptr;
    const char* path = nullptr; ///< a final '/' matches every path below
    route function = nullptr;
    bool is_public = false; ///< served without the operators' key
};

operator_api::operator_api(daemon& owner)
    : owner_{owner}, listener_{operator_limits(),
                               [this](const http_request& request, const reply_ptr& reply) {
                                   on_request(request, reply);
                               }}
{
}

bool operator_api::start(const endpoint& at, reason& why)
{
    return listener_.start(at, why);
}

void operator_api::on_request(const http_request& request, const reply_ptr& reply)
{
    static constexpr std::array table{
        route_entry{"GET", "/metrics", &operator_api::get_metrics, true},
        route_entry{"GET", "/healthz", &operator_api::get_health, true},
        route_entry{"GET", "/readyz", &operator_api::get_readiness, true},
        route_entry{"GET", "/v1/status", &operator_api::get_status},
        route_entry{"GET", "/v1/configuration", &operator_api::get_configuration},
        route_entry{"GET", "/v1/explain/", &operator_api::get_explanation},
        route_entry{"POST", "/v1/configuration", &operator_api::post_configuration},
        route_entry{"POST", "/v1/plan", &operator_api::post_plan},
        route_entry{"POST", "/v1/drain", &operator_api::post_drain},
        route_entry{"POST", "/v1/stop", &operator_api::post_stop},
    };
    const auto path = request.target.substr(0, request.target.find('?'));
    bool path_known = false;
    for (const auto& it : table) {
        const std::string_view pattern{it.path};
        const bool matches = pattern.back() == '/'
                                 ? path.size() > pattern.size() && path.starts_with(pattern)
                                 : path == pattern;
        path_known = path_known || matches;
        if (matches && request.method == it.method) {
            if (!it.is_public && !is_allowed(request)) {
                answer(*reply, status::unauthorized,
                       {{"text", "needs Authorization: Bearer and the operators' key"}});
                return;
            }
            (this->*it.function)(request, reply);
            return;
        }
    }
    answer(*reply, path_known ? status::method_not_allowed : status::not_found,
           {{"text", path_known ? "not with this method" : "no such path"}});
}

bool operator_api::is_allowed(const http_request& request) const
{
    const auto& wanted = owner_.daemon_settings().operator_key_sha256;
    if (wanted.empty()) {
        return true;
    }
    const auto given = bearer_digest(request);
    return given && equal_digest(*given, wanted);
}

void operator_api::get_metrics(const http_request& /*request*/, const reply_ptr& reply)
{
    answer_text(*reply, status::ok, "text/plain; version=0.0.4", owner_.metrics().text());
}

void operator_api::get_health(const http_request& /*request*/, const reply_ptr& reply)
{
    answer_text(*reply, status::ok, "text/plain", "ok\n");
}

void operator_api::get_readiness(const http_request& /*request*/, const reply_ptr& reply)
{
    const bool ready = owner_.is_ready();
    answer_text(*reply, ready ? status::ok : status::service_unavailable, "text/plain",
                ready ? "ready\n" : "not ready\n");
}

void operator_api::get_status(const http_request& /*request*/, const reply_ptr& reply)
{
    answer(*reply, status::ok, make_status(owner_, steady_now()));
}

void operator_api::get_configuration(const http_request& /*request*/, const reply_ptr& reply)
{
    const auto& it = owner_.control().domain().accepted();
    answer(*reply, status::ok,
           {{"revision", it.revision()}, {"change_id", it.change_id()}, {"text", it.text()}});
}

void operator_api::get_explanation(const http_request& request, const reply_ptr& reply)
{
    constexpr std::string_view prefix = "/v1/explain/";
    const request_id id{request.target.substr(prefix.size())};
    auto steps = json::array();
    for (const auto& it : owner_.decisions().of(id)) {
        steps.push_back({{"wall_ms", it.wall_ms},
                         {"step", it.what.step},
                         {"account", it.what.account.str()},
                         {"chosen", it.what.chosen},
                         {"candidates", it.what.candidates},
                         {"reason", it.what.reason}});
    }
    if (steps.empty()) {
        answer(*reply, status::not_found,
               {{"text", "this daemon keeps no decisions on that request"}});
        return;
    }
    answer(*reply, status::ok, {{"request", id.str()}, {"decisions", steps}});
}

void operator_api::post_configuration(const http_request& request, const reply_ptr& reply)
{
    faults found;
    const auto config = configuration::parse(request.body, found);
    if (!config) {
        answer(*reply, status::unprocessable_content,
               {{"result", "refused"}, {"faults", to_json(found)}});
        return;
    }
    wire::config_change change;
    change.set_based_on(config->based_on.value);
    change.set_change_id(config->change.str());
    change.set_text(request.body);
    owner_.control().submit_configuration(steady_now(), std::move(change),
                                          [reply](const auto& it) { answer_change(*reply, it); });
}

void operator_api::post_plan(const http_request& request, const reply_ptr& reply)
{
    faults found;
    const auto config = configuration::parse(request.body, found);
    if (!config) {
        answer(*reply, status::unprocessable_content,
               {{"result", "refused"}, {"faults", to_json(found)}});
        return;
    }
    const auto& state = owner_.control().domain();
    auto lines = json::array();
    for (const auto& it : plan_change(*state.config(), *config)) {
        lines.push_back({{"kind", it.kind}, {"what", it.what}});
    }
    answer(*reply, status::ok,
           {{"in_force", state.in_force().value},
            {"based_on", config->based_on.value},
            {"would_conflict", config->based_on != state.in_force()},
            {"changes", lines}});
}

void operator_api::post_drain(const http_request& request, const reply_ptr& reply)
{
    faults found;
    const auto value = parse_json(request.body, found);
    wire::drain_change change;
    if (value) {
        json_reader in{*value, "", found};
        change.set_kind(in.string("kind"));
        change.set_id(in.string("id"));
        change.set_draining(in.boolean_or("draining", true));
        in.finish();
    }
    if (!found.empty()) {
        answer(*reply, status::bad_request, {{"result", "refused"}, {"faults", to_json(found)}});
        return;
    }
    owner_.control().submit_drain(
        steady_now(), change, [reply](const std::optional<wire::command_answer>& it) {
            if (!it) {
                answer(*reply, status::service_unavailable,
                       {{"result", "unknown"},
                        {"text", "no answer from the failure domain in time; ask again"}});
            }
            else if (!it->refused().empty()) {
                answer(*reply, status::unprocessable_content,
                       {{"result", "refused"}, {"text", it->refused()}});
            }
            else {
                answer(*reply, status::ok, {{"result", "done"}});
            }
        });
}

void operator_api::post_stop(const http_request& /*request*/, const reply_ptr& reply)
{
    answer(*reply, status::ok, {{"result", "stopping"}});
    owner_.stop();
}

} // namespace cedarpoint
