#include "cedarpoint/state/domain_state.h"

#include "support/group_invariants.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

std::string file_of(const std::string& change)
{
    return R"({"based_on": 0, "change_id": ")" + change + R"(", "failure_domains": ["z"]})";
}

wire::command copy_of(std::uint64_t revision)
{
    wire::command out;
    out.mutable_copy()->set_revision(revision);
    out.mutable_copy()->set_text(file_of("c" + std::to_string(revision)));
    return out;
}

wire::command assign(const std::string& group, const std::vector<std::string>& nodes)
{
    wire::command out;
    auto* it = out.mutable_group()->mutable_group();
    it->set_id(group);
    it->set_state(static_cast<std::uint32_t>(group_state::loading));
    for (const auto& node : nodes) {
        it->add_nodes(node);
    }
    return out;
}

wire::command step(const std::string& group, std::uint64_t assignment, group_state to)
{
    wire::command out;
    auto* it = out.mutable_group()->mutable_group();
    it->set_id(group);
    it->set_epoch(assignment);
    it->set_state(static_cast<std::uint32_t>(to));
    return out;
}

TEST(a_configuration, never_goes_back)
{
    domain_state it;
    EXPECT_EQ(it.apply(copy_of(5)).refused, "");
    EXPECT_NE(it.apply(copy_of(4)).refused, "");
    EXPECT_NE(it.apply(copy_of(5)).refused, "");
    EXPECT_EQ(it.in_force().value, 5U);
}

TEST(a_node, is_never_in_two_groups_whatever_is_proposed)
{
    domain_state it;
    testing_support::group_invariants invariants;
    for (const auto* node : {"n1", "n2", "n3", "n4", "n5"}) {
        invariants.expect_node(node_id{node});
    }
    for (const auto* group : {"g/0", "g/1", "g/2"}) {
        invariants.expect_group(group_id{group});
    }
    EXPECT_EQ(it.apply(assign("g/0", {"n1", "n2"})).refused, "");
    EXPECT_NE(it.apply(assign("g/1", {"n2", "n3"})).refused, "");
    EXPECT_NE(it.apply(assign("g/2", {"n4", "n4"})).refused, "");
    EXPECT_NE(it.apply(assign("g/0", {"n5"})).refused, "");
    EXPECT_EQ(it.groups().records().size(), 1U);
    EXPECT_EQ(invariants.check(it.groups()), "");

    // A delayed step of an earlier assignment is refused.
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::lost)).refused, "");
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::released)).refused, "");
    EXPECT_EQ(it.apply(assign("g/0", {"n2", "n3"})).refused, "");
    EXPECT_NE(it.apply(step("g/0", 1, group_state::serving)).refused, "");
    EXPECT_EQ(it.groups().find(group_id{"g/0"})->assignment.value, 2U);
    EXPECT_EQ(invariants.check(it.groups()), "");
}

TEST(a_group, refuses_transitions_that_its_state_does_not_allow)
{
    domain_state it;
    it.apply(assign("g/0", {"n1"}));
    EXPECT_NE(it.apply(step("g/0", 1, group_state::draining)).refused, "");
    EXPECT_NE(it.apply(step("g/0", 1, group_state::released)).refused, "");
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::serving)).refused, "");
    EXPECT_NE(it.apply(step("g/0", 1, group_state::stopped)).refused, "");
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::draining)).refused, "");
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::stopped)).refused, "");
    EXPECT_EQ(it.apply(step("g/0", 1, group_state::released)).refused, "");
    EXPECT_TRUE(it.groups().records().empty());
}

TEST(a_saved_state, is_restored_whole)
{
    domain_state it;
    it.apply(copy_of(3));
    it.apply(assign("g/0", {"n1", "n2"}));
    wire::command claim;
    claim.mutable_claim()->set_account("acme");
    claim.mutable_claim()->set_key("k");
    claim.mutable_claim()->set_request("r1");
    claim.mutable_claim()->set_now_ms(1000);
    EXPECT_EQ(it.apply(claim).verdict, claim_verdict::granted);
    wire::command drain;
    drain.mutable_drain()->set_kind("node");
    drain.mutable_drain()->set_id("n1");
    drain.mutable_drain()->set_draining(true);
    it.apply(drain);

    domain_state other;
    ASSERT_TRUE(other.restore(it.save()));
    EXPECT_EQ(other.save(), it.save());
    EXPECT_EQ(other.in_force().value, 3U);
    claim.mutable_claim()->set_request("r2");
    EXPECT_EQ(other.apply(claim).verdict, claim_verdict::running);
    EXPECT_FALSE(other.restore("not a state"));
    EXPECT_EQ(other.in_force().value, 3U);
}

TEST(a_claim, is_forgotten_only_after_its_window)
{
    claim_table it;
    const claim_key key{client_account_id{"acme"}, "k"};
    EXPECT_EQ(it.begin(key, request_id{"r1"}, 1000), claim_verdict::granted);
    it.finish(key, request_id{"r1"}, claim_outcome::ran);
    EXPECT_EQ(it.begin(key, request_id{"r2"}, 1000 + claim_table::window_ms),
              claim_verdict::already_ran);
    // A command from a proposer whose clock is behind does not make the key free again.
    EXPECT_EQ(it.begin(key, request_id{"r3"}, 0), claim_verdict::already_ran);
    EXPECT_EQ(it.begin(key, request_id{"r4"}, 1001 + claim_table::window_ms),
              claim_verdict::granted);
}

TEST(a_claim, finished_as_not_run_is_free_for_others_but_not_for_its_late_copies)
{
    claim_table it;
    const claim_key key{client_account_id{"acme"}, "k"};
    it.begin(key, request_id{"r1"}, 0);
    it.finish(key, request_id{"r2"}, claim_outcome::not_run); // not the holder: ignored
    EXPECT_EQ(it.begin(key, request_id{"r2"}, 0), claim_verdict::running);
    it.finish(key, request_id{"r1"}, claim_outcome::not_run);
    EXPECT_EQ(it.begin(key, request_id{"r1"}, 0), claim_verdict::unavailable);
    EXPECT_EQ(it.begin(key, request_id{"r2"}, 0), claim_verdict::granted);
}

} // namespace
} // namespace cedarpoint
