#include "entry/relay.h"

#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

constexpr milliseconds shortest_try{15};      ///< with less time left nothing is sent
constexpr milliseconds shortest_silence{400}; ///< a stream that says nothing is doubted after this
constexpr milliseconds first_event_patience{700};
constexpr milliseconds fresh_for_once{1000}; ///< rest of a connection for what may run once
constexpr milliseconds rest_for_repeatable{4000};
constexpr std::size_t slow_caller_bytes = 256 << 10;
constexpr int status_ok = 200;
constexpr int first_failure = 400;
constexpr int first_server_failure = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int misdirected = 421;
constexpr int most_engine_priority = 9;
constexpr const char* come_back_seconds = "0.25";

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view each) { return equal_ignoring_case(each, name); });
}

std::optional<std::int64_t> read_number(std::string_view text)
{
    std::int64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{out} : std::nullopt;
}

/// The value of an event's "id" line; empty if it has none.
std::string_view event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    std::size_t at = event.starts_with(name) ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
        return {};
    }
    at = event.find(':', at) + 1;
    auto value = event.substr(at, event.find_first_of("\r\n", at) - at);
    while (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

relay::relay(entry_context& context, http_request request, std::shared_ptr<http_reply> reply,
             std::function<void(const std::shared_ptr<relay>&)> on_end)
    : context_{context}, request_{std::move(request)}, reply_{std::move(reply)},
      on_end_{std::move(on_end)}, routes_{context.routes}, arrived_{steady_now()}
{
    deadline_timer_.setSingleShot(true);
    deadline_timer_.setTimerType(Qt::PreciseTimer);
    silence_timer_.setSingleShot(true);
    silence_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&deadline_timer_, &QTimer::timeout, [this] { on_deadline(); });
    QObject::connect(&silence_timer_, &QTimer::timeout, [this] { on_silence(); });
}

relay::~relay()
{
    reply_->on_gone = nullptr;
    reply_->on_drained = nullptr;
}

bool relay::is_stream() const
{
    return route_ != nullptr && route_->repeat == repeat_policy::stream;
}

void relay::start()
{
    const auto self = shared_from_this();
    reply_->on_gone = [this] { on_caller_gone(); };
    if (!admit()) {
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - arrived_);
    deadline_timer_.start(static_cast<int>(left.count()));
    if (!model_.empty()) {
        ++context_.demand[model_].started;
    }
    context_.budget.on_first_attempt(arrived_);
    attempt();
}

bool relay::admit()
{
    const auto& names = context_.platform.headers();
    id_ = request_.fields.get(names.request_id);
    if (routes_ == nullptr) {
        refuse({unavailable, "no configuration is known yet", true}, "");
        return false;
    }
    const auto path = std::string_view{request_.target}.substr(0, request_.target.find('?'));
    route_ = routes_->find_route(request_.fields.get("Host"), path);
    if (route_ == nullptr) {
        refuse({404, "no route", false}, "");
        return false;
    }
    if (routes_->configuration().requires_keys) {
        constexpr std::string_view scheme = "Bearer ";
        const auto key = request_.fields.get("Authorization");
        account_ =
            key.starts_with(scheme) ? routes_->find_account(key.substr(scheme.size())) : nullptr;
        if (account_ == nullptr && !route_->is_public) {
            refuse({401, "unknown key", false}, "");
            return false;
        }
    }
    std::uniform_real_distribution<double> draw(0, 1);
    service_ = route_table::choose_target(*route_, draw(context_.random)).service;
    const auto* service = routes_->configuration().find_service(service_);
    if (service != nullptr && service->engine) {
        model_ = model_id{std::string{request_.fields.get(names.model)}};
    }
    facts_.repeat = route_->repeat;
    facts_.resumable = route_->resumable;
    facts_.max_attempts = std::max(route_->max_attempts, 1);
    last_event_ = request_.fields.get(names.resume_after);
    last_event_number_ = static_cast<std::uint64_t>(read_number(last_event_).value_or(0));
    auto time = route_->timeout;
    if (const auto said = read_number(request_.fields.get(names.deadline_ms))) {
        time = std::min(time, milliseconds{std::max<std::int64_t>(*said, 0)});
    }
    deadline_ = arrived_ + time;
    return true;
}

void relay::attempt()
{
    const auto now = steady_now();
    auto lack = target_set::lack::none;
    const auto* target = context_.targets.choose(now, service_, model_, tried_, lack);
    if (target == nullptr || deadline_ - now < shortest_try) {
        give_up(target != nullptr                ? "no time is left"
                : lack == target_set::lack::full ? "all targets are full"
                                                 : "no target");
        return;
    }
    if (facts_.sent > 0 && !context_.budget.take(now, context_.daemons)) {
        give_up("the retry budget is spent");
        return;
    }
    send_to(*target);
}

void relay::send_to(const fleet_target& target)
{
    const auto now = steady_now();
    const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    tried_.insert(target.runner);
    runner_ = target.runner;
    group_ = target.group;
    sent_ = false;
    head_.reset();
    body_.clear();
    streaming_ = false;
    event_of_runner_ = false;
    events_ = {};
    exchange_request out;
    out.bytes = serialize_for(target, left);
    out.head_only = request_.method == "HEAD";
    out.id_header = context_.platform.headers().request_id;
    out.id = id_;
    const bool once = !is_repeatable(facts_);
    connection_ = context_.pool.take(target.address, once ? fresh_for_once : rest_for_repeatable);
    context_.targets.on_sent(now, runner_);
    const std::weak_ptr<relay> weak = weak_from_this();
    exchange_handlers handlers;
    handlers.on_sent = [this] {
        sent_ = true;
        sent_at_ = steady_now();
        ++facts_.sent;
        if (is_stream()) {
            arm_silence(std::max(first_event_patience, 2 * route_->target_latency));
        }
    };
    handlers.on_head = [this](const http_head& head) { on_head(head); };
    handlers.on_body = [this](const std::string& bytes) { on_body(bytes); };
    handlers.on_end = [weak](exchange_end how, const reason& why) {
        if (const auto self = weak.lock()) {
            self->on_attempt_end(how, why);
        }
    };
    connection_->start(std::move(out), std::move(handlers));
}

std::string relay::serialize_for(const fleet_target& target, milliseconds left) const
{
    const auto& names = context_.platform.headers();
    const std::array<std::string_view, 6> own{names.deadline_ms,  names.priority,
                                              names.account,      names.expected_runner,
                                              names.resume_after, "Authorization"};
    std::string out = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    const auto add = [&](std::string_view name, std::string_view value) {
        out.append(name).append(": ").append(value).append("\r\n");
    };
    for (const auto& [name, value] : request_.fields.all()) {
        if (!is_one_of(own, name) && !is_hop_by_hop(name)) {
            add(name, value);
        }
    }
    add(names.deadline_ms, std::to_string(left.count()));
    add(names.expected_runner, target.runner.str());
    if (account_ != nullptr) {
        add(names.account, account_->name.str());
    }
    const int rank = (account_ != nullptr ? account_->priority * 2 : 0) + route_->priority;
    if (!model_.empty()) {
        add(names.priority, std::to_string(std::clamp(rank, 0, most_engine_priority)));
    }
    if (!last_event_.empty()) {
        add(names.resume_after, last_event_);
    }
    const bool bodiless =
        request_.body.empty() && (request_.method == "GET" || request_.method == "HEAD");
    if (!bodiless) {
        add("Content-Length", std::to_string(request_.body.size()));
    }
    return out + "\r\n" + request_.body;
}

void relay::on_head(const http_head& head)
{
    context_.targets.on_byte(steady_now(), runner_);
    head_ = head;
    streaming_ =
        is_stream() && head.status == status_ok && is_event_stream(head) && is_own_answer(head);
}

bool relay::is_own_answer(const http_head& head) const
{
    const auto& names = context_.platform.headers();
    return head.fields.get(names.request_id) == id_ && head.fields.has(names.signature) &&
           !head.fields.has("Content-Encoding");
}

void relay::on_body(const std::string& bytes)
{
    context_.targets.on_byte(steady_now(), runner_);
    if (!streaming_) {
        body_ += bytes;
        return;
    }
    const bool fine = events_.put(bytes, [this](std::string_view event) { on_event(event); });
    if (!fine) {
        abandon_attempt();
        after(attempt_outcome::may_have_run, "an event is too large");
        return;
    }
    if (reply_->buffered() > slow_caller_bytes && connection_ != nullptr) {
        connection_->pause(true);
        silence_timer_.stop();
        reply_->on_drained = [this] {
            if (connection_ != nullptr && reply_->buffered() < slow_caller_bytes / 2) {
                reply_->on_drained = nullptr;
                connection_->pause(false);
            }
        };
    }
}

void relay::on_event(std::string_view event)
{
    const auto now = steady_now();
    if (const auto id = event_id(event); !id.empty()) {
        const auto number = read_number(id);
        if (number && static_cast<std::uint64_t>(*number) <= last_event_number_) {
            return; // the caller has it already
        }
        last_event_ = id;
        last_event_number_ = static_cast<std::uint64_t>(number.value_or(0));
    }
    if (!begun_) {
        begun_ = true;
        auto out = without_hop_by_hop(*head_);
        reply_->begin(std::move(out));
        context_.figures.observe_first_byte(now - arrived_);
    }
    else {
        context_.figures.observe_pause(now - last_event_at_);
        if (event_of_runner_) {
            context_.targets.on_wait(runner_, now - last_event_at_);
        }
    }
    event_of_runner_ = true;
    last_event_at_ = now;
    reply_->write(std::string{event});
    arm_silence(std::max(shortest_silence, 2 * route_->target_gap));
}

void relay::arm_silence(milliseconds limit)
{
    silence_timer_.start(static_cast<int>(limit.count()));
}

void relay::on_silence()
{
    // Only where going on elsewhere is possible: a slow answer is better than none.
    if (ended_ || connection_ == nullptr ||
        !may_send_again(facts_, attempt_outcome::may_have_run)) {
        return;
    }
    auto lack = target_set::lack::none;
    const auto now = steady_now();
    if (context_.targets.choose(now, service_, model_, tried_, lack) == nullptr) {
        return;
    }
    context_.targets.on_failure(now, runner_);
    abandon_attempt();
    after(attempt_outcome::may_have_run, "the stream stands still");
}

void relay::on_targets_changed()
{
    const auto* target = context_.targets.find(runner_);
    const bool ended =
        connection_ != nullptr && !group_.empty() && (target == nullptr || target->group != group_);
    if (ended && !ended_ && may_send_again(facts_, attempt_outcome::may_have_run)) {
        const auto self = shared_from_this();
        abandon_attempt();
        after(attempt_outcome::may_have_run, "its group has ended");
    }
}

void relay::release_attempt()
{
    silence_timer_.stop();
    if (connection_ != nullptr) {
        context_.targets.on_done(runner_);
        context_.pool.give_back(std::exchange(connection_, nullptr));
    }
}

void relay::abandon_attempt()
{
    if (connection_ != nullptr) {
        connection_->cancel();
    }
    facts_.may_have_run = facts_.may_have_run || sent_;
    release_attempt();
}

void relay::on_attempt_end(exchange_end how, const reason& why)
{
    const auto now = steady_now();
    release_attempt();
    switch (how) {
    case exchange_end::refused:
    case exchange_end::unsent:
        context_.targets.on_unreachable(now, runner_, how == exchange_end::refused);
        after(attempt_outcome::not_run, why.str());
        return;
    case exchange_end::cut:
        context_.targets.on_failure(now, runner_);
        facts_.may_have_run = true;
        after(attempt_outcome::may_have_run, why.str());
        return;
    case exchange_end::complete:
        break;
    }
    if (streaming_) {
        judge_stream_end();
    }
    else {
        judge_answer();
    }
}

void relay::judge_stream_end()
{
    if (events_.has_rest()) {
        context_.targets.on_failure(steady_now(), runner_);
        facts_.may_have_run = true;
        after(attempt_outcome::may_have_run, "the stream ended within an event");
        return;
    }
    context_.targets.on_success(runner_);
    after(attempt_outcome::succeeded, "");
}

void relay::judge_answer()
{
    const auto& names = context_.platform.headers();
    const auto& head = *head_;
    const bool disclaimed = head.fields.has(names.not_executed) || head.status == misdirected;
    if (disclaimed) {
        context_.targets.on_failure(steady_now(), runner_);
        after(attempt_outcome::not_run, fmt::format("status {} not executed", head.status));
        return;
    }
    facts_.may_have_run = true;
    if (head.status < first_failure) {
        // A stream's route answers with events; anything else that succeeds must be whole.
        const bool fine = is_own_answer(head) && !begun_;
        if (!fine) {
            context_.targets.on_failure(steady_now(), runner_);
        }
        else {
            context_.targets.on_success(runner_);
            if (model_.empty()) {
                context_.targets.on_wait(runner_, steady_now() - sent_at_);
            }
        }
        after(fine ? attempt_outcome::succeeded : attempt_outcome::may_have_run,
              fine ? "" : "the answer is not the runner's");
        return;
    }
    failure_ = head;
    failure_body_ = std::move(body_);
    body_.clear();
    if (head.status >= first_server_failure) {
        context_.targets.on_failure(steady_now(), runner_);
    }
    after(attempt_outcome::failed, fmt::format("status {}", head.status));
}

void relay::after(attempt_outcome outcome, const std::string& why)
{
    if (ended_) {
        return;
    }
    constexpr std::array<const char*, 4> names{"not_run", "may_have_run", "failed", "succeeded"};
    const auto* name = names.at(static_cast<std::size_t>(outcome));
    context_.figures.count_attempt(name);
    if (outcome == attempt_outcome::succeeded) {
        deliver();
        return;
    }
    log_attempt(name, why);
    const bool clients_fault =
        outcome == attempt_outcome::failed && failure_->status < first_server_failure;
    if (!clients_fault && may_send_again(facts_, outcome)) {
        attempt();
        return;
    }
    give_up(why);
}

void relay::deliver()
{
    const auto now = steady_now();
    if (streaming_ && begun_) {
        reply_->finish();
    }
    else {
        auto out = without_hop_by_hop(*head_);
        reply_->send(std::move(out), body_);
        context_.figures.observe_first_byte(now - arrived_);
    }
    context_.figures.observe_whole(now - arrived_);
    finish("served", "");
}

void relay::give_up(const std::string& why)
{
    if (begun_) {
        reply_->abort();
        finish("broken_off", why);
        return;
    }
    if (failure_) {
        // A failure that a caller would take for a promise is not passed on as one.
        const bool promises =
            failure_->status == unavailable || failure_->status == 429 || failure_->status == 408;
        if (!promises || is_repeatable(facts_)) {
            head_ = failure_;
            body_ = failure_body_;
            auto out = without_hop_by_hop(*head_);
            reply_->send(std::move(out), body_);
            finish("failed_at_runner", why);
            return;
        }
    }
    if (may_promise_not_run(facts_)) {
        if (!model_.empty()) {
            ++context_.demand[model_].refused;
        }
        refuse({unavailable, "not served", true}, why);
        return;
    }
    refuse({bad_gateway, "the runner's answer did not come", false}, why);
}

void relay::refuse(const own_answer& answer, const std::string& why)
{
    http_head head{answer.status, {}};
    head.fields.add(context_.platform.headers().request_id, id_);
    head.fields.add("Content-Type", "application/json");
    if (answer.come_back) {
        head.fields.add("Retry-After", come_back_seconds);
    }
    reply_->send(std::move(head), fmt::format("{{\"error\":\"{}\"}}", answer.cause));
    finish(answer.status == unavailable ? "refused" : "rejected", why.empty() ? answer.cause : why);
}

void relay::on_caller_gone()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    abandon_attempt();
    finish("caller_gone", "");
}

void relay::on_deadline()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    abandon_attempt();
    if (begun_) {
        reply_->abort();
        finish("broken_off", "its time is up");
        return;
    }
    if (facts_.may_have_run) {
        refuse({gateway_timeout, "its time is up", false}, "");
        return;
    }
    refuse({unavailable, "its time is up", true}, "");
}

void relay::finish(const char* outcome, const std::string& cause)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    deadline_timer_.stop();
    silence_timer_.stop();
    reply_->on_gone = nullptr;
    reply_->on_drained = nullptr;
    context_.figures.count_end(outcome, cause.substr(0, cause.find(':')));
    log_line line{"request"};
    line.with("id", id_)
        .with("outcome", outcome)
        .with("cause", cause)
        .with("route", route_ != nullptr ? route_->name : "")
        .with("runner", runner_.str())
        .with("group", group_.str())
        .with("sent", facts_.sent)
        .with("ms", to_ms(steady_now() - arrived_))
        .with("config", routes_ != nullptr ? routes_->version() : 0);
    line.write();
    on_end_(shared_from_this());
}

void relay::log_attempt(const char* outcome, const std::string& why) const
{
    log_line{"attempt"}
        .with("id", id_)
        .with("outcome", outcome)
        .with("runner", runner_.str())
        .with("group", group_.str())
        .with("why", why)
        .write();
}

} // namespace cedarpoint
