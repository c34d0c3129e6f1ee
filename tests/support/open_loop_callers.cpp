#include "support/open_loop_callers.h"

#include "cedarpoint/core/parse_decimal.h"
#include "io/clock.h"

#include <fmt/format.h>
#include <memory>
#include <utility>

namespace cedarpoint::testing_support {

open_loop_callers::open_loop_callers(std::vector<endpoint> entries, double per_second,
                                     std::string name, std::function<request(std::size_t)> make)
    : entries_{std::move(entries)},
      per_second_{per_second}, name_{std::move(name)}, make_{std::move(make)}, began_{steady_now()}
{
    for (std::size_t which = 0; which < entries_.size(); ++which) {
        for (std::size_t share = 0; share <= which % 3; ++share) {
            turns_.push_back(which);
        }
    }
    QObject::connect(&timer_, &QTimer::timeout, [this] { send_due(); });
    timer_.start(5);
}

double open_loop_callers::served_share(instant from, instant until) const
{
    double all = 0;
    double served = 0;
    for (const auto& each : results) {
        const bool counts = each.ended >= from && each.ended < until;
        all += counts ? 1 : 0;
        served += counts && each.status == 200 ? 1 : 0;
    }
    return all == 0 ? 0 : served / all;
}

void open_loop_callers::send_due()
{
    const auto passed = std::chrono::duration<double>(steady_now() - began_).count();
    while (static_cast<double>(sent_) < passed * per_second_) {
        send(turns_[sent_ * 7 % turns_.size()]);
        ++sent_;
    }
}

void open_loop_callers::send(std::size_t to)
{
    const auto what = make_(sent_);
    exchange_request out;
    out.bytes =
        fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Cedarpoint-Request-Id: {}-{}{}\r\n"
                    "X-Cedarpoint-Deadline-Ms: 2000\r\nContent-Length: {}\r\n\r\n{}",
                    what.method, what.target, to, name_, sent_, what.body.size(), what.body);
    auto* connection = pool_.take(entries_[to]);
    const auto began = steady_now();
    const auto answer = std::make_shared<result>();
    exchange_handlers handlers;
    handlers.on_head = [answer](const http_head& head) {
        answer->status = head.status;
        answer->retry_after = parse_decimal(head.fields.get("Retry-After")).value_or(0);
    };
    handlers.on_body = [answer](const std::string& bytes) { answer->text += bytes; };
    handlers.on_end = [this, connection, answer, began](exchange_end how, const reason&) {
        pool_.release(connection);
        answer->ended = steady_now();
        answer->took = answer->ended - began;
        answer->status = how == exchange_end::complete ? answer->status : 0;
        results.push_back(*answer);
    };
    connection->start(std::move(out), std::move(handlers));
}

} // namespace cedarpoint::testing_support
