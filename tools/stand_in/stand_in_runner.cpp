#include "stand_in/stand_in_runner.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

constexpr std::size_t max_body_bytes = 64 << 20;
/// Size of a stream's unsent output at which the next token is delayed.
constexpr std::size_t max_buffered_bytes = 1 << 20;

http_head json_head(int status)
{
    http_head out{status, {}};
    out.fields.add("Content-Type", "application/json");
    return out;
}

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string token_event(bool chat, int n)
{
    const auto text = fmt::format("t{} ", n);
    const json choice = chat ? json{{"index", 0}, {"delta", {{"content", text}}}}
                             : json{{"index", 0}, {"text", text}};
    return "data: " + json{{"choices", json::array({choice})}}.dump() + "\n\n";
}

} // namespace

stand_in_runner::stand_in_runner(options options) : options_{options}
{
    caller_limits limits;
    limits.max_body_bytes = max_body_bytes;
    listener_ = std::make_unique<http_listener>(
        limits, [this](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            on_request(request, reply);
        });
    load_timer_.setSingleShot(true);
    QObject::connect(&load_timer_, &QTimer::timeout, [this] { phase_ = "ready"; });
}

stand_in_runner::~stand_in_runner()
{
    for (auto& [id, it] : streams_) {
        it.reply->on_caller_disconnected = nullptr;
    }
}

bool stand_in_runner::start(const endpoint& at, reason& why)
{
    return listener_->start(at, why);
}

void stand_in_runner::on_request(const http_request& request,
                                 const std::shared_ptr<http_reply>& reply)
{
    if (request.target == "/engine/state") {
        send_state(*reply);
        return;
    }
    if (request.target == "/engine/orders") {
        execute_order(request, *reply);
        return;
    }
    requests_.push_back(request);
    ++arrivals_[request.body.empty() ? request.target : request.body];
    serve(request, reply);
}

void stand_in_runner::send_state(http_reply& reply) const
{
    reply.send(json_head(200), json{{"phase", phase_},
                                    {"epoch", epoch_},
                                    {"group", group_},
                                    {"in_flight", streams_.size()},
                                    {"leaving", leaving_}}
                                   .dump());
}

void stand_in_runner::execute_order(const http_request& request, http_reply& reply)
{
    const auto in = json::parse(request.body, nullptr, false);
    if (!in.is_object()) {
        reply.send(json_head(400), "{}");
        return;
    }
    const auto order_epoch = in.value("epoch", std::uint64_t{0});
    orders_.push_back(
        fmt::format("{} {} {}", in.value("action", ""), in.value("group", ""), order_epoch));
    if (options_.checks_epoch && order_epoch < epoch_) {
        reply.send(json_head(409), json{{"epoch", epoch_}}.dump());
        return;
    }
    epoch_ = order_epoch;
    group_ = in.value("group", "");
    if (in.value("action", "") == "load") {
        phase_ = "loading";
        load_timer_.start(options_.load_ms);
    }
    else {
        load_timer_.stop();
        phase_ = "idle";
    }
    send_state(reply);
}

fault_stage stand_in_runner::take_fault()
{
    if (remaining_faults_ <= 0) {
        return fault_stage::none;
    }
    --remaining_faults_;
    return fault_stage_;
}

void stand_in_runner::serve(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    const auto fault = take_fault();
    if (fault == fault_stage::after_request) {
        reply->abort();
        return;
    }
    if (fault == fault_stage::server_error) {
        reply->send(json_head(500), R"({"error":"engine failed"})");
        return;
    }
    if (!request.target.starts_with("/v1/")) {
        serve_service_request(request, *reply);
        return;
    }
    const auto expected_epoch = request.fields.get("X-Epoch");
    if (options_.checks_epoch && (phase_ != "ready" || (!expected_epoch.empty() &&
                                                        parse_number(expected_epoch) != epoch_))) {
        auto head = json_head(409);
        head.fields.add("Cedarpoint-Not-Run", "true");
        reply->send(std::move(head), R"({"error":"another epoch"})");
        return;
    }
    const auto body = json::parse(request.body, nullptr, false);
    const bool streamed = body.is_object() && body.value("stream", false);
    const int tokens =
        body.is_object() ? body.value("max_tokens", options_.tokens) : options_.tokens;
    const auto id = ++last_stream_id_;
    auto& it = streams_[id];
    it.reply = reply;
    it.next = static_cast<int>(parse_number(request.fields.get("X-Resume-After")));
    it.end = tokens;
    it.fault = fault;
    it.chat = request.target.starts_with("/v1/chat/");
    reply->on_caller_disconnected = [this, id] {
        ++cancelled_;
        streams_.erase(id);
    };
    it.timer = std::make_unique<QTimer>();
    if (streamed) {
        http_head head{200, {}};
        head.fields.add("Content-Type", "text/event-stream");
        head.fields.add("X-Request-Id", std::string{request.fields.get("X-Request-Id")});
        reply->begin(std::move(head));
        QObject::connect(it.timer.get(), &QTimer::timeout, [this, id] { send_next_token(id); });
        it.timer->start(options_.token_ms);
        return;
    }
    it.timer->setSingleShot(true);
    QObject::connect(it.timer.get(), &QTimer::timeout, [this, id, tokens] {
        auto node = streams_.extract(id);
        auto& done = node.mapped();
        done.timer.release()->deleteLater();
        done.reply->on_caller_disconnected = nullptr;
        if (done.fault != fault_stage::none) {
            done.reply->begin(json_head(200));
            done.reply->write("{\"half");
            done.reply->abort();
            return;
        }
        std::string text;
        for (int n = 0; n < tokens; ++n) {
            text += fmt::format("t{} ", n);
        }
        ++served_;
        done.reply->send(
            json_head(200),
            json{{"choices",
                  json::array(
                      {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}})}}
                .dump());
    });
    it.timer->start(options_.token_ms * tokens);
}

void stand_in_runner::serve_service_request(const http_request& request, http_reply& reply)
{
    ++served_;
    reply.send(json_head(200),
               json{{"path", request.target}, {"method", request.method}, {"run", served_}}.dump());
}

void stand_in_runner::send_next_token(std::uint64_t id)
{
    auto& it = streams_.at(id);
    const bool past_half = it.next >= it.end / 2;
    const bool fails_now = (it.fault == fault_stage::after_head) ||
                           (it.fault == fault_stage::mid_answer && past_half) ||
                           (it.fault == fault_stage::before_end && it.next >= it.end);
    if (it.fault == fault_stage::stall && past_half) {
        it.timer->stop();
        return;
    }
    if (fails_now || it.next > it.end) {
        auto node = streams_.extract(id);
        node.mapped().timer.release()->deleteLater();
        const auto reply = node.mapped().reply;
        reply->on_caller_disconnected = nullptr;
        if (fails_now) {
            reply->write("data: {\"half"); // a truncated event, which must never reach a caller
            reply->abort();
        }
        else {
            ++served_;
            reply->finish();
        }
        return;
    }
    if (it.next == it.end) {
        it.reply->write("data: [DONE]\n\n");
    }
    else if (it.reply->buffered() < max_buffered_bytes) {
        it.reply->write(token_event(it.chat, it.next));
    }
    else {
        return; // the caller reads slowly: the next timer event tries again
    }
    ++it.next;
}

} // namespace cedarpoint
