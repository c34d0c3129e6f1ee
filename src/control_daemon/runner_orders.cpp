#include "control_daemon/runner_orders.h"

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/runner_signals/answer_signals.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"
#include "io/runner_signal_log.h"

#include <array>
#include <utility>

namespace cedarpoint {
namespace {

/// Time limit for an order, from the connection attempt to the end of the answer.
constexpr milliseconds order_timeout{700};
/// Time limit for a probe, and for the connection attempt of an order or a probe.
constexpr milliseconds probe_timeout{300};
/// Longest idle time of a pooled connection that is reused.
constexpr milliseconds max_idle{2500};
/// Longest answer to a probe that is read.
constexpr std::size_t max_report_bytes = 65536;

bool is_order(const planner_step& step)
{
    return step.kind == planner_step::kind_t::order;
}

/// Maps the HTTP status of a runner's answer to the result of the order.
order_result result_of(int status)
{
    switch (status) {
    case http_status::ok:
    case http_status::accepted:
        return order_result::taken;
    case http_status::conflict:
        return order_result::unfit;
    case http_status::precondition_failed:
        return order_result::fenced;
    case http_status::misdirected_request:
        return order_result::refused;
    default:
        return order_result::unknown;
    }
}

} // namespace

std::string_view name_of(probe_failure how)
{
    constexpr std::array<std::string_view, 3> names{"unanswered", "refused", "other runner"};
    return names.at(static_cast<std::size_t>(how));
}

/// One order or probe that waits for its answer.
struct runner_orders::call {
    planner_step step;
    incarnation its_incarnation; ///< the runner's start time, as known when the call began
    runner_connection* connection = nullptr;
    int status = 0;   ///< 0 before the head has arrived
    std::string body; ///< of a probe's answer; at most one byte more than the limit
    QTimer timer;
};

runner_orders::runner_orders(const platform_adapter& platform, hooks hooks)
    : platform_{platform}, hooks_{std::move(hooks)}
{
}

runner_orders::~runner_orders()
{
    cancel_all();
}

std::string runner_orders::make_request(const planner_step& step) const
{
    const auto body = is_order(step) ? platform_.write_order(step.order) : std::string{};
    const auto& path = is_order(step) ? platform_.paths().order : platform_.paths().status;
    std::string out = (is_order(step) ? "POST " : "GET ") + path + " HTTP/1.1\r\n";
    out += "Host: " + step.order.address.str() + "\r\n";
    out += platform_.headers().expected_runner + ": " + step.order.to.str() + "\r\n";
    if (is_order(step)) {
        out += "Content-Type: application/json\r\n";
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

void runner_orders::execute_step(const planner_step& step)
{
    const auto its_incarnation = hooks_.incarnation_of(step.order.to);
    holds_.on_incarnation(steady_now(), step.order.to, its_incarnation);
    if (holds_.find(steady_now(), step.order.to) == send_hold::paused) {
        return;
    }
    const auto each = std::make_shared<call>();
    each->step = step;
    each->its_incarnation = its_incarnation;
    calls_.insert(each);
    each->connection = pool_.take(step.order.address, max_idle);
    start_timer(each);
    start(each);
}

void runner_orders::start_timer(const call_ptr& each)
{
    const std::weak_ptr<call> weak = each;
    each->timer.setSingleShot(true);
    QObject::connect(&each->timer, &QTimer::timeout, [this, weak] {
        if (const auto late = weak.lock()) {
            late->connection->cancel();
            on_end(late, exchange_end::cut);
        }
    });
    const auto timeout = is_order(each->step) ? order_timeout : probe_timeout;
    each->timer.start(static_cast<int>(timeout.count()));
}

void runner_orders::start(const call_ptr& each)
{
    exchange_request request;
    request.bytes.head = make_request(each->step);
    request.connect_timeout = probe_timeout;
    const std::weak_ptr<call> weak = each;
    exchange_handlers handlers;
    handlers.on_sending = [this, weak] {
        if (const auto open = weak.lock()) {
            on_connected(open);
        }
    };
    handlers.on_head = [this, weak](const http_head& head) {
        if (const auto open = weak.lock()) {
            open->status = head.status;
            record_signals(*open, head);
        }
    };
    handlers.on_body = [weak](const std::string& bytes) {
        if (const auto open = weak.lock(); open && !is_order(open->step)) {
            open->body.append(bytes, 0, max_report_bytes + 1 - open->body.size());
        }
    };
    handlers.on_end = [this, weak](exchange_end how, const reason& /*why*/) {
        if (const auto open = weak.lock()) {
            on_end(open, how);
        }
    };
    each->connection->start(std::move(request), std::move(handlers));
}

void runner_orders::close(const call_ptr& each)
{
    each->timer.stop();
    calls_.erase(each);
    pool_.release(std::exchange(each->connection, nullptr));
}

void runner_orders::on_connected(const call_ptr& each)
{
    const bool is_paused = holds_.find(steady_now(), each->step.order.to) == send_hold::paused;
    if (hooks_.may_send() && !is_paused) {
        return;
    }
    each->connection->cancel();
    close(each);
}

void runner_orders::record_signals(const call& each, const http_head& head)
{
    const auto& runner = each.step.order.to;
    const auto signals = read_answer_signals({head.status,
                                              {},
                                              head.fields.values(retry_after_field),
                                              head.fields.values(platform_.headers().leaving)});
    if (signals.asks_for_pause()) {
        holds_.on_pause(steady_now(), runner, each.its_incarnation, signals.pause.time);
    }
    if (signals.leave == leave_reading::leaving) {
        hooks_.on_leaving(runner, each.its_incarnation);
    }
    log_signals(runner, signals, {}, "");
}

void runner_orders::on_end(const call_ptr& each, exchange_end how)
{
    close(each);
    if (is_order(each->step)) {
        report_order(*each, how);
    }
    else {
        report_probe(*each, how);
    }
}

void runner_orders::report_order(const call& each, exchange_end how)
{
    auto result = order_result::unknown;
    if (how == exchange_end::refused) {
        result = order_result::unreached;
    }
    else if (how == exchange_end::complete) {
        result = result_of(each.status);
    }
    hooks_.on_order_end(each.step.order, result);
}

void runner_orders::report_probe(const call& each, exchange_end how)
{
    const auto& runner = each.step.order.to;
    const bool complete = how == exchange_end::complete;
    if (complete && each.status == http_status::ok) {
        hooks_.on_probe_answered(runner, read_report(each));
    }
    else if (complete && each.status == http_status::misdirected_request) {
        hooks_.on_probe_failed(runner, probe_failure::other_runner);
    }
    else {
        const bool refused = how == exchange_end::refused;
        hooks_.on_probe_failed(runner,
                               refused ? probe_failure::refused : probe_failure::unanswered);
    }
}

std::optional<probe_report> runner_orders::read_report(const call& each) const
{
    reason why{"read report", {}, "it is too long"};
    auto out =
        each.body.size() > max_report_bytes ? std::nullopt : platform_.read_report(each.body, why);
    if (!out) {
        log_line("report_unreadable")
            .with("runner", each.step.order.to.str())
            .with("reason", why.str())
            .write();
    }
    return out;
}

void runner_orders::cancel_all()
{
    const auto calls = std::exchange(calls_, {});
    for (const auto& each : calls) {
        each->timer.stop();
        each->connection->cancel();
        pool_.release(std::exchange(each->connection, nullptr));
    }
}

} // namespace cedarpoint
