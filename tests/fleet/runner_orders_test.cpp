#include "control_daemon/runner_orders.h"

#include "daemon/site.h"
#include "io/clock.h"
#include "io/http_listener.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::wait_until;

class orders_to_a_runner : public testing::Test {
protected:
    orders_to_a_runner()
    {
        reason why;
        EXPECT_TRUE(runner.start({"127.0.0.1", 0}, why)) << why.str();
        runner_orders::hooks hooks;
        hooks.may_send = [this] { return leads; };
        hooks.on_order_end = [this](const group_order&, order_result) { ++ended; };
        hooks.on_probe_answered = [](const runner_id&) {};
        hooks.on_probe_failed = [](const runner_id&, probe_failure) {};
        orders = std::make_unique<runner_orders>(installed_platform(), std::move(hooks));
    }

    void give_order()
    {
        planner_step step;
        step.kind = planner_step::kind_t::order;
        step.order.kind = order_kind::leave;
        step.order.to = runner_id{"i-1"};
        step.order.address = runner.address();
        orders->carry_out(step);
    }

    static void pass_time(duration time)
    {
        wait_until([until = steady_now() + time] { return steady_now() > until; });
    }

    int received = 0;
    int ended = 0;
    bool leads = true;
    http_listener runner{caller_limits{},
                         [this](const http_request&, const std::shared_ptr<http_reply>& reply) {
                             ++received;
                             reply->send({200, {}}, "");
                         }};
    std::unique_ptr<runner_orders> orders;
};

TEST_F(orders_to_a_runner, are_sent_while_the_lease_holds)
{
    give_order();
    EXPECT_TRUE(wait_until([&] { return ended == 1; }));
    EXPECT_EQ(received, 1);
}

// Guards against an order that waited for its connection and goes out after the lease has ended.
TEST_F(orders_to_a_runner, are_dropped_if_the_lease_has_ended_when_the_connection_is_there)
{
    give_order();
    leads = false;
    pass_time(milliseconds{300});
    EXPECT_EQ(received, 0);
    EXPECT_EQ(ended, 0) << "what it came to is not known to the next leader either";
}

} // namespace
} // namespace cedarpoint
