// Tests which cut connections are proved to be crashes by later incarnations of the runner.

#include "cedarpoint/quarantine/quarantine_controller.h"
#include "cedarpoint/quarantine/runner_incarnations.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const runner_id runner{"a"};
const request_fingerprint cut_request{1, 1};
constexpr incarnation first{1000};
constexpr incarnation second{2000};
constexpr incarnation third{3000};

instant at(int ms)
{
    return instant{} + seconds{1000} + milliseconds{ms};
}

TEST(incarnations_of_a_runner, prove_that_a_cut_was_a_crash_once_a_later_one_is_seen)
{
    runner_incarnations incarnations;
    EXPECT_TRUE(incarnations.on_heartbeat(at(0), runner, first));
    EXPECT_FALSE(incarnations.on_heartbeat(at(1000), runner, first));
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(900), at(1500)), std::nullopt)
        << "no heartbeat since the cut";
    EXPECT_TRUE(incarnations.on_heartbeat(at(2000), runner, second));
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(900), at(1500)), first);

    // A heartbeat of the same incarnation arrived after this cut, so it was a reset.
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(-50), at(500)), std::nullopt);
    // This cut is in the current incarnation.
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(1900), at(2500)), std::nullopt);
    EXPECT_EQ(incarnations.incarnation_at(runner, at(2500)), second);
    EXPECT_EQ(incarnations.incarnation_at(runner, at(1500)), first);
    EXPECT_EQ(incarnations.incarnation_at(runner, at(-1)), std::nullopt);
}

// Guards against quarantining a sound request that was cut by whoever keeps the port of a runner
// that is down.
TEST(incarnations_of_a_runner, are_not_proved_to_end_by_connections_made_after_the_last_heartbeat)
{
    runner_incarnations incarnations;
    incarnations.on_heartbeat(at(0), runner, first);
    incarnations.on_heartbeat(at(1000), runner, first);
    incarnations.on_heartbeat(at(2000), runner, second);
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(1200), at(1500)), std::nullopt);
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(990), at(1500)), std::nullopt)
        << "the clocks of two daemons differ by more than this";
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(970), at(1500)), first);
}

TEST(incarnations_of_a_runner, do_not_change_with_a_late_heartbeat_of_an_earlier_one)
{
    runner_incarnations incarnations;
    incarnations.on_heartbeat(at(0), runner, second);
    EXPECT_FALSE(incarnations.on_heartbeat(at(100), runner, first));
    EXPECT_EQ(incarnations.incarnation_at(runner, at(200)), second);
}

TEST(incarnations_of_a_runner, prove_nothing_if_the_next_one_is_seen_long_after)
{
    runner_incarnations incarnations;
    incarnations.on_heartbeat(at(0), runner, first);
    incarnations.on_heartbeat(at(60'000), runner, second);
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(-50), at(1000)), std::nullopt);
}

TEST(incarnations_of_a_runner, end_when_another_runner_starts_at_its_address)
{
    runner_incarnations incarnations;
    incarnations.on_heartbeat(at(0), runner, incarnation{});
    incarnations.on_replaced(at(700), runner);
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(-50), at(500)), incarnation{});
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(-50), at(800)), std::nullopt);
}

TEST(incarnations_of_a_runner, are_known_to_a_new_leader_from_the_log)
{
    runner_incarnations incarnations;
    incarnations.expect(runner, first);
    EXPECT_FALSE(incarnations.on_heartbeat(at(100), runner, first))
        << "the runner is in the same incarnation";
    EXPECT_TRUE(incarnations.on_heartbeat(at(900), runner, second));
    EXPECT_EQ(incarnations.incarnation_ended_by(runner, at(-50), at(500)), first);
}

class cuts_that_wait_for_proof : public testing::Test {
protected:
    cuts_that_wait_for_proof() { controller.on_heartbeat(at(0), runner, first); }

    static crash_histories cut(int connected_ms, int ended_ms, const char* daemon = "d-1")
    {
        crash_observation seen{runner, at(ended_ms - 10), at(ended_ms), daemon_id{daemon},
                               request_id{"r"}};
        seen.connected_at = at(connected_ms);
        seen.serial = static_cast<std::uint64_t>(ended_ms);
        crash_histories out;
        out[cut_request].crashes.push_back(seen);
        return out;
    }

    [[nodiscard]] int count()
    {
        const auto counts = controller.counts({});
        const auto found = counts.find(cut_request);
        return found == counts.end() ? 0 : found->second;
    }

    quarantine_controller controller;
};

TEST_F(cuts_that_wait_for_proof, count_as_one_crash_of_each_incarnation)
{
    controller.on_cuts(at(120), cut(-50, 100));
    // Retries connect while the runner restarts and are cut as well, also those of other daemons.
    controller.on_cuts(at(220), cut(150, 200));
    controller.on_cuts(at(320), cut(250, 300, "d-2"));
    EXPECT_EQ(count(), 0);
    EXPECT_EQ(controller.on_heartbeat(at(600), runner, second).size(), 1U);
    EXPECT_EQ(count(), 1);

    controller.on_cuts(at(720), cut(550, 700, "d-2"));
    controller.on_heartbeat(at(1200), runner, third);
    EXPECT_EQ(count(), 2);
}

TEST_F(cuts_that_wait_for_proof, count_also_if_they_are_reported_after_the_next_incarnation)
{
    controller.on_heartbeat(at(150), runner, second); // the runner restarted at once
    EXPECT_EQ(controller.on_cuts(at(300), cut(-50, 100)).size(), 1U);
    EXPECT_EQ(count(), 1);
}

TEST_F(cuts_that_wait_for_proof, are_the_same_crash_as_one_that_another_daemon_proved)
{
    auto refused = cut(-50, 100);
    controller.on_report(refused);
    controller.on_cuts(at(400), cut(150, 200, "d-2"));
    controller.on_heartbeat(at(600), runner, second);
    EXPECT_EQ(count(), 1);
}

TEST_F(cuts_that_wait_for_proof, do_not_count_once_the_request_was_answered)
{
    controller.on_cuts(at(120), cut(-50, 100));
    crash_histories answer;
    answer[cut_request].answered_at = at(300);
    controller.on_report(answer);
    controller.on_heartbeat(at(600), runner, second);
    EXPECT_EQ(count(), 0);
}

// Guards against quarantining sound requests whose connections the network resets.
TEST_F(cuts_that_wait_for_proof, do_not_count_while_the_runner_stays_in_one_incarnation)
{
    for (int n = 0; n < 20; ++n) {
        controller.on_cuts(at(n * 100 + 60), cut(n * 100, n * 100 + 40));
        controller.on_heartbeat(at(n * 100 + 99), runner, first);
    }
    controller.on_heartbeat(at(5000), runner, second);
    EXPECT_EQ(count(), 0);
}

TEST_F(cuts_that_wait_for_proof, count_once_when_they_are_reported_again)
{
    controller.on_cuts(at(120), cut(-50, 100));
    controller.on_heartbeat(at(600), runner, second);
    controller.on_cuts(at(620), cut(-50, 100));
    controller.on_heartbeat(at(700), runner, second);
    EXPECT_EQ(count(), 1);
}

TEST_F(cuts_that_wait_for_proof, are_bounded)
{
    for (int n = 0; n < 5000; ++n) {
        controller.on_cuts(at(n), cut(n, n + 1));
    }
    controller.on_heartbeat(at(6000), runner, second);
    EXPECT_LE(count(), 2);
}

} // namespace
} // namespace cedarpoint
