#include "cedarpoint/fleet/latency_tracker.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

TEST(a_runner, is_slow_only_by_comparison_with_its_peers)
{
    const std::vector<runner_id> peers{runner_id{"i-1"}, runner_id{"i-2"}, runner_id{"i-3"}};
    latency_tracker latencies;
    const auto record = [&](const char* runner, std::uint32_t waits, milliseconds each) {
        latencies.record(start, runner_id{runner}, waits, each * waits);
    };
    record("i-1", 50, milliseconds{50});
    record("i-2", 50, milliseconds{60});
    record("i-3", 3, milliseconds{500});
    EXPECT_TRUE(latencies.slow_runners(start, peers).empty())
        << "three waits are too few for a mean";
    record("i-3", 50, milliseconds{220});
    const auto slow = latencies.slow_runners(start, peers);
    ASSERT_EQ(slow.size(), 1U);
    EXPECT_EQ(slow.at(runner_id{"i-3"}), 4U);
    EXPECT_TRUE(latencies.slow_runners(start + seconds{5}, peers).empty())
        << "the means have expired";
    record("i-1", 200, milliseconds{220});
    record("i-2", 200, milliseconds{220});
    EXPECT_TRUE(latencies.slow_runners(start, peers).empty())
        << "all runners are equally slow under load";
}

TEST(a_runner, is_slow_from_a_minimum_ratio_on_in_powers_of_two)
{
    const std::vector<runner_id> peers{runner_id{"i-1"}, runner_id{"i-2"}};
    const auto slowness_at = [&](int wait_ms) {
        latency_tracker latencies;
        latencies.record(start, peers[0], 12, milliseconds{100} * 12);
        latencies.record(start, peers[1], 12, milliseconds{wait_ms} * 12);
        const auto slow = latencies.slow_runners(start, peers);
        return slow.contains(peers[1]) ? slow.at(peers[1]) : 0;
    };
    EXPECT_EQ(slowness_at(179), 0U);
    EXPECT_EQ(slowness_at(180), 2U);
    EXPECT_EQ(slowness_at(282), 2U);
    EXPECT_EQ(slowness_at(284), 4U) << "closer to a factor of 4 than to 2";
    EXPECT_EQ(slowness_at(100'000), 64U) << "highest slowness reported";
}

TEST(a_runner, without_peers_is_never_slow)
{
    latency_tracker latencies;
    latencies.record(start, runner_id{"i-1"}, 50, seconds{50});
    EXPECT_TRUE(latencies.slow_runners(start, {runner_id{"i-1"}}).empty());
}

} // namespace
} // namespace cedarpoint
