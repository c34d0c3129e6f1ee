// What a runner says of its rate limit, and what follows from several answers.

#include "cedarpoint/fleet/rate_limit.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using kind_t = rate_limit_reading::kind_t;

constexpr instant start{seconds{100}};

TEST(a_named_rate, is_a_decimal_number_that_is_not_negative)
{
    EXPECT_EQ(parse_request_rate("2.1"), request_rate{2.1});
    EXPECT_EQ(parse_request_rate(" 12 "), request_rate{12});
    EXPECT_EQ(parse_request_rate("0"), request_rate{0});
    for (const auto* text : {"", " ", "-1", "-0.5", "nan", "inf", "-inf", "2.1x", "1 2", "many",
                             "1e999", "0x10", "+2"}) {
        EXPECT_FALSE(parse_request_rate(text)) << text;
    }
    EXPECT_EQ(parse_request_rate("1e300"), highest_request_rate) << "binds nobody";
}

TEST(a_named_rate, is_the_lowest_of_several_in_one_answer)
{
    EXPECT_EQ(read_rate_limit({}).kind, kind_t::absent);
    const auto twice = read_rate_limit({"8", "3"});
    EXPECT_EQ(twice.kind, kind_t::named);
    EXPECT_EQ(twice.rate, request_rate{3});
    const auto half_readable = read_rate_limit({"nan", "4", "-1"});
    EXPECT_EQ(half_readable.kind, kind_t::named);
    EXPECT_EQ(half_readable.rate, request_rate{4});
    EXPECT_EQ(read_rate_limit({"nan"}).kind, kind_t::unreadable);
}

TEST(a_rate_limit, ends_only_with_an_answer_that_was_surely_made_later)
{
    rate_limit_record it;
    EXPECT_FALSE(it.is_limited());
    it.on_not_named(start);
    it.on_named({2}, start + milliseconds{10});
    EXPECT_TRUE(it.is_limited());
    it.on_not_named(start + milliseconds{9});
    EXPECT_TRUE(it.is_limited()) << "its request was sent before the limit was heard of";
    it.on_not_named(start + milliseconds{11});
    EXPECT_FALSE(it.is_limited());
    it.on_named({3}, start + milliseconds{20});
    EXPECT_TRUE(it.is_limited()) << "named anew";
    EXPECT_EQ(it.rate(), request_rate{3});
    it.on_named({9}, start + milliseconds{15});
    EXPECT_EQ(it.rate(), request_rate{3}) << "heard before the latest";
}

TEST(a_rate_limit, is_the_same_in_whatever_order_it_is_put_together)
{
    rate_limit_record named;
    named.on_named({2}, start);
    rate_limit_record ended;
    ended.on_not_named(start + milliseconds{5});
    rate_limit_record again;
    again.on_named({4}, start + milliseconds{9});

    rate_limit_record forward;
    forward.merge(named);
    forward.merge(ended);
    EXPECT_FALSE(forward.is_limited());
    forward.merge(again);
    rate_limit_record backward;
    backward.merge(again);
    backward.merge(ended);
    backward.merge(named);
    for (const auto& it : {forward, backward}) {
        EXPECT_TRUE(it.is_limited());
        EXPECT_EQ(it.rate(), request_rate{4});
    }
}

} // namespace
} // namespace cedarpoint
