#include "cedarpoint/fleet/runner_registry.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

announcement heartbeat_of(const std::string& id, const std::string& address, std::uint64_t sequence)
{
    announcement out;
    out.id = runner_id{id};
    out.address = *endpoint::parse(address);
    out.sequence = sequence;
    return out;
}

bool is_present(const runner_registry& registry, const std::string& id)
{
    const auto* record = registry.find(runner_id{id});
    return record != nullptr && registry.is_present(*record);
}

TEST(a_heartbeat, that_comes_late_is_not_taken)
{
    runner_registry registry;
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 4)));
    EXPECT_FALSE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 3)));
    EXPECT_FALSE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 4)));
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 5)));
}

/// Returns a heartbeat of the incarnation of `i-1` that began at `start_ms`.
announcement heartbeat_of_incarnation(std::uint64_t start_ms, const std::string& address,
                                      std::uint64_t sequence)
{
    auto out = heartbeat_of("i-1", address, sequence);
    out.born = {start_ms};
    return out;
}

// Guards against refusing the heartbeats of a restarted runner. A runner that had sent 5,000
// heartbeats restarted under its id at another address and received none of 20 requests per second:
// its heartbeats, numbered from 1 again, counted as older than those of its earlier incarnation,
// and the registry refused all of them.
TEST(a_runner_that_starts_again_under_its_id, is_heard_from_its_first_heartbeat_on)
{
    runner_registry registry;
    ASSERT_TRUE(registry.announce(start, heartbeat_of_incarnation(1000, "10.0.0.1:80", 5000)));
    registry.note_alive(start, runner_id{"i-1"});
    EXPECT_TRUE(
        registry.announce(start + seconds{1}, heartbeat_of_incarnation(1001, "10.0.0.2:80", 1)));
    const auto* record = registry.find(runner_id{"i-1"});
    ASSERT_NE(record, nullptr);
    EXPECT_TRUE(registry.is_present(*record));
    EXPECT_EQ(record->latest.address.str(), "10.0.0.2:80");
    EXPECT_FALSE(record->answered) << "the answer was from the earlier incarnation";
    EXPECT_FALSE(
        registry.announce(start + seconds{2}, heartbeat_of_incarnation(1000, "10.0.0.1:80", 6000)))
        << "a heartbeat of the earlier incarnation, regardless of its number";
    EXPECT_TRUE(registry.announce(start + seconds{3}, heartbeat_of("i-2", "10.0.0.1:80", 9)))
        << "the address that it has left is free";
    EXPECT_TRUE(is_present(registry, "i-2"));
    EXPECT_TRUE(is_present(registry, "i-1"));
}

TEST(a_runner_that_starts_again_under_its_id, is_heard_although_another_one_took_its_address)
{
    runner_registry registry;
    registry.announce(start, heartbeat_of_incarnation(1000, "10.0.0.1:80", 40));
    registry.announce(start + seconds{1}, heartbeat_of("i-2", "10.0.0.1:80", 1));
    ASSERT_FALSE(is_present(registry, "i-1"));
    EXPECT_TRUE(
        registry.announce(start + seconds{2}, heartbeat_of_incarnation(2000, "10.0.0.3:80", 1)));
    EXPECT_TRUE(is_present(registry, "i-1"));
}

TEST(an_address, goes_to_the_runner_that_began_there_last)
{
    runner_registry registry;
    registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 40));
    registry.announce(start + seconds{1}, heartbeat_of("i-2", "10.0.0.1:80", 1));
    EXPECT_FALSE(is_present(registry, "i-1"));
    EXPECT_TRUE(is_present(registry, "i-2"));
    registry.announce(start + seconds{2}, heartbeat_of("i-1", "10.0.0.1:80", 41));
    EXPECT_TRUE(is_present(registry, "i-2")) << "the heartbeat of the previous owner was delayed";
}

TEST(an_address, is_not_taken_by_an_old_runner_that_a_new_leader_has_not_met)
{
    runner_registry registry;
    registry.announce(start, heartbeat_of("i-2", "10.0.0.1:80", 2));
    registry.announce(start + seconds{1}, heartbeat_of("i-1", "10.0.0.1:80", 41));
    EXPECT_TRUE(is_present(registry, "i-2"));
    EXPECT_FALSE(is_present(registry, "i-1"));
}

TEST(a_runner_from_the_log, counts_as_heard_until_it_falls_silent)
{
    runner_registry registry;
    registry.add_assumed(start, heartbeat_of("i-1", "10.0.0.1:80", 0));
    EXPECT_TRUE(is_present(registry, "i-1"));
    EXPECT_TRUE(registry.find(runner_id{"i-1"})->assumed);
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 1)));
    EXPECT_FALSE(registry.find(runner_id{"i-1"})->assumed);
    EXPECT_EQ(registry.remove_silent(start + seconds{61}, seconds{60}).size(), 1U);
    EXPECT_EQ(registry.find(runner_id{"i-1"}), nullptr);
}

} // namespace
} // namespace cedarpoint
