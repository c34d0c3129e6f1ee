#include "control_daemon/loop_monitor.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

/// The turns of an event loop whose timer fires every 20 ms.
class a_loop : public testing::Test {
protected:
    std::optional<loop_monitor::slow_turn> turn(duration in_messages, duration in_plan)
    {
        pass(milliseconds{20}, loop_part::between_ticks);
        pass(in_messages, loop_part::messages);
        pass(in_plan, loop_part::plan);
        return monitor_.end_turn(now_);
    }

    void SetUp() override { monitor_.end_part(now_, loop_part::between_ticks); }

private:
    void pass(duration time, loop_part part)
    {
        now_ += time;
        monitor_.end_part(now_, part);
    }

    loop_monitor monitor_;
    instant now_{seconds{10}};
};

TEST_F(a_loop, whose_turns_are_short_reports_none)
{
    for (int n = 0; n < 100; ++n) {
        EXPECT_FALSE(turn(milliseconds{10}, milliseconds{30}));
    }
}

TEST_F(a_loop, reports_a_slow_turn_with_its_parts)
{
    EXPECT_FALSE(turn(milliseconds{1}, milliseconds{2}));
    const auto slow = turn(milliseconds{30}, milliseconds{70});
    ASSERT_TRUE(slow);
    EXPECT_EQ(slow->total, milliseconds{120});
    EXPECT_EQ(slow->of(loop_part::between_ticks), milliseconds{20});
    EXPECT_EQ(slow->of(loop_part::messages), milliseconds{30});
    EXPECT_EQ(slow->of(loop_part::plan), milliseconds{70});
    EXPECT_EQ(slow->of(loop_part::view), duration{});
}

TEST_F(a_loop, that_stays_slow_reports_one_turn_a_second)
{
    int reported = 0;
    for (int n = 0; n < 20; ++n) { // each takes 220 ms
        reported += turn(milliseconds{100}, milliseconds{100}) ? 1 : 0;
    }
    EXPECT_EQ(reported, 4);
}

} // namespace
} // namespace cedarpoint
