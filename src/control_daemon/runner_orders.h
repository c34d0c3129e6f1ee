#pragma once

#include "cedarpoint/fleet/group_planner.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "io/runner_pool.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <set>

namespace cedarpoint {

/// Why a look at a runner told nothing of it.
enum class look_failure { unanswered, refused, other_runner };

/// Carries the planner's orders and looks to runners and their answers back.
class runner_orders {
public:
    struct hooks {
        std::function<void(const group_order&, order_result)> on_order;
        std::function<void(const runner_id&)> on_look_answered;
        std::function<void(const runner_id&, look_failure)> on_look_failed;
    };

    runner_orders(const platform_adapter& platform, hooks hooks);
    ~runner_orders();
    runner_orders(const runner_orders&) = delete;
    runner_orders& operator=(const runner_orders&) = delete;

    void carry_out(const planner_step& step);
    /// Gives up what is under way: this process may no longer give orders.
    void cancel_all();

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;

    [[nodiscard]] std::string make_request(const planner_step& step) const;
    void on_end(const call_ptr& each, exchange_end how);
    void report(const call& each, exchange_end how);
    void report_order(const call& each, exchange_end how);
    void report_look(const call& each, exchange_end how);
    void close(const call_ptr& each);

    const platform_adapter& platform_;
    hooks hooks_;
    runner_pool pool_;
    std::set<call_ptr> calls_;
};

} // namespace cedarpoint
