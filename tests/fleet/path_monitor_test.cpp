// Paths from an entry daemon to runners: what is known of them from its own connections.

#include "cedarpoint/fleet/path_monitor.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const runner_id first{"i-1"};
const runner_id second{"i-2"};
const runner_id third{"i-3"};

class the_paths_of_a_daemon : public testing::Test {
protected:
    the_paths_of_a_daemon()
    {
        paths.set_runners({first, second, third});
        paths.on_reached(now, first);
    }

    void pass(duration time) { now += time; }
    /// Reports that several runners owe a byte, and have sent none for the given time.
    void report_silence(std::size_t runners, duration time)
    {
        paths.on_silence(now, std::vector<instant>(runners, now - time));
    }

    path_monitor paths;
    instant now{seconds{100}};
};

class a_failed_connection : public the_paths_of_a_daemon {};

TEST_F(a_failed_connection, makes_only_its_own_path_fail_while_other_runners_answer)
{
    pass(milliseconds{200});
    paths.on_reached(now, second);
    paths.on_connect_failed(now, first);
    EXPECT_FALSE(paths.can_reach(first));
    EXPECT_TRUE(paths.can_reach(second));
    EXPECT_TRUE(paths.can_reach(third));
    EXPECT_FALSE(paths.cut());
}

TEST_F(a_failed_connection, means_a_cut_if_no_runner_has_given_a_sign_of_life_for_long)
{
    pass(milliseconds{400});
    paths.on_connect_failed(now, first);
    ASSERT_TRUE(paths.cut());
    EXPECT_EQ(paths.cut()->evidence, cut_evidence::failed_connect);
    EXPECT_EQ(now - paths.cut()->since, milliseconds{400});
    EXPECT_FALSE(paths.can_reach(third)) << "no path is assumed to work";
}

TEST_F(a_failed_connection, of_a_runner_that_gets_no_requests_is_ignored)
{
    pass(milliseconds{400});
    paths.on_connect_failed(now, runner_id{"gone"});
    EXPECT_FALSE(paths.cut());
    EXPECT_EQ(paths.count_failing(), 0U);
}

TEST_F(a_failed_connection, is_forgotten_after_a_sign_of_life)
{
    paths.on_connect_failed(now, first);
    pass(milliseconds{5});
    paths.on_reached(now, first);
    EXPECT_TRUE(paths.can_reach(first));
}

TEST_F(a_failed_connection, is_forgotten_with_its_runner)
{
    paths.on_connect_failed(now, first);
    paths.set_runners({second, third});
    EXPECT_EQ(paths.count_failing(), 0U);
}

class silence : public the_paths_of_a_daemon {};

TEST_F(silence, of_one_runner_is_no_cut)
{
    pass(seconds{1});
    report_silence(1, seconds{1});
    EXPECT_FALSE(paths.cut());
}

TEST_F(silence, of_several_runners_is_a_cut_unless_another_one_speaks)
{
    pass(milliseconds{400});
    paths.on_reached(now, third);
    report_silence(2, milliseconds{400});
    EXPECT_FALSE(paths.cut());
    pass(path_monitor::cut_off_silence);
    report_silence(2, milliseconds{400});
    ASSERT_TRUE(paths.cut());
    EXPECT_EQ(paths.cut()->evidence, cut_evidence::silent_runners);
}

TEST_F(silence, of_the_only_runner_is_a_cut)
{
    paths.set_runners({first});
    pass(milliseconds{400});
    report_silence(1, milliseconds{400});
    EXPECT_TRUE(paths.cut());
}

TEST_F(silence, that_has_been_refuted_is_no_cut_again)
{
    pass(milliseconds{600});
    report_silence(2, milliseconds{600});
    ASSERT_TRUE(paths.cut());
    paths.on_reached(now, third);
    EXPECT_FALSE(paths.cut());
    pass(milliseconds{400});
    report_silence(2, seconds{1});
    EXPECT_FALSE(paths.cut()) << "these runners are slow";
    report_silence(2, milliseconds{350});
    EXPECT_TRUE(paths.cut()) << "these have been silent since about the latest sign of life";
}

class a_cut : public the_paths_of_a_daemon {};

TEST_F(a_cut, is_confirmed_by_a_further_failed_connection)
{
    pass(milliseconds{400});
    paths.on_connect_failed(now, first);
    ASSERT_TRUE(paths.cut());
    EXPECT_FALSE(paths.cut()->is_confirmed);
    paths.on_connect_failed(now, second);
    EXPECT_TRUE(paths.cut()->is_confirmed);
    paths.on_reached(now, third);
    pass(milliseconds{400});
    paths.on_connect_failed(now, first);
    EXPECT_FALSE(paths.cut()->is_confirmed) << "the next cut is another one";
}

class probes : public the_paths_of_a_daemon {};

TEST_F(probes, go_to_a_failing_runner_at_once_and_then_at_intervals)
{
    paths.on_connect_failed(now, first);
    EXPECT_EQ(paths.take_due_probes(now), std::vector{first});
    paths.on_connect_failed(now, first);
    EXPECT_TRUE(paths.take_due_probes(now).empty());
    pass(milliseconds{400});
    EXPECT_EQ(paths.take_due_probes(now), std::vector{first});
    EXPECT_TRUE(paths.take_due_probes(now).empty());
    pass(milliseconds{400});
    EXPECT_EQ(paths.take_due_probes(now), std::vector{first});
}

TEST_F(probes, go_to_all_runners_in_turn_during_a_cut_and_one_answer_ends_it)
{
    pass(milliseconds{400});
    paths.on_connect_failed(now, first);
    std::vector<runner_id> probed;
    for (int n = 0; n < 65; ++n) {
        for (const auto& runner : paths.take_due_probes(now)) {
            probed.push_back(runner);
        }
        pass(milliseconds{20});
    }
    EXPECT_EQ(probed, (std::vector{first, second, third, first}));
    paths.on_reached(now, second);
    EXPECT_TRUE(paths.can_reach(third));
    EXPECT_FALSE(paths.can_reach(first)) << "its own connection failed";
    EXPECT_EQ(paths.take_due_probes(now), std::vector{first}) << "it has probably recovered too";
}

} // namespace
} // namespace cedarpoint
