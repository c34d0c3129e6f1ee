// Choice of the entry daemon through which a request goes to a runner.

#include "cedarpoint/fleet/entry_peers.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const endpoint own_address{"10.0.0.1", 80};
const entry_peer near_one{{"10.0.0.2", 80}, failure_domain_id{"a"}};
const entry_peer near_two{{"10.0.0.3", 80}, failure_domain_id{"a"}};
const entry_peer far{{"10.0.1.1", 80}, failure_domain_id{"b"}};

class a_peer_for_a_request : public testing::Test {
protected:
    a_peer_for_a_request()
    {
        peers.update(now, {{own_address, failure_domain_id{"a"}}, near_one, near_two, far});
    }

    std::optional<endpoint> choose(const std::set<endpoint>& tried = {})
    {
        const auto* chosen = peers.choose(now, tried);
        return chosen == nullptr ? std::nullopt : std::optional{chosen->address};
    }

    /// Returns the peer through which a request goes that ends at once.
    std::optional<endpoint> send()
    {
        auto chosen = choose();
        if (chosen) {
            peers.on_sent(*chosen);
            peers.on_done(*chosen);
        }
        return chosen;
    }

    entry_peers peers{own_address, failure_domain_id{"a"}};
    instant now{seconds{100}};
};

TEST_F(a_peer_for_a_request, is_one_of_the_own_failure_domain_in_turn)
{
    EXPECT_EQ(send(), near_one.address);
    EXPECT_EQ(send(), near_two.address);
    EXPECT_EQ(send(), near_one.address);
    // Asking without sending changes no turn.
    EXPECT_EQ(choose(), near_two.address);
    EXPECT_EQ(choose(), near_two.address);
}

TEST_F(a_peer_for_a_request, is_in_another_failure_domain_once_the_own_carries_clearly_more)
{
    for (int n = 0; n < 10; ++n) {
        peers.on_sent(near_one.address);
        peers.on_sent(near_two.address);
    }
    EXPECT_EQ(choose(), far.address);
    peers.on_done(near_two.address);
    peers.on_done(near_two.address);
    peers.on_done(near_two.address);
    EXPECT_EQ(choose(), near_two.address);
}

TEST_F(a_peer_for_a_request, is_none_that_was_tried_or_has_failed_recently)
{
    EXPECT_EQ(choose({near_one.address, near_two.address}), far.address);
    peers.on_failure(now, far.address);
    EXPECT_FALSE(choose({near_one.address, near_two.address}));
    now += seconds{1};
    EXPECT_EQ(choose({near_one.address, near_two.address}), far.address);
}

// Guards against a peer that ended with several requests in flight staying out of use for seconds
// after its restart.
TEST_F(a_peer_for_a_request, backs_off_once_for_requests_that_fail_at_the_same_time)
{
    for (int request = 0; request < 5; ++request) {
        peers.on_failure(now, far.address);
    }
    now += milliseconds{300};
    EXPECT_EQ(choose({near_one.address, near_two.address}), far.address);

    // A failure after the backoff doubles it.
    peers.on_failure(now, far.address);
    now += milliseconds{500};
    EXPECT_FALSE(choose({near_one.address, near_two.address}));
    now += milliseconds{100};
    EXPECT_EQ(choose({near_one.address, near_two.address}), far.address);
}

TEST_F(a_peer_for_a_request, that_was_not_reached_is_used_again_once_a_probe_connects)
{
    EXPECT_TRUE(peers.take_due_probes(now).empty());
    peers.on_unreachable(now, near_one.address);
    EXPECT_EQ(choose({near_two.address}), far.address);
    EXPECT_EQ(peers.take_due_probes(now), std::vector{near_one.address});

    // The probe fails; the next one follows after an interval.
    peers.on_unreachable(now, near_one.address);
    EXPECT_TRUE(peers.take_due_probes(now + milliseconds{100}).empty());
    now += seconds{5};
    EXPECT_EQ(choose({near_two.address}), far.address);
    EXPECT_EQ(peers.take_due_probes(now), std::vector{near_one.address});

    peers.on_reached(near_one.address);
    EXPECT_EQ(choose({near_two.address}), near_one.address);
    EXPECT_TRUE(peers.take_due_probes(now + seconds{5}).empty());
}

TEST_F(a_peer_for_a_request, is_none_that_is_cut_off_itself)
{
    auto cut_off = near_one;
    cut_off.cut_off = true;
    peers.update(now, {cut_off});
    peers.update(now, {cut_off});
    EXPECT_NE(choose(), near_one.address);
}

TEST_F(a_peer_for_a_request, is_known_for_any_time_without_a_leader)
{
    now += seconds{600};
    EXPECT_EQ(choose(), near_one.address);
}

TEST_F(a_peer_for_a_request, is_used_for_a_while_although_a_new_leader_does_not_list_it_yet)
{
    peers.update(now, {});
    now += seconds{2};
    EXPECT_TRUE(choose());
    now += seconds{2};
    EXPECT_FALSE(choose());
    peers.update(now, {far});
    EXPECT_EQ(choose(), far.address);
}

} // namespace
} // namespace cedarpoint
