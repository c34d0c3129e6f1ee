#include "control_daemon/runner_orders.h"

#include "daemon/site.h"
#include "io/clock.h"
#include "io/http_listener.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::pass_time;
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
        hooks.on_probe_answered = [this](const runner_id&,
                                         const std::optional<probe_report>& report) {
            reports.push_back(report);
        };
        hooks.on_probe_failed = [](const runner_id&, probe_failure) {};
        hooks.incarnation_of = [this](const runner_id&) { return its_incarnation; };
        hooks.on_leaving = [this](const runner_id&, incarnation departed_incarnation) {
            leaving.push_back(departed_incarnation);
        };
        orders = std::make_unique<runner_orders>(installed_platform(), std::move(hooks));
    }

    void give_order() { execute(planner_step::kind_t::order); }
    void probe() { execute(planner_step::kind_t::probe); }
    void execute(planner_step::kind_t kind)
    {
        planner_step step;
        step.kind = kind;
        step.order.kind = order_kind::leave;
        step.order.to = runner_id{"i-1"};
        step.order.address = runner.address();
        orders->execute_step(step);
    }

    int received = 0;
    int ended = 0;
    bool leads = true;
    incarnation its_incarnation{1000};
    std::vector<incarnation> leaving; ///< incarnations that announced that they leave
    http_head answer{200, {}};
    std::string body; ///< of each answer
    std::vector<std::optional<probe_report>> reports;
    http_listener runner{caller_limits{},
                         [this](const http_request&, const std::shared_ptr<http_reply>& reply) {
                             ++received;
                             reply->send(http_head{answer}, body);
                         }};
    std::unique_ptr<runner_orders> orders;
};

TEST_F(orders_to_a_runner, are_sent_while_the_lease_holds)
{
    give_order();
    EXPECT_TRUE(wait_until([&] { return ended == 1; }));
    EXPECT_EQ(received, 1);
}

// Guards against an order that waited for its connection and is sent after the lease has ended.
TEST_F(orders_to_a_runner, are_dropped_if_the_lease_has_ended_when_the_connection_is_there)
{
    give_order();
    leads = false;
    pass_time(milliseconds{300});
    EXPECT_EQ(received, 0);
    EXPECT_EQ(ended, 0) << "the order has no result";
}

// Guards against orders and probes to a runner that has asked this control daemon for a pause.
TEST_F(orders_to_a_runner, wait_until_a_pause_that_it_has_asked_for_is_over)
{
    answer.status = 503;
    answer.fields.add("Retry-After", "0.6");
    give_order();
    EXPECT_TRUE(wait_until([&] { return ended == 1; }));
    answer = {200, {}};
    for (int n = 0; n < 3; ++n) {
        give_order();
        pass_time(milliseconds{100});
    }
    EXPECT_EQ(received, 1);
    pass_time(milliseconds{400});
    give_order();
    EXPECT_TRUE(wait_until([&] { return ended == 2; }));
    EXPECT_EQ(received, 2);
}

TEST_F(orders_to_a_runner, tell_that_it_leaves_in_the_incarnation_that_was_asked)
{
    answer.fields.add("Server-Leaving", "1");
    give_order();
    its_incarnation = incarnation{2000}; // the runner has restarted in the meantime
    EXPECT_TRUE(wait_until([&] { return ended == 1; }));
    EXPECT_EQ(leaving, std::vector{incarnation{1000}});

    answer.status = 421;
    give_order();
    EXPECT_TRUE(wait_until([&] { return ended == 2; }));
    EXPECT_EQ(leaving.size(), 1U) << "another runner has its address";
}

// Guards against a report that is cut short or out of range and is read as a state of the runner.
TEST_F(orders_to_a_runner, tell_what_it_reports_unless_that_is_unreadable)
{
    body = R"({"sequence":7,"born":1000,"group":{"name":"g","epoch":12,"rank":1,"state":"ready"}})";
    probe();
    ASSERT_TRUE(wait_until([&] { return reports.size() == 1; }));
    ASSERT_TRUE(reports.back());
    EXPECT_EQ(reports.back()->orders, order_count{7});
    EXPECT_EQ(reports.back()->born, incarnation{1000});
    EXPECT_EQ(reports.back()->membership->group, group_id{"g"});
    const std::vector<std::string> unreadable{"",
                                              "{}",
                                              R"({"sequence":-1})",
                                              R"({"sequence":1.5})",
                                              R"({"sequence":1e30})",
                                              R"({"sequence":7,"group":{"name":"g"}})",
                                              R"({"sequence":7})" +
                                                  std::string(std::size_t{1} << 20, ' ')};
    for (const auto& each : unreadable) {
        body = each;
        const auto before = reports.size();
        probe();
        ASSERT_TRUE(wait_until([&] { return reports.size() > before; }));
        EXPECT_FALSE(reports.back()) << each.substr(0, 80);
    }
}

} // namespace
} // namespace cedarpoint
