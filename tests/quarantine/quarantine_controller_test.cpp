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
               const std::vector<std::pair<crash_cause, int>>& in_flight,
               const char* daemon = "d-1")
    {
        crash_histories report;
        for (const auto& [cause, flight_ms] : in_flight) {
            report[cause].crashes = {{runner_id{runner}, at(ended_ms - flight_ms), at(ended_ms),
                                      daemon_id{daemon}, request_id{"r"}}};
        }
        controller.on_report(report);
    }

    std::vector<crash_cause> decide(int ms)
    {
        std::vector<crash_cause> out;
        for (const auto& order : controller.decide(at(ms), quarantined)) {
            out.push_back(order.cause);
        }
        return out;
    }

    quarantine_controller controller;
    std::set<crash_cause> quarantined;
};

using requests = std::vector<crash_cause>;

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

const crash_cause bad_part = prompt_part{model_id{"m"}, prompt_part_id{"bad"}};
const crash_cause common_part = prompt_part{model_id{"m"}, prompt_part_id{"common"}};
const crash_cause second_part = prompt_part{model_id{"m"}, prompt_part_id{"second"}};

/// A request that is sent once.
crash_cause unique(std::uint64_t n)
{
    return request_fingerprint{100 + n, 0};
}

class prompt_parts_test : public quarantine_controller_test {
protected:
    void answer(const crash_cause& cause, int ms)
    {
        crash_histories report;
        report[cause].answered_at = at(ms);
        controller.on_report(report);
    }

    /// Different requests with the bad part crash a runner each, 200 ms apart. Sound requests with
    /// the common part are in flight there, sent earlier.
    void crash_by_bad_part(int count)
    {
        for (int n = 0; n < count; ++n) {
            const auto runner = "r" + std::to_string(n);
            crash(runner.c_str(), n * 200 + 100,
                  {{unique(static_cast<std::uint64_t>(n)), 60}, {bad_part, 60}, {common_part, 90}});
        }
    }
};

// Guards against requests of which no two are alike crashing runner after runner.
TEST_F(prompt_parts_test, add_up_over_different_requests)
{
    crash_by_bad_part(2);
    EXPECT_EQ(decide(310), requests{});
    answer(common_part, 320);
    EXPECT_EQ(controller.counts(quarantined).at(bad_part), crashes_to_stop_retries);
    EXPECT_FALSE(controller.counts(quarantined).contains(common_part));
    EXPECT_FALSE(controller.counts(quarantined).contains(unique(0)) &&
                 controller.counts(quarantined).at(unique(0)) > 1);

    crash_by_bad_part(4);
    answer(common_part, 720);
    EXPECT_EQ(decide(730), requests{}) << "answers may be on their way";
    EXPECT_EQ(decide(1000), requests{bad_part});
    quarantined.insert(bad_part);
    EXPECT_EQ(decide(2500), requests{}) << "the crashes are explained";
}

TEST_F(prompt_parts_test, are_not_blamed_while_two_explain_the_same_crashes)
{
    crash_by_bad_part(4);
    EXPECT_EQ(decide(710), requests{});
    EXPECT_EQ(decide(2000), requests{});
    for (const auto& part : {bad_part, common_part}) {
        EXPECT_EQ(controller.counts(quarantined).at(part), 1) << "retries go on";
    }
    // After more crashes, the part with the shorter time in flight is the one that crashes them.
    crash_by_bad_part(5);
    EXPECT_EQ(decide(2100), requests{bad_part});
}

TEST_F(prompt_parts_test, that_only_accompany_the_cause_are_not_quarantined)
{
    for (int n = 0; n < 8; ++n) {
        const auto runner = "r" + std::to_string(n);
        std::vector<std::pair<crash_cause, int>> in_flight{{bad_part, 60}};
        if (n < 5) {
            in_flight.emplace_back(second_part, 50);
        }
        crash(runner.c_str(), n * 200 + 100, in_flight);
    }
    EXPECT_EQ(decide(1600), requests{});
    EXPECT_EQ(decide(2500), requests{bad_part});
}

// A part that is always beside the cause can't be told from it. The later one in the prompt is
// shared by fewer requests.
TEST_F(prompt_parts_test, that_always_stand_together_are_decided_by_their_position)
{
    for (int n = 0; n < 5; ++n) {
        crash_histories report;
        for (std::uint32_t position = 1; position <= 2; ++position) {
            crash_observation seen{runner_id{"r" + std::to_string(n)}, at(n * 200),
                                   at(n * 200 + 50), daemon_id{"d-1"}, request_id{"r"}};
            seen.position = position;
            report[position == 1 ? bad_part : second_part].crashes = {seen};
        }
        controller.on_report(report);
    }
    EXPECT_EQ(decide(900), requests{});
    EXPECT_EQ(decide(1600), requests{second_part});
}

TEST_F(prompt_parts_test, are_spared_if_one_request_alone_crashes_the_runners)
{
    for (int n = 0; n < 4; ++n) {
        const auto runner = "r" + std::to_string(n);
        crash(runner.c_str(), n * 200 + 100, {{crashing, 60}, {bad_part, 60}});
    }
    EXPECT_EQ(decide(710), requests{crashing}) << "the request is the narrower cause";
    quarantined.insert(crashing);
    EXPECT_EQ(decide(2500), requests{});

    // Other requests with the part crash runners as well.
    crash("x", 3000, {{unique(0), 60}, {bad_part, 60}});
    EXPECT_EQ(decide(3010), requests{});
    crash("y", 3200, {{unique(1), 60}, {bad_part, 60}});
    EXPECT_EQ(decide(3300), requests{bad_part}) << "suspected for long";
}

// Guards against quarantining a popular part when runners crash for another reason.
TEST_F(prompt_parts_test, are_cleared_by_any_answer_to_a_request_that_has_them)
{
    for (int n = 0; n < 20; ++n) {
        const auto runner = "r" + std::to_string(n);
        crash(runner.c_str(), n * 200 + 100,
              {{unique(static_cast<std::uint64_t>(n)), 80}, {common_part, 150}});
        answer(common_part, n * 200 + 150);
        EXPECT_EQ(decide(n * 200 + 160), requests{});
    }
    EXPECT_FALSE(controller.counts(quarantined).contains(common_part));

    // All runners of a rack fail at once.
    for (int n = 0; n < 12; ++n) {
        const auto runner = "s" + std::to_string(n);
        crash(runner.c_str(), 5000 + n, {{common_part, 150}});
    }
    EXPECT_EQ(decide(5100), requests{});
    EXPECT_EQ(decide(9000), requests{});
}

// Guards against the shared parts being evicted by the many suspects that each crash brings.
TEST_F(prompt_parts_test, are_kept_however_many_requests_are_in_flight)
{
    std::uint64_t next = 0;
    for (int n = 0; n < 4; ++n) {
        std::vector<std::pair<crash_cause, int>> in_flight{{bad_part, 60}};
        for (int k = 0; k < 900; ++k) {
            in_flight.emplace_back(unique(next++), 500);
        }
        const auto runner = "r" + std::to_string(n);
        crash(runner.c_str(), n * 200 + 100, in_flight);
    }
    EXPECT_EQ(decide(710), requests{});
    EXPECT_EQ(decide(1400), requests{bad_part});
}

TEST_F(quarantine_controller_test, drops_all_observations_with_a_new_term)
{
    crash("a", 50, {{crashing, 50}});
    controller.clear();
    EXPECT_TRUE(controller.counts(quarantined).empty());
}

} // namespace
} // namespace cedarpoint
