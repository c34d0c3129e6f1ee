#include "cedarpoint/quarantine/quarantine_controller.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const request_fingerprint crashing{1, 1};
const request_fingerprint second_crashing{2, 2};
const request_fingerprint sound{3, 3};

instant at(int ms)
{
    return instant{} + seconds{1000} + milliseconds{ms};
}

class quarantine_controller_test : public testing::Test {
protected:
    /// A daemon reports that a runner crashed with these requests in flight, each sent `flight_ms`
    /// before.
    void crash(const char* runner, int ended_ms,
               const std::vector<std::pair<request_fingerprint, int>>& in_flight,
               const char* daemon = "d-1")
    {
        crash_histories report;
        for (const auto& [request, flight_ms] : in_flight) {
            report[request].crashes = {{runner_id{runner}, at(ended_ms - flight_ms), at(ended_ms),
                                        daemon_id{daemon}, request_id{"r"}}};
        }
        controller.on_report(report);
    }

    std::vector<request_fingerprint> decide(int ms)
    {
        std::vector<request_fingerprint> out;
        for (const auto& order : controller.decide(at(ms), quarantined)) {
            out.push_back(order.request);
        }
        return out;
    }

    quarantine_controller controller;
    std::set<request_fingerprint> quarantined;
};

using requests = std::vector<request_fingerprint>;

TEST_F(quarantine_controller_test, adds_up_the_crashes_that_several_daemons_report)
{
    crash("a", 50, {{crashing, 50}}, "d-1");
    crash("b", 200, {{crashing, 50}}, "d-2");
    EXPECT_EQ(decide(210), requests{});
    EXPECT_EQ(controller.counts(quarantined).at(crashing), 2);
    crash("c", 400, {{crashing, 50}}, "d-3");
    EXPECT_EQ(decide(410), requests{crashing});

    // The order is repeated until the log holds it.
    EXPECT_EQ(decide(430), requests{});
    EXPECT_EQ(decide(1500), requests{crashing});
    quarantined.insert(crashing);
    EXPECT_EQ(decide(3000), requests{});
    EXPECT_EQ(controller.counts(quarantined).at(crashing), crashes_to_quarantine);
}

// Guards against never distinguishing a request that is sent in several copies at once from a sound
// one in flight beside it: few of its crashes follow one another, and if only these were kept, the
// two requests would have the same count.
TEST_F(quarantine_controller_test,
       distinguishes_a_request_in_many_copies_from_one_with_fewer_crashes)
{
    crash("a", 381, {{crashing, 369}, {sound, 100}});
    crash("b", 841, {{crashing, 459}, {sound, 100}});
    crash("c", 1167, {{crashing, 375}});
    EXPECT_EQ(decide(1170), requests{}) << "only two crashes follow one another";
    crash("d", 1410, {{crashing, 366}, {sound, 100}});
    EXPECT_EQ(decide(1420), requests{crashing});
}

TEST_F(quarantine_controller_test, decides_eventually_however_many_crashes_overlap)
{
    // Another request is involved in each of the first crashes, and in none of the later ones.
    for (int n = 0; n < 40; ++n) {
        const auto runner = "r" + std::to_string(n);
        crash(runner.c_str(), 1000 + n * 10, {{crashing, 900}, {sound, 900}});
    }
    EXPECT_EQ(decide(1500), requests{});
    for (int n = 0; n < 4; ++n) {
        const auto runner = "s" + std::to_string(n);
        crash(runner.c_str(), 3000 + n * 1000, {{crashing, 500}});
    }
    EXPECT_EQ(decide(6100), requests{crashing});
}

TEST_F(quarantine_controller_test, lists_the_crashes_that_justify_the_quarantine)
{
    crash("a", 50, {{crashing, 50}});
    crash("b", 200, {{crashing, 50}});
    crash("c", 400, {{crashing, 50}});
    const auto orders = controller.decide(at(410), quarantined);
    ASSERT_EQ(orders.size(), 1U);
    ASSERT_EQ(orders[0].crashes.size(), 3U);
    EXPECT_EQ(orders[0].crashes[2].runner, runner_id{"c"});
}

TEST_F(quarantine_controller_test, finds_two_crashing_requests_and_no_sound_one_beside_them)
{
    // The sound request is retried at runners that the others crash.
    crash("a", 50, {{crashing, 50}, {sound, 20}});
    crash("b", 100, {{crashing, 50}});
    crash("c", 130, {{second_crashing, 60}, {sound, 40}});
    crash("d", 200, {{second_crashing, 60}});
    crash("e", 400, {{crashing, 50}, {sound, 10}});
    // `crashing` and `sound` each have three crashes, two of them shared: the next crash decides.
    EXPECT_EQ(decide(410), requests{});
    EXPECT_EQ(controller.counts(quarantined).at(crashing), crashes_to_quarantine - 1);
    crash("f", 600, {{crashing, 50}});
    EXPECT_EQ(decide(610), requests{crashing});
    quarantined.insert(crashing);
    EXPECT_EQ(controller.counts(quarantined).at(sound), 1);

    crash("g", 800, {{second_crashing, 60}, {sound, 40}});
    EXPECT_EQ(decide(810), requests{second_crashing});
}

TEST_F(quarantine_controller_test, decides_between_two_requests_that_are_always_in_flight_together)
{
    for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(decide(n * 200), requests{});
        const std::string runner{static_cast<char>('a' + n)};
        crash(runner.c_str(), n * 200 + 50, {{crashing, 30}, {sound, 90}});
    }
    // The request with the shorter time in flight is chosen, and the crashes no longer count
    // against the other one.
    EXPECT_EQ(decide(1000), requests{crashing});
}

TEST_F(quarantine_controller_test, never_quarantines_a_popular_request)
{
    for (int n = 0; n < 20; ++n) {
        const std::string runner{static_cast<char>('a' + n)};
        crash(runner.c_str(), n * 200, {{sound, 50}});
        crash_histories answered;
        answered[sound].answered_at = at(n * 200 + 100);
        controller.on_report(answered);
        EXPECT_EQ(decide(n * 200 + 110), requests{});
    }
    EXPECT_FALSE(controller.counts(quarantined).contains(sound));
}

TEST_F(quarantine_controller_test, drops_all_observations_with_a_new_term)
{
    crash("a", 50, {{crashing, 50}});
    controller.clear();
    EXPECT_TRUE(controller.counts(quarantined).empty());
}

} // namespace
} // namespace cedarpoint
