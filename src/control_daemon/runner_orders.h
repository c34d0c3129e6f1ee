#pragma once

#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/runner_signals/send_holds.h"
#include "io/runner_pool.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace cedarpoint {

/// Why a probe failed to get a runner's state.
enum class probe_failure {
    unanswered,
    refused,     ///< the address answered with a reset
    other_runner ///< another runner has the address
};

/// Returns the name used in the log.
std::string_view name_of(probe_failure how);

/// Sends the planner's orders and probes to runners and reports their results.
class runner_orders {
public:
    struct hooks {
        /// Called once the connection is open, since this daemon's lease may have ended meanwhile.
        std::function<bool()> may_send;
        std::function<void(const group_order&, order_result)> on_order_end;
        /// `report`: the content of the answer; empty if it is unreadable.
        std::function<void(const runner_id&, const std::optional<probe_report>& report)>
            on_probe_answered;
        std::function<void(const runner_id&, probe_failure)> on_probe_failed;
        /// Returns the latest known start time of a runner; 0 if unknown.
        std::function<incarnation(const runner_id&)> incarnation_of;
        /// Called when an answer says that the runner leaves. `incarnation` is the runner's start
        /// time as known when the call began.
        std::function<void(const runner_id&, incarnation)> on_leaving;
    };

    runner_orders(const platform_adapter& platform, hooks hooks);
    ~runner_orders();
    runner_orders(const runner_orders&) = delete;
    runner_orders& operator=(const runner_orders&) = delete;

    /// Sends an order or a probe. Drops the step while the runner has asked this daemon for a
    /// pause; the planner repeats it.
    void execute_step(const planner_step& step);
    /// Cancels all calls without a report, since this process may no longer give orders.
    void cancel_all();

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;

    [[nodiscard]] std::string make_request(const planner_step& step) const;
    void start(const call_ptr& each);
    void start_timer(const call_ptr& each);
    /// Drops the call unless it may still be sent.
    void on_connected(const call_ptr& each);
    /// Records the signals in the answer's head: pause and leave.
    void record_signals(const call& each, const http_head& head);
    void on_end(const call_ptr& each, exchange_end how);
    void report_order(const call& each, exchange_end how);
    void report_probe(const call& each, exchange_end how);
    [[nodiscard]] std::optional<probe_report> read_report(const call& each) const;
    void close(const call_ptr& each);

    const platform_adapter& platform_;
    hooks hooks_;
    runner_pool pool_;
    send_holds holds_;
    std::set<call_ptr> calls_;
};

} // namespace cedarpoint
