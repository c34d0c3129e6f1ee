#include "control_daemon/runner_orders.h"

#include <utility>

namespace cedarpoint {
namespace {

constexpr milliseconds order_patience{700};
constexpr milliseconds look_patience{300};
constexpr milliseconds rest_of_connections{2500};
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr int status_fenced = 412;
constexpr int status_misdirected = 421;

} // namespace

/// One order or look that waits for its answer.
struct runner_orders::call {
    planner_step step;
    runner_connection* connection = nullptr;
    int status = 0;
    std::string body;
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
    const bool is_order = step.kind == planner_step::kind_t::order;
    const auto body = is_order ? platform_.write_order(step.order) : std::string{};
    const auto& path = is_order ? platform_.paths().order : platform_.paths().status;
    std::string out = (is_order ? "POST " : "GET ") + path + " HTTP/1.1\r\n";
    out += "Host: " + step.order.address.str() + "\r\n";
    out += platform_.headers().expected_runner + ": " + step.order.to.str() + "\r\n";
    if (is_order) {
        out += "Content-Type: application/json\r\n";
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

void runner_orders::carry_out(const planner_step& step)
{
    const auto each = std::make_shared<call>();
    each->step = step;
    calls_.insert(each);
    exchange_request request;
    request.bytes = make_request(step);
    request.connect_timeout = look_patience;
    each->connection = pool_.take(step.order.address, rest_of_connections);
    each->timer.setSingleShot(true);
    const std::weak_ptr<call> weak = each;
    QObject::connect(&each->timer, &QTimer::timeout, [this, weak] {
        if (const auto late = weak.lock()) {
            late->connection->cancel();
            on_end(late, exchange_end::cut);
        }
    });
    const bool is_order = step.kind == planner_step::kind_t::order;
    each->timer.start(static_cast<int>((is_order ? order_patience : look_patience).count()));
    exchange_handlers handlers;
    handlers.on_head = [weak](const http_head& head) {
        if (const auto open = weak.lock()) {
            open->status = head.status;
        }
    };
    handlers.on_body = [weak](const std::string& bytes) {
        if (const auto open = weak.lock()) {
            open->body += bytes;
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
    pool_.give_back(std::exchange(each->connection, nullptr));
}

void runner_orders::on_end(const call_ptr& each, exchange_end how)
{
    close(each);
    report(*each, how);
}

void runner_orders::report(const call& each, exchange_end how)
{
    if (each.step.kind == planner_step::kind_t::order) {
        report_order(each, how);
    }
    else {
        report_look(each, how);
    }
}

void runner_orders::report_order(const call& each, exchange_end how)
{
    auto result = order_result::unknown;
    if (how == exchange_end::refused) {
        result = order_result::unreached;
    }
    else if (how == exchange_end::complete) {
        switch (each.status) {
        case status_ok:
        case status_accepted:
            result = order_result::taken;
            break;
        case status_conflict:
            result = order_result::unfit;
            break;
        case status_fenced:
            result = order_result::fenced;
            break;
        case status_misdirected:
            result = order_result::refused;
            break;
        default:
            break;
        }
    }
    hooks_.on_order(each.step.order, result);
}

void runner_orders::report_look(const call& each, exchange_end how)
{
    const auto& runner = each.step.order.to;
    if (how == exchange_end::complete && each.status == status_ok) {
        hooks_.on_look_answered(runner);
        return;
    }
    const bool other_runner = how == exchange_end::complete && each.status == status_misdirected;
    hooks_.on_look_failed(runner, other_runner                   ? look_failure::other_runner
                                  : how == exchange_end::refused ? look_failure::refused
                                                                 : look_failure::unanswered);
}

void runner_orders::cancel_all()
{
    const auto calls = std::exchange(calls_, {});
    for (const auto& each : calls) {
        each->timer.stop();
        each->connection->cancel();
        pool_.give_back(std::exchange(each->connection, nullptr));
    }
}

} // namespace cedarpoint
