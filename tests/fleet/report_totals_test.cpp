// Guarantee: what the leader concludes from the reports of all entry daemons costs no more with
// more of them, and is the same as if it went through each report.

#include "cedarpoint/fleet/health_reports.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <random>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
constexpr milliseconds report_lifetime{900};
constexpr int runners = 30;

runner_id runner(int n)
{
    return runner_id{fmt::format("i-{:02}", n)};
}

daemon_id follower(int n)
{
    return daemon_id{fmt::format("10.0.0.{}:7040", n)};
}

/// The conclusions by going through each report.
class each_report {
public:
    void put(instant now, int from, const health_report& in) { kept_[from] = {now, in}; }

    [[nodiscard]] runner_health health_of(instant now, const runner_id& at) const
    {
        runner_health out;
        bool progressing = false;
        bool stalled = false;
        for (const auto& [from, each] : kept_) {
            const auto found = each.report.runners.find(at);
            if (now - each.at > report_lifetime || found == each.report.runners.end()) {
                continue;
            }
            const auto& seen = found->second;
            out.in_flight += seen.in_flight;
            out.refused = out.refused || seen.refused;
            out.since_byte = std::min<duration>(out.since_byte, seen.since_byte);
            progressing = progressing || seen.since_byte < milliseconds{300};
            const bool waits = seen.in_flight > 0 && seen.silence >= milliseconds{300};
            stalled = stalled || ((waits || seen.failed_connects >= 2) &&
                                  (!each.report.cut_off || all_cut_off(now)));
        }
        out.stalled = stalled && !progressing;
        return out;
    }

    [[nodiscard]] std::map<runner_id, int> loads_excluding(instant now, int excluded) const
    {
        std::map<runner_id, int> out;
        for (const auto& [from, each] : kept_) {
            if (from == excluded || now - each.at > report_lifetime) {
                continue;
            }
            for (const auto& [at, seen] : each.report.runners) {
                out[at] += seen.in_flight;
            }
        }
        return out;
    }

private:
    struct dated_report {
        instant at;
        health_report report;
    };

    [[nodiscard]] bool all_cut_off(instant now) const
    {
        return std::all_of(kept_.begin(), kept_.end(), [&](const auto& each) {
            return now - each.second.at > report_lifetime || each.second.report.cut_off;
        });
    }

    std::map<int, dated_report> kept_;
};

health_report draw_report(std::mt19937& random)
{
    const auto draw = [&](int most) { return std::uniform_int_distribution{0, most}(random); };
    health_report out;
    out.cut_off = draw(2) > 0;
    for (int n = draw(6); n > 0; --n) {
        auto& seen = out.runners[runner(draw(4))];
        seen.in_flight = draw(3);
        seen.silence = milliseconds{100 * draw(5)};
        seen.since_byte = milliseconds{100 * draw(8)};
        seen.failed_connects = static_cast<std::uint32_t>(draw(3));
        seen.refused = draw(4) == 0;
    }
    return out;
}

TEST(totals_of_reports, are_those_of_going_through_each_report)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random{seed};
        health_reports reports;
        each_report reference;
        auto now = start;
        for (int step = 0; step < 200; ++step) {
            const auto from = std::uniform_int_distribution{1, 5}(random);
            const auto report = draw_report(random);
            reports.put(now, follower(from), report);
            reference.put(now, from, report);
            now += milliseconds{std::uniform_int_distribution{0, 400}(random)};
            for (int n = 0; n <= 4; ++n) {
                const auto seen = reports.health_of(now, runner(n));
                const auto expected = reference.health_of(now, runner(n));
                ASSERT_EQ(seen.in_flight, expected.in_flight) << "seed " << seed;
                ASSERT_EQ(seen.stalled, expected.stalled) << "seed " << seed;
                ASSERT_EQ(seen.since_byte, expected.since_byte) << "seed " << seed;
                ASSERT_EQ(seen.refused, expected.refused) << "seed " << seed;
            }
            ASSERT_EQ(reports.loads_excluding(now, follower(from)),
                      reference.loads_excluding(now, from))
                << "seed " << seed;
        }
    }
}

/// The processor time of this thread in seconds.
double processor_time()
{
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
}

/// Returns the processor time of `rounds` reports and of the queries that follow each, with this
/// many entry daemons.
double cost_with(int followers, int rounds)
{
    health_report report;
    for (int n = 0; n < runners; ++n) {
        report.runners[runner(n)].in_flight = 1;
    }
    health_reports reports;
    for (int n = 0; n < followers; ++n) {
        reports.put(start, follower(n), report);
    }
    const auto began = processor_time();
    int in_flight = 0;
    for (int n = 0; n < rounds; ++n) {
        reports.put(start, follower(n % followers), report);
        in_flight += reports.loads_excluding(start, follower(n % followers)).begin()->second;
        in_flight += reports.health_of(start, runner(n % runners)).in_flight;
    }
    EXPECT_EQ(in_flight, rounds * (2 * followers - 1));
    return processor_time() - began;
}

// Guards against a leader that spends its processor on the reports of a large fleet:
// acknowledgements and groups waited for its loop.
TEST(a_report, costs_little_more_with_sixteen_times_the_entry_daemons)
{
    constexpr int rounds = 400;
    constexpr double most = 4; // 16 if each report leads through all others
    cost_with(50, rounds);     // warms up
    EXPECT_LT(cost_with(800, rounds), most * cost_with(50, rounds));
}

} // namespace
} // namespace cedarpoint
