#include "daemon/caller_gateway.h"

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/json_text.h"
#include "daemon/engine_headers.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace cedarpoint {
namespace {

std::string random_prefix()
{
    std::random_device seed;
    return fmt::format("{:08x}", seed());
}

} // namespace

caller_gateway::caller_gateway(const settings& daemon_settings, dispatcher& request_dispatcher,
                               decision_log& decisions, daemon_metrics& metrics, hooks hooks)
    : settings_{daemon_settings}, dispatcher_{request_dispatcher},
      decisions_{decisions}, metrics_{metrics}, hooks_{std::move(hooks)},
      listener_{daemon_settings.limits,
                [this](http_request request, std::shared_ptr<http_reply> reply) {
                    on_request(std::move(request), std::move(reply));
                }},
      request_prefix_{daemon_settings.id.str() + "-" + random_prefix()}
{
    listener_.on_refused = [this](error_code code) { metrics_.count_refusal(code); };
}

caller_gateway::~caller_gateway()
{
    for (auto& [id, it] : attempts_) {
        it.call->cancel();
    }
    for (auto& [id, it] : exchanges_) {
        it.reply->on_caller_disconnected = nullptr;
        it.reply->on_drained = nullptr;
    }
}

bool caller_gateway::start(const endpoint& at, reason& why)
{
    return listener_.start(at, why);
}

void caller_gateway::stop_listening()
{
    listener_.stop();
}

void caller_gateway::send_refusal(http_reply& reply, const refusal& error,
                                  const std::string& request)
{
    metrics_.count_refusal(error.code);
    if (reply.has_begun()) {
        // The status line is sent already, so the error can only be reported as an event.
        reply.write("event: error\ndata: " + to_json(error, request) + "\n\n");
        reply.finish();
        return;
    }
    http_head head{describe(error.code).status, {}};
    head.fields.add("Content-Type", "application/json");
    head.fields.add(caller_header::request, request);
    if (error.retry_after) {
        constexpr std::int64_t ms = 1000;
        head.fields.add(retry_after_field,
                        std::to_string((error.retry_after->count() + ms - 1) / ms));
    }
    reply.send(std::move(head), to_json(error, request));
}

void caller_gateway::on_request(http_request request, std::shared_ptr<http_reply> reply)
{
    metrics_.count_request();
    if (!reply->is_open()) {
        return; // the caller closed the connection before the request was read
    }
    const request_id id{request_prefix_ + "-" + std::to_string(++last_request_)};
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/healthz" || path == "/readyz") {
        const bool ok = path == "/healthz" || hooks_.is_ready();
        http_head head{ok ? 200 : 503, {}};
        head.fields.add("Content-Type", "text/plain");
        reply->send(std::move(head), ok ? "ok\n" : "not ready\n");
        return;
    }
    if (!hooks_.is_ready()) {
        send_refusal(*reply,
                     {error_code::shutting_down, run_state::not_run,
                      "this daemon does not take requests now", milliseconds{1000}},
                     id.str());
        return;
    }
    if (path == "/v1/models") {
        answer_models(request, *reply);
        return;
    }
    refusal error;
    auto facts = read_facts(steady_now() - request.waited, request, id, error);
    if (!facts) {
        send_refusal(*reply, error, id.str());
        return;
    }
    reply->on_caller_disconnected = [this, id] {
        perform(dispatcher_.caller_gone(steady_now(), id));
        exchanges_.erase(id);
    };
    facts->fingerprint = make_fingerprint(request, *facts);
    exchanges_[id] = {std::move(request), std::move(reply), facts->streamed, {}};
    perform(dispatcher_.submit(steady_now(), std::move(*facts)));
}

std::optional<request_fingerprint>
caller_gateway::make_fingerprint(const http_request& request, const request_facts& facts) const
{
    const auto* account = dispatcher_.authenticate(facts.key_digest);
    if (account == nullptr) {
        return {}; // the request will be refused for its key
    }
    return fingerprint_of({account->id.str(), request.method, request.fields.get("Host"),
                           request.target, request.body});
}

void caller_gateway::answer_models(const http_request& request, http_reply& reply)
{
    const auto digest = bearer_digest(request);
    const auto* account = digest ? dispatcher_.authenticate(*digest) : nullptr;
    if (account == nullptr) {
        send_refusal(reply,
                     {error_code::unauthorized, run_state::not_run, "no account has this key", {}},
                     "");
        return;
    }
    auto data = nlohmann::json::array();
    std::string last;
    for (const auto& it : dispatcher_.config()->routes) {
        if ((!it.account || *it.account == account->id) && it.model.str() != last) {
            last = it.model.str();
            data.push_back({{"id", last}, {"object", "model"}, {"owned_by", "cedarpoint"}});
        }
    }
    http_head head{200, {}};
    head.fields.add("Content-Type", "application/json");
    reply.send(std::move(head), write_json(nlohmann::json{{"object", "list"}, {"data", data}}));
}

void caller_gateway::perform(const actions& all)
{
    for (const auto& it : all) {
        std::visit(
            [this](const auto& what) {
                using type = std::decay_t<decltype(what)>;
                if constexpr (std::is_same_v<type, start_attempt>) {
                    do_start(what);
                }
                else if constexpr (std::is_same_v<type, cancel_attempt>) {
                    do_cancel(what);
                }
                else if constexpr (std::is_same_v<type, refuse>) {
                    do_refuse(what);
                }
                else if constexpr (std::is_same_v<type, ask_claim>) {
                    hooks_.begin_claim(what);
                }
                else if constexpr (std::is_same_v<type, end_claim>) {
                    hooks_.finish_claim(what);
                }
                else if constexpr (std::is_same_v<type, check_runner>) {
                    hooks_.check_runner_end(what);
                }
                else {
                    do_log(what);
                }
            },
            it);
    }
}

void caller_gateway::do_log(const decision& it)
{
    metrics_.count_step(it.step);
    decisions_.add(it);
}

void caller_gateway::do_refuse(const refuse& it)
{
    const auto found = exchanges_.find(it.request);
    if (found == exchanges_.end()) {
        return;
    }
    const auto reply = found->second.reply;
    exchanges_.erase(found);
    reply->on_caller_disconnected = nullptr;
    reply->on_drained = nullptr;
    send_refusal(*reply, it.error, it.request.str());
}

http_request caller_gateway::make_upstream_request(const start_attempt& it,
                                                   const exchange& from) const
{
    http_request out{from.request.method, from.request.target, {}, from.request.body};
    out.fields.add("Host", it.address.str());
    for (const auto& [name, value] : from.request.fields.all()) {
        if (!is_hop_by_hop(name) && !is_private_header(name) &&
            !equal_ignoring_case(name, "Host")) {
            out.fields.add(name, value);
        }
    }
    out.fields.add(engine_header::attempt,
                   it.request.str() + "/" + std::to_string(it.attempt.value));
    out.fields.add("X-Priority", std::string{name_of(it.priority)});
    if (it.assignment.value > 0) {
        out.fields.add("X-Epoch", std::to_string(it.assignment.value));
    }
    if (it.resume_after > 0) {
        out.fields.add("X-Resume-After", std::to_string(it.resume_after));
    }
    return out;
}

void caller_gateway::do_start(const start_attempt& it)
{
    auto& from = exchanges_.at(it.request);
    from.attempt = it.attempt;
    const auto id = it.attempt;
    upstream_call::handlers handlers;
    handlers.on_sending = [this, id] { dispatcher_.attempt_sending(id); };
    handlers.on_head = [this, id](const http_head& head) { on_head(id, head); };
    handlers.on_body = [this, id](std::string bytes) { on_body(id, std::move(bytes)); };
    handlers.on_end = [this, id](call_end how, const reason& why) { on_end(id, how, why); };
    attempt made;
    made.request = it.request;
    made.upstream = it.upstream;
    made.call = std::make_unique<upstream_call>(it.address, make_upstream_request(it, from),
                                                call_options{}, std::move(handlers));
    auto& started = attempts_[id.value] = std::move(made);
    from.reply->on_drained = [this, id] {
        const auto found = attempts_.find(id.value);
        if (found != attempts_.end()) {
            const auto to = exchanges_.find(found->second.request);
            if (to != exchanges_.end() &&
                to->second.reply->buffered() < settings_.limits.max_buffered_bytes / 2) {
                found->second.call->resume();
            }
        }
    };
    started.call->start();
}

void caller_gateway::do_cancel(const cancel_attempt& it)
{
    if (const auto found = attempts_.find(it.attempt.value); found != attempts_.end()) {
        found->second.call->cancel();
        retire(it.attempt);
    }
}

void caller_gateway::retire(attempt_id id)
{
    // Deleted from the event loop, because this may run within a callback of the call.
    auto node = attempts_.extract(id.value);
    if (!node.empty()) {
        node.mapped().call.release()->deleteLater();
    }
}

void caller_gateway::cut_attempts(const std::function<bool(const runner_id&)>& is_gone)
{
    std::vector<std::uint64_t> gone;
    for (const auto& [id, it] : attempts_) {
        if (is_gone(it.upstream)) {
            gone.push_back(id);
        }
    }
    for (const auto id : gone) {
        if (const auto found = attempts_.find(id); found != attempts_.end()) {
            found->second.call->cancel();
            on_end({id}, call_end::cut,
                   {"watch", found->second.upstream.str(), "the runner is absent"});
        }
    }
}

} // namespace cedarpoint
