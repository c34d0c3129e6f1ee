// Tests how the creation time of a peer's message is converted to this daemon's clock.

#include "cedarpoint/core/peer_clock.h"
#include "cedarpoint/core/peer_clocks.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

/// Returns a time on this daemon's clock.
instant at(int ms)
{
    return instant{} + seconds{1000} + milliseconds{ms};
}

/// Returns the same time on the peer's clock, which is 400 s behind.
instant stamp(int ms)
{
    return at(ms) - seconds{400};
}

class a_peer_clock : public testing::Test {
protected:
    /// Delivers a message that was created at `created_ms` and took `transit_ms`. Returns its
    /// estimated creation time.
    instant receive(int created_ms, int transit_ms)
    {
        return clock.on_message(at(created_ms + transit_ms), stamp(created_ms));
    }

    peer_clock clock;
};

// Guards against a delayed report that makes a runner's end appear later than it happened.
TEST_F(a_peer_clock, is_not_misled_by_delayed_messages)
{
    EXPECT_EQ(receive(0, 3), at(3)) << "the transit of the fastest message is the error";
    EXPECT_EQ(receive(200, 1), at(201));
    EXPECT_EQ(receive(400, 3000), at(401));
    EXPECT_EQ(receive(600, 2900), at(601));
    EXPECT_EQ(receive(800, 2), at(801));
}

TEST_F(a_peer_clock, corrects_its_estimate_after_a_burst_of_delayed_messages)
{
    EXPECT_EQ(receive(0, 3000), at(3000));
    EXPECT_EQ(receive(2999, 1), at(3000));
    EXPECT_EQ(receive(0, 3000), at(1)) << "the same message delivered again";
}

TEST_F(a_peer_clock, follows_a_drift)
{
    // The peer's clock loses 1 ms a second against this one.
    for (int s = 0; s < 600; ++s) {
        const auto now = at(s * 1000);
        const auto created = clock.on_message(now, stamp(s * 999));
        ASSERT_LE(now - created, milliseconds{121}) << s;
    }
}

TEST_F(a_peer_clock, discards_its_estimate_after_a_long_silence)
{
    EXPECT_EQ(receive(0, 1), at(1));
    const int later = 3'600'000;
    EXPECT_EQ(clock.on_message(at(later), stamp(later - 5000)), at(later))
        << "it has drifted by 5 s";
}

TEST_F(a_peer_clock, resets_when_the_peers_machine_restarts)
{
    EXPECT_EQ(receive(0, 1), at(1));
    const auto fresh = instant{} + seconds{2};
    EXPECT_EQ(clock.on_message(at(5000), fresh), at(5000));
    EXPECT_EQ(clock.on_message(at(5200), fresh + milliseconds{200}), at(5200));
}

TEST(the_clocks_of_peers, take_a_message_without_a_plausible_stamp_as_created_now)
{
    peer_clocks clocks;
    const daemon_id peer{"d-1"};
    for (const auto stamp_us : {std::int64_t{0}, std::int64_t{-5}, INT64_MIN, INT64_MAX}) {
        EXPECT_EQ(clocks.sent_at(at(0), peer, stamp_us), at(0)) << stamp_us;
    }
    const auto created = stamp(0).time_since_epoch().count();
    EXPECT_EQ(clocks.sent_at(at(1), peer, created), at(1));
    EXPECT_EQ(clocks.sent_at(at(500), peer, created), at(1));
    EXPECT_EQ(clocks.sent_at(at(500), daemon_id{"d-2"}, created), at(500)) << "another clock";
}

} // namespace
} // namespace cedarpoint
