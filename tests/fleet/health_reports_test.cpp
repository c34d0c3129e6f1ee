// Conclusions of the leader from the reports of entry daemons.

#include "cedarpoint/fleet/health_reports.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

health_report report_on(const std::string& runner, int in_flight, int silent_ms, int byte_ms)
{
    health_report out;
    auto& seen = out.runners[runner_id{runner}];
    seen.in_flight = in_flight;
    seen.silence = milliseconds{silent_ms};
    seen.since_byte = milliseconds{byte_ms};
    return out;
}

TEST(a_runner, stalls_only_if_no_entry_daemon_gets_bytes_from_it)
{
    health_reports reports;
    const runner_id head{"i-1"};
    reports.put(start, daemon_id{"e1"}, report_on("i-1", 2, 500, 500));
    EXPECT_TRUE(reports.health_of(start, head).stalled);
    reports.put(start, daemon_id{"e2"}, report_on("i-1", 1, 20, 20));
    EXPECT_FALSE(reports.health_of(start, head).stalled);
    EXPECT_EQ(reports.health_of(start, head).in_flight, 3);
    reports.put(start, daemon_id{"e2"}, report_on("i-1", 1, 20, 900));
    EXPECT_TRUE(reports.health_of(start, head).stalled)
        << "sending a request is not progress of the runner";
    EXPECT_FALSE(reports.health_of(start + seconds{2}, head).stalled) << "the reports have expired";
}

TEST(a_runner, is_unreachable_from_all_only_by_recent_attempts)
{
    health_reports reports;
    const runner_id head{"i-1"};
    health_report report;
    report.checks[head] = {milliseconds{300}, false};
    reports.put(start, daemon_id{"e1"}, report);
    EXPECT_TRUE(reports.is_unreachable_from_all(start, start - milliseconds{400}, head));
    EXPECT_FALSE(reports.is_unreachable_from_all(start, start - milliseconds{200}, head));
    reports.put(start, daemon_id{"e2"}, {});
    EXPECT_FALSE(reports.is_unreachable_from_all(start, start - milliseconds{400}, head))
        << "one entry daemon has not tried to connect";
}

TEST(a_runner, stalls_from_the_threshold_on)
{
    const runner_id head{"i-1"};
    const auto is_stalled = [&](const health_report& report) {
        health_reports reports;
        reports.put(start, daemon_id{"e1"}, report);
        return reports.health_of(start, head).stalled;
    };
    EXPECT_FALSE(is_stalled(report_on("i-1", 1, 299, 299)));
    EXPECT_TRUE(is_stalled(report_on("i-1", 1, 300, 300)));
    EXPECT_FALSE(is_stalled(report_on("i-1", 0, 300, 300))) << "no request is waiting";
    auto failed = report_on("i-1", 0, 0, 300);
    failed.runners[head].failed_connects = 1;
    EXPECT_FALSE(is_stalled(failed)) << "a single failure may be a lost packet";
    failed.runners[head].failed_connects = 2;
    EXPECT_TRUE(is_stalled(failed));
}

class a_daemon_cut_off_from_all_runners : public testing::Test {
protected:
    a_daemon_cut_off_from_all_runners()
    {
        cut_off = report_on("i-1", 2, 500, 500);
        cut_off.checks[head] = {milliseconds{300}, false};
        cut_off.cut_off = true;
        cut_off.as_peer = {{"10.0.0.1", 80}, failure_domain_id{"a"}, true};
        reports.put(start, daemon_id{"e1"}, cut_off);
    }

    health_reports reports;
    health_report cut_off;
    const runner_id head{"i-1"};
    const instant since = start - milliseconds{400};
};

TEST_F(a_daemon_cut_off_from_all_runners, is_no_witness_against_a_runner_if_another_one_is_not)
{
    EXPECT_TRUE(reports.health_of(start, head).stalled) << "nobody knows better";
    EXPECT_TRUE(reports.is_unreachable_from_all(start, since, head));
    reports.put(start, daemon_id{"e2"}, report_on("i-1", 0, 0, 5000));
    EXPECT_FALSE(reports.health_of(start, head).stalled);
    EXPECT_FALSE(reports.is_unreachable_from_all(start, since, head)) << "it has not tried";
    auto failed = report_on("i-1", 0, 0, 5000);
    failed.checks[head] = {milliseconds{300}, false};
    reports.put(start, daemon_id{"e2"}, failed);
    EXPECT_TRUE(reports.is_unreachable_from_all(start, since, head));
}

TEST_F(a_daemon_cut_off_from_all_runners, is_listed_as_such_for_the_others)
{
    auto reaching = report_on("i-1", 0, 0, 0);
    reaching.as_peer = {{"10.0.0.2", 80}, failure_domain_id{"b"}, false};
    reports.put(start, daemon_id{"e2"}, reaching);
    reports.put(start, daemon_id{"e3"}, report_on("i-1", 0, 0, 0));
    const auto listed = reports.entry_daemons(start);
    ASSERT_EQ(listed.size(), 2U) << "the third accepts no requests of others";
    EXPECT_TRUE(listed[0].cut_off);
    EXPECT_FALSE(listed[1].cut_off);
    EXPECT_TRUE(reports.entry_daemons(start + seconds{3}).empty()) << "the reports are too old";
}

TEST(a_report, counts_for_less_than_a_second)
{
    health_reports reports;
    reports.put(start, daemon_id{"e1"}, report_on("i-1", 2, 500, 500));
    const runner_id head{"i-1"};
    EXPECT_EQ(reports.health_of(start + milliseconds{900}, head).in_flight, 2);
    EXPECT_EQ(reports.health_of(start + milliseconds{901}, head).in_flight, 0);
    EXPECT_EQ(reports.count_followers(start + milliseconds{2500}), 1U);
    EXPECT_EQ(reports.count_followers(start + milliseconds{2501}), 0U);
}

TEST(rejections, decay_within_seconds)
{
    health_reports reports;
    EXPECT_FALSE(reports.has_traffic());
    health_report report;
    report.demand[model_id{"m"}] = {.started = 0, .rejected = 10};
    reports.put(start, daemon_id{"e1"}, report);
    EXPECT_TRUE(reports.has_traffic());
    EXPECT_DOUBLE_EQ(reports.rejection_rate(start, model_id{"m"}), 10);
    EXPECT_NEAR(reports.rejection_rate(start + seconds{1}, model_id{"m"}), 3.68, 0.01);
    EXPECT_EQ(reports.rejection_rate(start, model_id{"other"}), 0);
    reports.clear();
    EXPECT_TRUE(reports.has_traffic()) << "traffic seen in an earlier term still counts";
}

TEST(loads, are_those_of_the_other_followers)
{
    health_reports reports;
    reports.put(start, daemon_id{"e1"}, report_on("i-1", 2, 0, 0));
    reports.put(start, daemon_id{"e2"}, report_on("i-1", 3, 0, 0));
    EXPECT_EQ(reports.loads_excluding(start, daemon_id{"e1"}).at(runner_id{"i-1"}), 3);
    EXPECT_EQ(reports.loads_excluding(start, daemon_id{"e3"}).at(runner_id{"i-1"}), 5);
}

} // namespace
} // namespace cedarpoint
