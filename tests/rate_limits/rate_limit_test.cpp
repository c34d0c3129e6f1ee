// Tests the parsing of a runner's rate limit, and the state derived from several answers.

#include "cedarpoint/rate_limits/rate_limit.h"

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
    EXPECT_EQ(read_rate_limit({"1e300"}).kind, kind_t::absent) << "too high to be a limit";
}

TEST(a_rate_limit, ends_only_with_an_answer_that_was_certainly_made_later)
{
    rate_limit_record it;
    EXPECT_FALSE(it.is_limited());
    it.on_not_named(start, start);
    it.on_named(start, {2}, start + milliseconds{10});
    EXPECT_TRUE(it.is_limited());
    it.on_not_named(start, start + milliseconds{9});
    EXPECT_TRUE(it.is_limited()) << "the request was sent before the limit was received";
    it.on_not_named(start, start + milliseconds{11});
    EXPECT_FALSE(it.is_limited());
    it.on_named(start, {3}, start + milliseconds{20});
    EXPECT_TRUE(it.is_limited()) << "named again";
    EXPECT_EQ(it.rate(), request_rate{3});
    it.on_named(start, {9}, start + milliseconds{15});
    EXPECT_EQ(it.rate(), request_rate{3}) << "received before the latest";
}

TEST(a_rate_limit, is_the_same_in_any_order_of_merging)
{
    rate_limit_record named;
    named.on_named(start, {2}, start);
    rate_limit_record ended;
    ended.on_not_named(start, start + milliseconds{5});
    rate_limit_record again;
    again.on_named(start, {4}, start + milliseconds{9});

    rate_limit_record forward;
    forward.merge(start, named);
    forward.merge(start, ended);
    EXPECT_FALSE(forward.is_limited());
    forward.merge(start, again);
    rate_limit_record backward;
    backward.merge(start, again);
    backward.merge(start, ended);
    backward.merge(start, named);
    for (const auto& it : {forward, backward}) {
        EXPECT_TRUE(it.is_limited());
        EXPECT_EQ(it.rate(), request_rate{4});
    }
}

TEST(a_rate_limit, that_has_ended_lets_the_rate_grow_before_it_is_over)
{
    rate_limit_record it;
    it.on_named(start, {2}, start);
    EXPECT_EQ(it.allowed(start + seconds{60}), request_rate{2});
    EXPECT_FALSE(it.is_over(start + seconds{60}));
    const auto end = start + seconds{60};
    it.on_not_named(end, end - milliseconds{20});
    EXPECT_EQ(it.allowed(end), request_rate{2});
    EXPECT_EQ(it.allowed(end + seconds{1}), request_rate{8});
    EXPECT_FALSE(it.is_over(end + seconds{1}));
    EXPECT_TRUE(it.is_over(end + seconds{3}));
    it.on_named(end + seconds{4}, {2}, end + seconds{4});
    EXPECT_FALSE(it.is_over(end + seconds{4}));
    EXPECT_EQ(it.allowed(end + seconds{4}), request_rate{2}) << "named again";
}

TEST(a_rate_limit, of_zero_still_allows_the_lowest_rate)
{
    rate_limit_record it;
    it.on_named(start, {0}, start);
    EXPECT_EQ(it.allowed(start), min_request_rate);
}

} // namespace
} // namespace cedarpoint
