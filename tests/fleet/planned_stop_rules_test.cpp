// Which requests an entry daemon still sends to runners while it stops.

#include "cedarpoint/fleet/answer_times.h"
#include "cedarpoint/fleet/planned_stop.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
constexpr planned_stop stop{start + seconds{3}, start + seconds{7}};

TEST(a_stop_of_an_entry_daemon, sends_every_request_while_callers_may_not_know_of_it)
{
    for (const auto repeat :
         {repeat_policy::any_number, repeat_policy::at_most_once, repeat_policy::stream}) {
        EXPECT_TRUE(may_begin(stop, start + seconds{3}, repeat, {}));
    }
}

TEST(a_stop_of_an_entry_daemon, sends_late_requests_only_if_they_may_be_repeated_and_end_in_time)
{
    const auto late = start + seconds{5};
    EXPECT_TRUE(may_begin(stop, late, repeat_policy::any_number, seconds{1}));
    EXPECT_FALSE(may_begin(stop, late, repeat_policy::any_number, milliseconds{1001}));
    EXPECT_FALSE(may_begin(stop, late, repeat_policy::any_number, {})) << "nothing is known";
    EXPECT_FALSE(may_begin(stop, late, repeat_policy::at_most_once, milliseconds{1}));
    EXPECT_FALSE(may_begin(stop, late, repeat_policy::stream, milliseconds{1}));
}

TEST(the_longest_answer, of_a_route_is_known_for_some_time)
{
    answer_times times;
    times.record(start, "a", milliseconds{40});
    times.record(start + seconds{1}, "a", milliseconds{900});
    times.record(start + seconds{2}, "a", milliseconds{50});
    EXPECT_EQ(times.longest(start + seconds{3}, "a"), milliseconds{900});
    EXPECT_EQ(times.longest(start + seconds{3}, "b"), std::nullopt);
    times.record(start + seconds{16}, "a", milliseconds{60});
    EXPECT_EQ(times.longest(start + seconds{17}, "a"), milliseconds{900});
    EXPECT_EQ(times.longest(start + seconds{32}, "a"), milliseconds{60});
    EXPECT_EQ(times.longest(start + seconds{50}, "a"), std::nullopt);
    times.record(start + seconds{60}, "a", milliseconds{70});
    EXPECT_EQ(times.longest(start + seconds{60}, "a"), milliseconds{70});
}

} // namespace
} // namespace cedarpoint
