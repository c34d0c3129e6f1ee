#include "cedarpoint/fleet/follower_tracker.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
const daemon_id entry{"10.0.0.1:7000"};

TEST(an_update, that_is_under_way_is_not_sent_again_at_once)
{
    follower_tracker tracker;
    EXPECT_EQ(tracker.on_report(start, entry, 0, true, 7), 0U) << "a full update";
    EXPECT_EQ(tracker.on_report(start + milliseconds{50}, entry, 0, true, 7), 7U);
    EXPECT_EQ(tracker.on_report(start + milliseconds{400}, entry, 0, true, 7), 0U)
        << "the update counts as lost";
}

TEST(an_update, that_was_not_sent_is_sent_with_the_next_report)
{
    follower_tracker tracker;
    EXPECT_EQ(tracker.on_report(start, entry, 0, true, 7), 0U);
    tracker.on_dropped(entry);
    EXPECT_EQ(tracker.on_report(start + milliseconds{50}, entry, 0, true, 7), 0U);
    EXPECT_EQ(tracker.on_report(start + milliseconds{100}, entry, 0, true, 7), 7U)
        << "the latest update was sent";
    tracker.on_dropped(daemon_id{"nobody"});
}

TEST(an_update, with_changes_that_were_not_sent_is_not_lost)
{
    follower_tracker tracker;
    tracker.on_report(start, entry, 0, true, 7);
    tracker.on_report(start + milliseconds{50}, entry, 7, false, 7);
    const auto pending = tracker.take_pending(start + milliseconds{60}, 8);
    ASSERT_EQ(pending.size(), 1U);
    EXPECT_EQ(pending.front().second, 7U);
    tracker.on_dropped(entry);
    EXPECT_EQ(tracker.on_report(start + milliseconds{250}, entry, 7, false, 8), 7U);
}

} // namespace
} // namespace cedarpoint
