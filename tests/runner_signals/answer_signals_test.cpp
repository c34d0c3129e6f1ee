#include "cedarpoint/runner_signals/answer_signals.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using kind_t = pause_reading::kind_t;

answer_signals read_503(std::vector<std::string_view> retry_after)
{
    return read_answer_signals({503, {}, std::move(retry_after), {}});
}

duration pause_of(std::vector<std::string_view> retry_after)
{
    const auto read = read_503(std::move(retry_after)).pause;
    EXPECT_EQ(read.kind, kind_t::asked);
    return read.time;
}

// Guards against pauses that end early or never because a value was misread.
TEST(the_pause_that_a_runner_asks_for, is_read_in_seconds_with_a_fraction)
{
    EXPECT_EQ(pause_of({"3"}), seconds{3});
    EXPECT_EQ(pause_of({"1.5"}), milliseconds{1500});
    EXPECT_EQ(pause_of({" 2 \t"}), seconds{2});
    EXPECT_EQ(pause_of({"1e1"}), seconds{10});
    EXPECT_EQ(pause_of({"0.0000001"}), duration{1}) << "rounded up";
}

TEST(the_pause_that_a_runner_asks_for, is_the_longest_of_several)
{
    EXPECT_EQ(pause_of({"1", "3", "2"}), seconds{3});
    EXPECT_EQ(pause_of({"1, 3,2"}), seconds{3});
    EXPECT_EQ(pause_of({"soon", "2"}), seconds{2});
}

TEST(the_pause_that_a_runner_asks_for, is_bounded)
{
    EXPECT_EQ(pause_of({"31536000"}), max_pause);
    EXPECT_EQ(pause_of({"1e300"}), max_pause);
}

TEST(the_pause_that_a_runner_asks_for, changes_nothing_if_it_can_not_be_read)
{
    for (const auto* text : {"", " ", "soon", "nan", "inf", "-1", "-0", "+1", "3 s", "0x10",
                             "1e999", "Thu, 03 Dec 2026 10:00:00 GMT"}) {
        EXPECT_EQ(read_503({text}).pause.kind, kind_t::unreadable) << text;
    }
}

TEST(the_pause_that_a_runner_asks_for, is_absent_if_it_is_zero)
{
    EXPECT_EQ(read_503({"0"}).pause.kind, kind_t::absent);
    EXPECT_EQ(read_503({}).pause.kind, kind_t::absent);
}

TEST(the_pause_that_a_runner_asks_for, comes_with_a_503_alone)
{
    for (const int status : {200, 429, 500, 502, 504}) {
        EXPECT_FALSE(read_answer_signals({status, {}, {"3"}, {}}).asks_for_pause()) << status;
    }
}

TEST(the_leave_of_a_runner, is_read_with_any_status)
{
    for (const int status : {200, 404, 429, 500, 503}) {
        EXPECT_EQ(read_answer_signals({status, {}, {}, {"1"}}).leave, leave_reading::leaving);
    }
    EXPECT_EQ(read_answer_signals({200, {}, {}, {}}).leave, leave_reading::absent);
    for (const auto* text : {"", "0", "true", "11", "yes"}) {
        EXPECT_EQ(read_answer_signals({200, {}, {}, {text}}).leave, leave_reading::unreadable)
            << text;
    }
}

TEST(an_answer_of_another_runner, sets_no_signals_of_the_expected_one)
{
    const auto read = read_answer_signals({421, {"1"}, {"3"}, {"1"}});
    EXPECT_TRUE(read.is_from_other_runner);
    EXPECT_FALSE(read.asks_for_pause());
    EXPECT_EQ(read.leave, leave_reading::absent);
    EXPECT_EQ(read.rate_limit.kind, rate_limit_reading::kind_t::absent);
}

} // namespace
} // namespace cedarpoint
