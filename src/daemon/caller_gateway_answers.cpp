// Relays a runner's answer to the caller: complete, event by event, or unbuffered.

#include "daemon/caller_gateway.h"

#include "cedarpoint/core/http_status.h"
#include "daemon/engine_headers.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"
#include "io/runner_signal_log.h"

#include <utility>

namespace cedarpoint {
namespace {

/// Largest answer in bytes that is buffered until it is complete. The bytes of larger answers are
/// forwarded as they arrive; see docs/API.md.
constexpr std::size_t max_buffered_answer_bytes = 16 << 20;
constexpr int first_server_error = 500;

/// Returns a runner's head without hop-by-hop fields and without fields meant for cedarpoint, and
/// with the request's id.
http_head head_for_caller(const http_head& from, const request_id& request)
{
    http_head out{from.status, {}};
    for (const auto& [name, value] : from.fields.all()) {
        if (!is_hop_by_hop(name) && !is_private_header(name)) {
            out.fields.add(name, value);
        }
    }
    out.fields.add(caller_header::request, request.str());
    return out;
}

} // namespace

void caller_gateway::on_head(attempt_id id, const http_head& head)
{
    auto& it = attempts_.at(id.value);
    it.head = head;
    const auto echoed = head.fields.get(engine_header::attempt);
    const auto expected = it.request.str() + "/" + std::to_string(id.value);
    if (!echoed.empty() && echoed != expected) {
        it.call->cancel();
        on_end(id, call_end::cut, {"answer", it.upstream.str(), "it is another request's answer"});
        return;
    }
    record_signals(id, it);
    if (head.fields.has(engine_header::not_run)) {
        it.call->cancel();
        retire(id);
        perform(dispatcher_.attempt_ended(steady_now(), id, attempt_end::refused));
        return;
    }
    if (head.status >= first_server_error && dispatcher_.must_report_server_error(id)) {
        it.call->cancel();
        retire(id);
        perform(dispatcher_.attempt_ended(steady_now(), id, attempt_end::server_error));
        return;
    }
    const auto& to = exchanges_.at(it.request);
    if (to.streamed && head.status == http_status::ok && is_event_stream(head)) {
        it.events = std::make_unique<sse_splitter>();
    }
    else if (to.reply->has_begun()) {
        it.call->cancel();
        on_end(id, call_end::cut,
               {"resume", it.upstream.str(), "the runner did not go on with the stream"});
    }
}

void caller_gateway::record_signals(attempt_id id, const attempt& it)
{
    const auto& fields = it.head.fields;
    const auto signals = read_answer_signals(
        {it.head.status, fields.values(engine_header::rate_limit), fields.values(retry_after_field),
         fields.values(engine_header::leaving)});
    const auto news = dispatcher_.attempt_signals(steady_now(), id, signals);
    log_signals(it.upstream, signals, news, it.request.str());
}

void caller_gateway::begin_answer(attempt_id id, const attempt& it, exchange& to)
{
    if (to.reply->has_begun()) {
        return;
    }
    dispatcher_.attempt_answering(id);
    auto head = head_for_caller(it.head, it.request);
    to.reply->begin(std::move(head));
}

void caller_gateway::on_body(attempt_id id, std::string bytes)
{
    auto& it = attempts_.at(id.value);
    auto& to = exchanges_.at(it.request);
    if (it.events != nullptr) {
        relay_events(id, it, to, bytes);
    }
    else {
        relay_plain(id, it, to, std::move(bytes));
    }
}

void caller_gateway::relay_events(attempt_id id, attempt& it, exchange& to,
                                  const std::string& bytes)
{
    std::string whole;
    const bool fits = it.events->put(bytes, [&](std::string_view event) {
        whole.append(event);
        dispatcher_.attempt_event(id);
        metrics_.count_event();
        it.finished = it.finished || is_done_event(event);
    });
    if (!whole.empty()) {
        begin_answer(id, it, to);
        to.reply->write(whole);
        apply_backpressure(it, to);
    }
    if (!fits) {
        it.call->cancel();
        on_end(id, call_end::cut, {"answer", it.upstream.str(), "an event is too large"});
    }
}

void caller_gateway::relay_plain(attempt_id id, attempt& it, exchange& to, std::string bytes)
{
    if (!it.relaying) {
        it.buffered_body += bytes;
        if (it.buffered_body.size() <= max_buffered_answer_bytes) {
            return;
        }
        it.relaying = true;
        bytes = std::exchange(it.buffered_body, {});
        begin_answer(id, it, to);
    }
    to.reply->write(bytes);
    apply_backpressure(it, to);
}

void caller_gateway::apply_backpressure(attempt& it, const exchange& to)
{
    if (to.reply->buffered() > settings_.limits.max_buffered_bytes) {
        it.call->pause();
    }
}

void caller_gateway::on_end(attempt_id id, call_end how, const reason& why)
{
    auto& it = attempts_.at(id.value);
    const bool ends_within_event =
        it.events != nullptr && it.events->has_partial_event() && !it.finished;
    const bool whole = (how == call_end::complete && !ends_within_event) || it.finished;
    if (whole) {
        finish(id, it);
        return;
    }
    log_line("upstream_failed")
        .with("request", it.request.str())
        .with("upstream", it.upstream.str())
        .with("step", why.step)
        .with("peer", why.peer)
        .with("reason", why.text)
        .write();
    if (it.relaying) {
        // Part of a plain body is sent already. Only aborting the connection can tell the caller
        // that the body is incomplete.
        const auto request = it.request;
        const auto reply = exchanges_.at(request).reply;
        reply->on_caller_disconnected = nullptr;
        reply->abort();
        exchanges_.erase(request);
        retire(id);
        perform(dispatcher_.caller_gone(steady_now(), request)); // its connection is closed
        return;
    }
    retire(id);
    const auto end = how == call_end::unsent ? attempt_end::unsent : attempt_end::cut;
    perform(dispatcher_.attempt_ended(steady_now(), id, end));
}

void caller_gateway::finish(attempt_id id, attempt& it)
{
    auto& to = exchanges_.at(it.request);
    const auto reply = to.reply;
    reply->on_caller_disconnected = nullptr;
    reply->on_drained = nullptr;
    if (it.events != nullptr) {
        begin_answer(id, it, to);
        reply->finish();
    }
    else if (it.relaying) {
        reply->finish();
    }
    else {
        auto head = head_for_caller(it.head, it.request);
        reply->send(std::move(head), it.buffered_body);
    }
    it.call->cancel();
    exchanges_.erase(it.request);
    retire(id);
    perform(dispatcher_.attempt_ended(steady_now(), id, attempt_end::complete));
}

} // namespace cedarpoint
