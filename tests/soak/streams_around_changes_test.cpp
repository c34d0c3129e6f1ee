// Streams of real processes around changes of the configuration: which are cut, and by what.
// STREAMS_PER_SECOND sets the load of a manual run.

#include "daemon/site.h"
#include "io/clock.h"
#include "soak/streams_of_a_fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::pass_time;
using testing_support::streams_of_a_fleet;

/// From the end of a process to the time when its callers have noticed.
constexpr duration notice_time = milliseconds{300};

class streams_around_changes : public streams_of_a_fleet {
protected:
    streams_around_changes() : streams_of_a_fleet{{.net = 48, .log_name = "streams-changes"}} {}
};

class streams_at_the_end_of_all_processes : public streams_of_a_fleet {
protected:
    streams_at_the_end_of_all_processes()
        : streams_of_a_fleet{{.net = 49, .log_name = "streams-end"}}
    {
    }
};

// Guards against a change that cuts streams, alone, in a series, large, repeated or refused, and
// while control daemons are killed.
TEST_F(streams_around_changes, are_cut_by_no_change)
{
    const auto begin = steady_now();
    for (int n = 0; n < 8; ++n) {
        EXPECT_TRUE(put_next());
        if (n % 3 == 0) {
            put_again();
            put_invalid();
        }
        if (n % 4 == 3) {
            for (int control = 0; control < fleet_processes::control_count; ++control) {
                fleet.at(control).signal(SIGKILL);
            }
            for (int control = 0; control < fleet_processes::control_count; ++control) {
                fleet.start(control, false);
            }
        }
        pass_time(milliseconds{400});
    }
    callers->stop();
    pass_time(seconds{4});
    EXPECT_TRUE(cut_before(steady_now()).empty()) << cut_before(steady_now()).size();
    const auto served = std::count_if(callers->results.begin(), callers->results.end(),
                                      [](const auto& it) { return it.status == 200; });
    EXPECT_GT(callers->served_share(begin, steady_now()), 0.9);
    std::printf("%td streams served, %zu without a complete answer\n", served,
                cut_before(steady_now()).size());
}

// Shows what the end of all processes right after an acknowledgement looks like: the streams that
// were in flight are cut at that moment, and no others.
TEST_F(streams_at_the_end_of_all_processes, are_cut_at_that_moment_only)
{
    EXPECT_TRUE(put_next());
    const auto killed = steady_now();
    for (int n = 0; n < fleet.count(); ++n) {
        fleet.at(n).signal(SIGKILL);
    }
    pass_time(notice_time);
    callers->stop();
    const auto in_flight = cut_before(killed).size();
    for (const auto& each : cut_before(killed)) {
        EXPECT_GE(each.ended, killed) << each.id;
        EXPECT_LE(each.ended, killed + notice_time) << each.id;
    }
    EXPECT_GT(in_flight, 0U) << "as many as are in flight at the rate and length of the streams";
    for (int n = 0; n < fleet.count(); ++n) {
        fleet.start(n, false);
    }
    pass_time(seconds{4});
    EXPECT_EQ(cut_before(killed).size(), in_flight) << "all are cut at once";
    std::printf("%zu streams in flight were cut\n", in_flight);
}

} // namespace
} // namespace cedarpoint
