#include "cedarpoint/quarantine/crash_detector.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const request_fingerprint crashing{1, 1};
const request_fingerprint sound{2, 2};

instant at(int ms)
{
    return instant{} + seconds{1000} + milliseconds{ms};
}

class crash_detector_test : public testing::Test {
protected:
    /// Cuts the connection to the runner that had the request in flight.
    void cut(const request_fingerprint& request, const char* runner, int sent_ms, int ended_ms)
    {
        detector.on_cut({request},
                        {runner_id{runner}, at(sent_ms), at(ended_ms), {}, request_id{"r"}});
    }
    void check(const char* runner, int ms, bool refused)
    {
        detector.on_address_checked(at(ms), runner_id{runner}, refused);
    }
    /// Cuts the connection; 20 ms later the check of the address is refused.
    void crash(const request_fingerprint& request, const char* runner, int sent_ms, int ended_ms)
    {
        cut(request, runner, sent_ms, ended_ms);
        check(runner, ended_ms + 20, true);
    }

    crash_detector detector;
};

TEST_F(crash_detector_test, counts_a_cut_as_a_crash_only_if_the_runner_refuses_connections)
{
    EXPECT_FALSE(detector.has_suspects());
    cut(crashing, "a", 0, 50);
    check("a", 70, false);
    EXPECT_FALSE(detector.has_suspects());
    EXPECT_TRUE(detector.unconfirmed().empty());

    cut(crashing, "b", 100, 150);
    check("b", 170, true);
    ASSERT_EQ(detector.unconfirmed().size(), 1U);
    EXPECT_EQ(detector.unconfirmed().at(crashing).crashes.size(), 1U);
}

TEST_F(crash_detector_test, asks_for_one_check_of_a_runner_for_all_requests_in_flight)
{
    const crash_observation seen{runner_id{"a"}, at(0), at(50), {}, request_id{"r"}};
    EXPECT_TRUE(detector.on_cut({crashing}, seen));
    EXPECT_FALSE(detector.on_cut({sound}, seen));
    EXPECT_EQ(detector.on_address_checked(at(70), runner_id{"a"}, true).size(), 2U);
    EXPECT_TRUE(detector.on_cut({crashing}, seen)) << "the next cut needs a new check";
}

// Guards against one check proving crashes of two incarnations of a runner that restarts quickly.
TEST_F(crash_detector_test, takes_a_refused_connection_as_proof_for_the_latest_incarnation_only)
{
    crash_observation seen{runner_id{"a"}, at(0), at(50), {}, request_id{"r"}, at(0)};
    EXPECT_TRUE(detector.on_cut({sound}, seen));
    // The runner is back after 30 ms and crashes again before the first check is done.
    seen = {runner_id{"a"}, at(90), at(130), {}, request_id{"r"}, at(90)};
    EXPECT_FALSE(detector.on_cut({crashing}, seen));
    const auto ended = detector.on_address_checked(at(150), runner_id{"a"}, true);
    EXPECT_EQ(ended.size(), 1U);
    EXPECT_TRUE(ended.contains(crashing));
    const auto cuts = detector.unconfirmed_cuts(at(160));
    EXPECT_EQ(cuts.size(), 1U);
    EXPECT_TRUE(cuts.contains(sound));
}

TEST_F(crash_detector_test, reports_an_unproved_cut_until_the_leader_confirms_it)
{
    detector.on_confirmed(at(0), 1, at(0));
    cut(crashing, "a", 0, 50);
    EXPECT_TRUE(detector.unconfirmed_cuts(at(60)).empty()) << "the check is under way";
    check("a", 70, false);
    EXPECT_EQ(detector.unconfirmed_cuts(at(100)).size(), 1U);
    detector.on_confirmed(at(150), 1, at(100));
    EXPECT_TRUE(detector.unconfirmed_cuts(at(200)).empty());

    // The next leader does not have the cut.
    detector.on_confirmed(at(300), 2, at(250));
    EXPECT_EQ(detector.unconfirmed_cuts(at(350)).size(), 1U);
    EXPECT_TRUE(detector.unconfirmed_cuts(at(30'000)).empty()) << "too old to be proved";
}

TEST_F(crash_detector_test, drops_the_cuts_of_a_request_that_is_answered)
{
    cut(sound, "a", 0, 50);
    check("a", 70, false);
    EXPECT_TRUE(detector.needs_answers());
    EXPECT_FALSE(detector.has_suspects());
    detector.on_answer(at(90), {sound}, answer_kind::success);
    EXPECT_TRUE(detector.unconfirmed_cuts(at(100)).empty());
    EXPECT_TRUE(detector.unconfirmed().empty()) << "the cut was never reported to the leader";

    cut(sound, "b", 200, 250);
    check("b", 270, false);
    EXPECT_EQ(detector.unconfirmed_cuts(at(300)).size(), 1U);
    detector.on_answer(at(400), {sound}, answer_kind::success);
    EXPECT_EQ(detector.unconfirmed().at(sound).answered_at, at(400))
        << "the cut was reported to the leader";
}

TEST_F(crash_detector_test, stops_the_retries_of_a_request_after_two_runners_crashed)
{
    crash(crashing, "a", 0, 50);
    EXPECT_TRUE(detector.may_retry({crashing}));
    // The connection to a second runner is cut, and its check is still under way.
    cut(crashing, "b", 50, 100);
    EXPECT_FALSE(detector.may_retry({crashing}));

    // The runner accepts connections: the cut was a reset.
    check("b", 120, false);
    EXPECT_TRUE(detector.may_retry({crashing}));
}

// Guards against ending streams whose runners cut their answers but did not crash.
TEST_F(crash_detector_test, allows_retries_after_cuts_that_are_not_proved_to_be_crashes)
{
    cut(sound, "a", 0, 5);
    cut(sound, "b", 5, 10);
    cut(sound, "c", 10, 15);
    EXPECT_TRUE(detector.may_retry({sound}));
    check("a", 25, false);
    check("b", 30, false);
    check("c", 35, false);
    EXPECT_FALSE(detector.has_suspects());
}

TEST_F(crash_detector_test, quarantines_by_its_own_observations_while_no_leader_answers)
{
    crash(crashing, "a", 0, 50);
    crash(crashing, "b", 50, 100);
    EXPECT_FALSE(detector.is_quarantined(at(130), {crashing}));
    crash(crashing, "c", 400, 450);
    EXPECT_TRUE(detector.is_quarantined(at(480), {crashing}));

    // A leader has the observations of all daemons, so its decision counts.
    detector.on_confirmed(at(500), 1, at(490));
    EXPECT_FALSE(detector.is_quarantined(at(510), {crashing}));
    EXPECT_TRUE(detector.is_quarantined(at(1600), {crashing})) << "the leader is lost";
}

TEST_F(crash_detector_test, uses_the_counts_of_the_leader)
{
    detector.set_leader_counts(at(350), {{crashing, 2}});
    EXPECT_TRUE(detector.has_suspects());
    EXPECT_FALSE(detector.may_retry({crashing}));
    EXPECT_TRUE(detector.may_retry({sound}));
    detector.set_leader_counts(at(350), {{crashing, 3}});
    EXPECT_TRUE(detector.is_quarantined(at(0), {crashing}));
    EXPECT_EQ(detector.count_quarantined(), 1U);
    detector.set_leader_counts(at(350), {});
    EXPECT_FALSE(detector.is_quarantined(at(0), {crashing}));
}

TEST_F(crash_detector_test, crashes_of_a_quarantined_request_do_not_count_against_others)
{
    for (int n = 0; n < 3; ++n) {
        const std::string runner{static_cast<char>('a' + n)};
        cut(crashing, runner.c_str(), n * 100, n * 100 + 50);
        cut(sound, runner.c_str(), n * 100, n * 100 + 50);
        check(runner.c_str(), n * 100 + 70, true);
    }
    EXPECT_FALSE(detector.is_quarantined(at(300), {sound}))
        << "both requests were in flight during the same crashes";
    EXPECT_FALSE(detector.may_retry({sound}));
    detector.set_leader_counts(at(350), {{crashing, 3}});
    EXPECT_TRUE(detector.may_retry({sound}));
}

TEST_F(crash_detector_test, an_answer_clears_a_request_here_and_for_the_leader)
{
    crash(sound, "a", 0, 50);
    crash(sound, "b", 50, 100);
    detector.on_answer(at(200), {sound}, answer_kind::success);
    EXPECT_TRUE(detector.may_retry({sound}));
    EXPECT_EQ(detector.unconfirmed().at(sound).answered_at, at(200));

    // A request that only other daemons suspect.
    detector.set_leader_counts(at(350), {{crashing, 1}});
    detector.on_answer(at(300), {crashing}, answer_kind::success);
    EXPECT_EQ(detector.unconfirmed().at(crashing).answered_at, at(300));
}

TEST_F(crash_detector_test, drops_its_observations_of_a_request_whose_quarantine_is_lifted)
{
    crash(crashing, "a", 0, 50);
    crash(crashing, "b", 50, 100);
    crash(crashing, "c", 100, 150);
    EXPECT_TRUE(detector.is_quarantined(at(200), {crashing}));
    detector.set_leader_counts(at(350), {{crashing, 0}});
    EXPECT_FALSE(detector.is_quarantined(at(360), {crashing}));
    EXPECT_TRUE(detector.may_retry({crashing}));

    // Later crashes count again, also while the leader still reports the quarantine as lifted.
    crash(crashing, "d", 400, 450);
    crash(crashing, "e", 450, 500);
    detector.set_leader_counts(at(510), {{crashing, 0}, {sound, 1}});
    EXPECT_FALSE(detector.may_retry({crashing}));
}

class prompt_parts_in_one_daemon : public crash_detector_test {
protected:
    const crash_cause bad_part = prompt_part{model_id{"m"}, prompt_part_id{"bad"}};
    const crash_cause common_part = prompt_part{model_id{"m"}, prompt_part_id{"common"}};

    void crash_under(std::uint64_t request, const char* runner, int ended_ms)
    {
        const possible_causes causes{request_fingerprint{request, 0}, common_part, bad_part};
        detector.on_cut(causes,
                        {runner_id{runner}, at(ended_ms - 50), at(ended_ms), {}, request_id{"r"}});
        check(runner, ended_ms + 20, true);
    }
};

TEST_F(prompt_parts_in_one_daemon, are_reported_with_their_positions)
{
    crash_under(1, "a", 50);
    const auto reported = detector.unconfirmed();
    ASSERT_EQ(reported.size(), 3U);
    EXPECT_EQ(reported.at(request_fingerprint{1, 0}).crashes[0].position, 0U);
    EXPECT_EQ(reported.at(common_part).crashes[0].position, 1U);
    EXPECT_EQ(reported.at(bad_part).crashes[0].position, 2U);
}

TEST_F(prompt_parts_in_one_daemon, count_one_crash_for_all_requests_in_flight)
{
    const crash_observation early{runner_id{"a"}, at(0), at(100), {}, request_id{"r"}};
    const crash_observation late{runner_id{"a"}, at(60), at(101), {}, request_id{"s"}};
    detector.on_cut({request_fingerprint{1, 0}, common_part}, early);
    detector.on_cut({request_fingerprint{2, 0}, common_part}, late);
    check("a", 120, true);
    const auto reported = detector.unconfirmed();
    ASSERT_EQ(reported.at(common_part).crashes.size(), 1U);
    EXPECT_EQ(reported.at(common_part).crashes[0].sent_at, at(0)) << "in flight from the first on";
}

TEST_F(prompt_parts_in_one_daemon, quarantine_all_requests_that_have_them)
{
    const possible_causes other{request_fingerprint{9, 0}, common_part, bad_part};
    const possible_causes sound_one{request_fingerprint{8, 0}, common_part};
    detector.set_leader_counts(at(0), {{bad_part, crashes_to_stop_retries}, {common_part, 1}});
    EXPECT_FALSE(detector.may_retry(other));
    EXPECT_TRUE(detector.may_retry(sound_one));
    EXPECT_FALSE(detector.is_quarantined(at(0), other));
    detector.set_leader_counts(at(0), {{bad_part, crashes_to_quarantine}});
    EXPECT_EQ(detector.find_quarantined(at(0), other), bad_part);
    EXPECT_FALSE(detector.is_quarantined(at(0), sound_one));
}

TEST_F(prompt_parts_in_one_daemon, quarantine_by_its_own_observations_while_no_leader_answers)
{
    const possible_causes next{request_fingerprint{9, 0}, common_part, bad_part};
    for (int n = 0; n < 3; ++n) {
        const std::string runner{static_cast<char>('a' + n)};
        crash_under(static_cast<std::uint64_t>(n), runner.c_str(), n * 100 + 50);
        detector.on_answer(at(n * 100 + 80), {request_fingerprint{7, 0}, common_part},
                           answer_kind::success);
    }
    EXPECT_EQ(detector.find_quarantined(at(400), next), bad_part);
    EXPECT_FALSE(detector.is_quarantined(at(400), {request_fingerprint{7, 0}, common_part}));
}

TEST_F(prompt_parts_in_one_daemon, are_cleared_by_success_only)
{
    crash_under(1, "a", 50);
    detector.on_answer(at(100), {request_fingerprint{7, 0}, common_part}, answer_kind::failure);
    EXPECT_FALSE(detector.unconfirmed().at(common_part).answered_at.has_value());
    detector.on_answer(at(110), {request_fingerprint{7, 0}, common_part}, answer_kind::success);
    EXPECT_EQ(detector.unconfirmed().at(common_part).answered_at, at(110));

    // A part that only other daemons suspect.
    detector.set_leader_counts(at(200), {{bad_part, 1}});
    detector.on_answer(at(210), {request_fingerprint{6, 0}, bad_part}, answer_kind::success);
    EXPECT_EQ(detector.unconfirmed().at(bad_part).answered_at, at(210));
}

// Guards against refusing a retry to a sound request that lost two runners to another request.
TEST_F(prompt_parts_in_one_daemon, explain_the_crashes_of_the_requests_beside_them)
{
    const possible_causes beside{sound};
    for (int n = 0; n < 3; ++n) {
        const std::string runner{static_cast<char>('a' + n)};
        if (n < 2) {
            cut(sound, runner.c_str(), n * 100, n * 100 + 50);
        }
        crash_under(static_cast<std::uint64_t>(n) + 20, runner.c_str(), n * 100 + 50);
    }
    EXPECT_TRUE(detector.may_retry(beside));
}

TEST_F(crash_detector_test, keeps_no_answer_to_a_request_that_is_not_suspected)
{
    detector.on_answer(at(0), {sound}, answer_kind::success);
    EXPECT_FALSE(detector.has_suspects());
}

TEST_F(crash_detector_test, reports_until_the_leader_has_answered_and_again_to_the_next_one)
{
    detector.on_confirmed(at(0), 1, at(0));
    crash(crashing, "a", 0, 50);
    detector.on_confirmed(at(80), 1, at(60)); // answers a report made before the check
    EXPECT_EQ(detector.unconfirmed().size(), 1U);
    detector.on_confirmed(at(150), 1, at(100));
    EXPECT_TRUE(detector.unconfirmed().empty());

    // The next leader has no observations. Its first answer is to a report without any.
    detector.on_confirmed(at(300), 2, at(250));
    EXPECT_EQ(detector.unconfirmed().size(), 1U);
    detector.on_confirmed(at(400), 2, at(350));
    EXPECT_TRUE(detector.unconfirmed().empty());
}

TEST_F(crash_detector_test, bounds_the_number_of_requests_that_it_keeps)
{
    for (std::uint64_t n = 0; n < 2000; ++n) {
        crash({n, n}, "a", static_cast<int>(n) * 10, static_cast<int>(n) * 10 + 5);
    }
    EXPECT_LE(detector.unconfirmed().size(), 256U);
}

} // namespace
} // namespace cedarpoint
