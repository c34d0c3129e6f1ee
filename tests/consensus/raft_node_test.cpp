// Tests the guarantees of a single member, message by message. tests/control tests whole logs.

#include "cedarpoint/consensus/membership_policy.h"
#include "cedarpoint/consensus/raft_node.h"

#include <gtest/gtest.h>
#include <set>

namespace cedarpoint {
namespace {

using msg = wire::raft_message;

constexpr instant start{seconds{100}};
const member_id a{"a"};
const member_id b{"b"};
const member_id c{"c"};

wire::membership three()
{
    wire::membership out;
    for (const auto* name : {"a", "b", "c"}) {
        auto* it = out.add_members();
        it->set_id(name);
        it->set_voter(true);
    }
    return out;
}

wire::log_entry entry(std::uint64_t term, std::uint64_t index)
{
    wire::log_entry out;
    out.set_term(term);
    out.set_index(index);
    out.set_command("x");
    return out;
}

/// Returns the stored state of a voter that reached `term` and has one entry.
raft_state memory(std::uint64_t term)
{
    raft_state out;
    out.hard.set_term(term);
    out.hard.set_whole(true);
    out.entries.push_back(entry(1, 1));
    return out;
}

raft_node member_with(raft_state state)
{
    return raft_node{start, a, three(), std::move(state), {}, 1};
}

msg ask_vote(std::uint64_t term, std::uint64_t last_index, std::uint64_t last_term)
{
    msg out;
    out.set_kind(msg::vote);
    out.set_term(term);
    out.set_last_index(last_index);
    out.set_last_term(last_term);
    return out;
}

msg append(std::uint64_t term, std::uint64_t prev, std::uint64_t prev_term, std::uint64_t commit)
{
    msg out;
    out.set_kind(msg::append);
    out.set_term(term);
    out.set_prev_index(prev);
    out.set_prev_term(prev_term);
    out.set_commit(commit);
    return out;
}

/// Returns true if the latest output grants a vote.
bool grants(raft_node& it)
{
    const auto out = it.take_output();
    return std::any_of(out.messages.begin(), out.messages.end(), [](const raft_envelope& e) {
        return e.message.kind() == msg::vote_reply && e.message.ok();
    });
}

constexpr duration past_lease = milliseconds{1001};

TEST(a_voter, that_restarts_does_not_vote_while_a_lease_that_it_upheld_may_run)
{
    auto it = member_with(memory(3));
    it.receive(start + milliseconds{10}, b, ask_vote(4, 1, 1));
    EXPECT_FALSE(grants(it));
    it.receive(start + past_lease, b, ask_vote(4, 1, 1));
    EXPECT_TRUE(grants(it));
}

TEST(a_voter, knows_after_a_restart_what_was_committed_when_it_wrote_last)
{
    auto it = member_with(memory(1));
    auto next = append(1, 1, 1, 1);
    *next.add_entries() = entry(1, 2);
    it.receive(start, b, next);
    const auto written = it.take_output();
    ASSERT_TRUE(written.has_batch);
    EXPECT_EQ(written.batch.state().commit(), 1U)
        << "the second entry is not known to be committed";
    auto kept = memory(1);
    kept.hard = written.batch.state();
    kept.entries.push_back(entry(1, 2));
    auto again = member_with(std::move(kept));
    const auto known = again.take_output();
    ASSERT_EQ(known.committed.size(), 1U);
    EXPECT_EQ(known.committed.front().index(), 1U);
    EXPECT_EQ(again.commit(), 1U);
}

TEST(a_voter, asks_for_votes_soon_after_a_restart_in_which_nobody_leads)
{
    auto it = member_with(memory(1));
    const auto election_timeout = raft_options{}.election_timeout;
    it.tick(start + election_timeout - milliseconds{1});
    EXPECT_TRUE(it.take_output().messages.empty())
        << "a lease that it acknowledged before the restart may still be valid";
    it.tick(start + election_timeout + election_timeout / 3);
    const auto out = it.take_output();
    ASSERT_EQ(out.messages.size(), 2U);
    EXPECT_EQ(out.messages.front().message.kind(), msg::pre_vote);
}

TEST(a_voter, keeps_its_vote_of_a_term_through_a_restart)
{
    auto it = member_with(memory(3));
    it.receive(start + past_lease, b, ask_vote(4, 1, 1));
    auto out = it.take_output();
    ASSERT_TRUE(out.has_batch);
    ASSERT_EQ(out.batch.state().vote(), "b");

    auto saved = memory(3);
    saved.hard = out.batch.state();
    auto again = member_with(saved);
    again.receive(start + past_lease, c, ask_vote(4, 1, 1));
    EXPECT_FALSE(grants(again));
    again.receive(start + past_lease, b, ask_vote(4, 1, 1));
    EXPECT_TRUE(grants(again));
}

TEST(a_voter, follows_a_live_leader_and_gives_no_other_its_vote)
{
    auto it = member_with(memory(3));
    const auto later = start + past_lease;
    it.receive(later, b, append(4, 1, 1, 1));
    it.receive(later + milliseconds{500}, c, ask_vote(5, 9, 9));
    EXPECT_FALSE(grants(it));
    EXPECT_EQ(it.term(), 4U);
}

TEST(a_voter, does_not_vote_for_a_shorter_log)
{
    auto it = member_with(memory(3));
    it.receive(start + past_lease, b, ask_vote(4, 0, 0));
    EXPECT_FALSE(grants(it));
}

TEST(a_new_log, begins_only_with_the_votes_of_all_voters)
{
    raft_node it{start, a, three(), {}, {}, 1};
    auto now = start;
    const auto vote = [&](const member_id& from, msg::kind_t kind, std::uint64_t term) {
        msg in;
        in.set_kind(kind);
        in.set_term(term);
        in.set_ok(true);
        it.receive(now, from, in);
    };
    while (it.at() != raft_node::role::pre_candidate) {
        now += milliseconds{10};
        it.tick(now);
    }
    vote(b, msg::pre_vote_reply, 0);
    EXPECT_EQ(it.at(), raft_node::role::pre_candidate);
    vote(c, msg::pre_vote_reply, 0);
    ASSERT_EQ(it.at(), raft_node::role::candidate);
    vote(b, msg::vote_reply, 1);
    EXPECT_EQ(it.at(), raft_node::role::candidate);
    vote(c, msg::vote_reply, 1);
    EXPECT_TRUE(it.is_leader());
}

/// A leader of term 4 with an entry of term 2 in its log that is not committed.
class leader_with_an_old_entry {
public:
    leader_with_an_old_entry()
    {
        auto state = memory(3);
        state.entries.push_back(entry(2, 2));
        it.emplace(member_with(std::move(state)));
        while (it->at() != raft_node::role::pre_candidate) {
            step();
        }
        reply(b, msg::pre_vote_reply, 3, true, 0);
        reply(b, msg::vote_reply, 4, true, 0);
        (void)it->take_output();
    }

    void step()
    {
        now += milliseconds{10};
        it->tick(now);
    }

    void reply(const member_id& from, msg::kind_t kind, std::uint64_t term, bool ok,
               std::uint64_t match, std::uint64_t storage = 0)
    {
        msg in;
        in.set_kind(kind);
        in.set_term(term);
        in.set_ok(ok);
        in.set_match(match);
        in.set_storage(storage);
        in.set_leader_stamp(now.time_since_epoch().count());
        it->receive(now, from, in);
    }

    instant now = start;
    std::optional<raft_node> it;
};

TEST(a_leader, commits_an_earlier_terms_entry_only_with_one_of_its_own)
{
    leader_with_an_old_entry at;
    ASSERT_TRUE(at.it->is_leader());
    at.reply(b, msg::append_reply, 4, true, 2);
    EXPECT_EQ(at.it->commit(), 0U);
    EXPECT_FALSE(at.it->holds_lease(at.now));
    at.reply(b, msg::append_reply, 4, true, 3);
    EXPECT_EQ(at.it->commit(), 3U);
    EXPECT_TRUE(at.it->holds_lease(at.now));
}

// Guards against an election that restarts while a vote still waits for a write to a slow disk.
TEST(a_slow_disk, lengthens_elections_and_leadership_but_no_lease)
{
    leader_with_an_old_entry at;
    at.it->note_write(at.now, milliseconds{600});
    at.reply(b, msg::append_reply, 4, true, 3);
    EXPECT_FALSE(at.it->holds_lease(at.now + milliseconds{900}));
    at.it->tick(at.now + milliseconds{2100});
    EXPECT_TRUE(at.it->is_leader()) << "the time limit is extended by the duration of two writes";
    at.it->tick(at.now + milliseconds{2200});
    EXPECT_FALSE(at.it->is_leader());

    // As a candidate it waits longer for votes too.
    at.now += milliseconds{2200};
    while (at.it->at() != raft_node::role::pre_candidate) {
        at.step();
    }
    at.reply(b, msg::pre_vote_reply, 4, true, 0);
    ASSERT_EQ(at.it->at(), raft_node::role::candidate);
    at.now += milliseconds{2000};
    at.it->tick(at.now);
    at.reply(b, msg::vote_reply, 5, true, 0);
    EXPECT_TRUE(at.it->is_leader());
}

/// A member that has lost its lead; its disk is slow, so that its votes take long.
class candidate_with_a_slow_disk : public leader_with_an_old_entry {
public:
    candidate_with_a_slow_disk()
    {
        it->note_write(now, seconds{4});
        now += seconds{20};
        step();
        EXPECT_EQ(it->at(), raft_node::role::follower);
        wait_for_pre_vote();
    }
    void wait_for_pre_vote()
    {
        while (it->at() != raft_node::role::pre_candidate) {
            step();
        }
        (void)it->take_output();
    }
    /// Returns the members that are sent a request of this kind within an election timeout.
    std::set<member_id> asked(msg::kind_t kind)
    {
        std::set<member_id> out;
        const auto timeout = raft_options{}.election_timeout;
        for (const auto end = now + timeout; now < end;) {
            step();
            for (const auto& each : it->take_output().messages) {
                if (each.message.kind() == kind) {
                    out.insert(each.to);
                }
            }
        }
        return out;
    }
};

// Guards against a log that stays without a leader for many election timeouts, because a request
// for a vote was lost and the only candidate that can win waits for its slow disk.
TEST(a_slow_disk, lets_a_candidate_repeat_its_requests_meanwhile)
{
    candidate_with_a_slow_disk at;
    at.reply(b, msg::pre_vote_reply, 4, true, 0);
    ASSERT_EQ(at.it->at(), raft_node::role::candidate);
    const auto term = at.it->term();
    (void)at.it->take_output();
    EXPECT_EQ(at.asked(msg::vote), (std::set{b, c}));
    EXPECT_EQ(at.asked(msg::vote), (std::set{b, c}));
    EXPECT_EQ(at.it->term(), term) << "the election goes on";
    at.reply(b, msg::vote_reply, term, true, 0);
    EXPECT_TRUE(at.it->is_leader());
}

// Guards against the same after a pre-vote that was refused because its term was old, and after one
// that got no answer: neither takes a write.
TEST(a_slow_disk, does_not_delay_pre_votes)
{
    candidate_with_a_slow_disk at;
    const auto asked_at = at.now;
    at.reply(b, msg::pre_vote_reply, 9, false, 0);
    EXPECT_EQ(at.it->at(), raft_node::role::follower);
    at.wait_for_pre_vote();
    EXPECT_LE(at.now - asked_at, 2 * raft_options{}.election_timeout + milliseconds{10});
    const auto first = at.asked(msg::pre_vote);
    const auto second = at.asked(msg::pre_vote);
    EXPECT_TRUE(first == (std::set{b, c}) || second == (std::set{b, c}));
}

TEST(a_slow_disk, no_longer_counts_after_two_minutes)
{
    leader_with_an_old_entry at;
    at.it->note_write(at.now, milliseconds{600});
    at.it->note_write(at.now + seconds{61}, milliseconds{10});
    at.it->note_write(at.now + seconds{122}, milliseconds{10});
    at.reply(b, msg::append_reply, 4, true, 3);
    at.it->tick(at.now + milliseconds{1000});
    EXPECT_FALSE(at.it->is_leader());
}

TEST(a_leader, that_gets_no_answers_loses_its_lease_then_its_leadership)
{
    leader_with_an_old_entry at;
    at.reply(b, msg::append_reply, 4, true, 3);
    EXPECT_TRUE(at.it->holds_lease(at.now + milliseconds{899}));
    EXPECT_FALSE(at.it->holds_lease(at.now + milliseconds{900}));
    at.it->tick(at.now + milliseconds{1000});
    EXPECT_FALSE(at.it->is_leader());
}

TEST(a_grant, counts_from_the_followers_question_not_from_the_answers_arrival)
{
    auto it = member_with(memory(3));
    const auto asked = start + seconds{2};
    auto late = append(4, 1, 1, 1);
    late.set_follower_stamp(asked.time_since_epoch().count());
    const auto arrived = start + seconds{60}; // the process was paused in between
    it.receive(arrived, b, late);
    ASSERT_TRUE(it.granted_at(arrived));
    EXPECT_EQ(*it.granted_at(arrived), asked);

    // A stamp from an earlier process, whose clock may have differed, is not accepted as a grant.
    auto foreign = append(4, 1, 1, 1);
    foreign.set_follower_stamp((arrived + seconds{5}).time_since_epoch().count());
    it.receive(arrived, b, foreign);
    EXPECT_EQ(*it.granted_at(arrived), asked);
}

TEST(a_grant, is_valid_only_once_its_state_is_committed)
{
    auto it = member_with(memory(3));
    auto ahead = append(4, 1, 1, 5);
    ahead.set_follower_stamp((start + milliseconds{1}).time_since_epoch().count());
    it.receive(start + milliseconds{2}, b, ahead);
    EXPECT_FALSE(it.granted_at(start + milliseconds{2}));
}

TEST(membership, changes_one_member_at_a_time)
{
    leader_with_an_old_entry at;
    const member_id d{"d"};
    EXPECT_FALSE(
        at.it->change_membership(at.now, d, true, false)); // no entry of its term is committed
    at.reply(b, msg::append_reply, 4, true, 3);
    EXPECT_TRUE(at.it->change_membership(at.now, d, true, false));
    EXPECT_FALSE(at.it->change_membership(at.now, d, true, true));
    at.reply(b, msg::append_reply, 4, true, 4);
    EXPECT_TRUE(at.it->change_membership(at.now, d, true, true));
    EXPECT_TRUE(at.it->is_voter(d));
    // The quorum is now three of four.
    at.reply(b, msg::append_reply, 4, true, 5);
    EXPECT_EQ(at.it->commit(), 4U);
    at.reply(d, msg::append_reply, 4, true, 5);
    EXPECT_EQ(at.it->commit(), 5U);
}

/// Makes `node` the leader with b's vote.
void elect(raft_node& node, instant now)
{
    node.tick(now);
    msg granted;
    granted.set_kind(msg::pre_vote_reply);
    granted.set_ok(true);
    node.receive(now, b, granted);
    granted.set_kind(msg::vote_reply);
    granted.set_term(node.term());
    node.receive(now, b, granted);
}

TEST(a_first_start, needs_no_more_than_a_quorum)
{
    raft_options options;
    options.start = start_mode::first;
    raft_node node{start, a, three(), {}, options, 1};
    elect(node, start + seconds{3});
    EXPECT_TRUE(node.is_leader()) << "two of three members are enough";
    const auto out = node.take_output();
    ASSERT_GE(out.batch.entries_size(), 1);
    EXPECT_EQ(out.batch.entries(0).members().members_size(), 3)
        << "after a restart the members are known only from the log";
}

TEST(a_voter_that_lost_its_disk, begins_no_log_once_the_system_has_run)
{
    raft_options options;
    options.start = start_mode::later;
    raft_node node{start, a, three(), {}, options, 1};
    node.tick(start + seconds{10});
    EXPECT_TRUE(node.take_output().messages.empty());
    node.receive(start + seconds{10}, b, ask_vote(1, 0, 0));
    const auto out = node.take_output();
    ASSERT_EQ(out.messages.size(), 1U);
    EXPECT_FALSE(out.messages.front().message.ok());
}

TEST(a_leader_after_a_pause, sends_nothing_as_a_leader)
{
    raft_options options;
    options.start = start_mode::first;
    raft_node node{start, a, three(), {}, options, 1};
    elect(node, start + seconds{3});
    ASSERT_TRUE(node.is_leader());
    node.take_output();
    EXPECT_FALSE(node.propose(start + seconds{9}, "x").has_value())
        << "proposals are refused even before the next tick";
    msg late;
    late.set_kind(msg::append_reply);
    late.set_term(node.term());
    late.set_ok(true);
    node.receive(start + seconds{9}, b, late);
    EXPECT_FALSE(node.is_leader());
    EXPECT_TRUE(node.take_output().messages.empty());
}

/// A storage that the log does not list.
constexpr std::uint64_t new_storage = 77;

// Guards against a quorum that includes a voter which lost its disk and so may have promised
// another leader otherwise.
TEST(a_voter_that_lost_its_disk, counts_neither_for_commits_nor_for_a_lease_nor_in_elections)
{
    leader_with_an_old_entry at;
    at.reply(b, msg::append_reply, 4, true, 3, new_storage);
    EXPECT_EQ(at.it->commit(), 0U);
    EXPECT_TRUE(at.it->has_lost_storage(b));
    at.reply(c, msg::append_reply, 4, true, 3);
    EXPECT_EQ(at.it->commit(), 3U);

    const auto answered = at.now;
    at.now += milliseconds{800};
    at.reply(b, msg::append_reply, 4, true, 3, new_storage);
    EXPECT_FALSE(at.it->holds_lease(answered + milliseconds{900}));
    at.it->tick(answered + milliseconds{1000});
    EXPECT_FALSE(at.it->is_leader());

    at.now = answered + milliseconds{1000};
    while (at.it->at() != raft_node::role::pre_candidate) {
        at.step();
    }
    at.reply(b, msg::pre_vote_reply, 4, true, 0, new_storage);
    EXPECT_EQ(at.it->at(), raft_node::role::pre_candidate);
    at.reply(c, msg::pre_vote_reply, 4, true, 0);
    ASSERT_EQ(at.it->at(), raft_node::role::candidate);
    at.reply(b, msg::vote_reply, 5, true, 0, new_storage);
    EXPECT_EQ(at.it->at(), raft_node::role::candidate);
    at.reply(c, msg::vote_reply, 5, true, 0);
    EXPECT_TRUE(at.it->is_leader());
}

// Guards against a change of two voters at once: the one without its disk and the one it becomes.
TEST(a_voter_that_lost_its_disk, is_demoted_before_it_is_promoted)
{
    leader_with_an_old_entry at;
    at.reply(c, msg::append_reply, 4, true, 3);
    at.reply(b, msg::append_reply, 4, true, 3, new_storage);
    EXPECT_FALSE(at.it->change_membership(at.now, b, true, true));
    ASSERT_EQ(next_lost_storage(*at.it), b);
    ASSERT_TRUE(at.it->change_membership(at.now, b, true, false));
    EXPECT_FALSE(at.it->change_membership(at.now, b, true, true)) << "not committed yet";
    at.reply(c, msg::append_reply, 4, true, 4);
    EXPECT_TRUE(at.it->change_membership(at.now, b, true, true));
    EXPECT_FALSE(at.it->has_lost_storage(b));
}

// Guards against a demotion because of an answer that an earlier storage sent before it was lost.
TEST(a_voter_that_lost_its_disk, is_not_taken_for_its_earlier_storage)
{
    leader_with_an_old_entry at;
    at.reply(b, msg::append_reply, 4, true, 3);
    at.now -= milliseconds{5}; // an answer to an append that was sent before
    at.reply(b, msg::append_reply, 4, true, 3, new_storage);
    EXPECT_FALSE(at.it->has_lost_storage(b));
}

// Guards against a lease that is judged by a time from before a slow write.
TEST(a_slow_disk, ends_a_lease_for_callers_that_read_the_clock_before_the_write)
{
    leader_with_an_old_entry at;
    at.reply(b, msg::append_reply, 4, true, 3);
    ASSERT_TRUE(at.it->holds_lease(at.now));
    at.it->note_write(at.now + seconds{2}, seconds{2});
    EXPECT_FALSE(at.it->holds_lease(at.now));
}

class a_log_that_grows : public testing::Test {
protected:
    a_log_that_grows()
    {
        raft_options options;
        options.start = start_mode::first;
        leader.emplace(start, a, three(), raft_state{}, options, 1);
        elect(*leader, now);
        answer(b);
        answer(c);
    }
    void answer(const member_id& from)
    {
        msg reply;
        reply.set_kind(msg::append_reply);
        reply.set_term(leader->term());
        reply.set_ok(true);
        reply.set_match(leader->last_index());
        reply.set_leader_stamp(now.time_since_epoch().count());
        leader->receive(now, from, reply);
        leader->take_output();
    }
    void add_learner(const member_id& member)
    {
        ASSERT_TRUE(leader->change_membership(now, member, true, false));
        answer(b);
        answer(c);
    }
    /// Advances the time while only the members in `present` answer.
    void pass(duration time, const std::vector<member_id>& present)
    {
        constexpr duration step = milliseconds{500};
        for (const auto end = now + time; now < end;) {
            now += step;
            for (const auto& each : present) {
                answer(each);
            }
        }
    }
    instant now = start + seconds{3};
    std::optional<raft_node> leader;
};

TEST_F(a_log_that_grows, promotes_learners_in_pairs_up_to_the_wanted_voters)
{
    const member_id d{"d"};
    const member_id e{"e"};
    add_learner(d);
    answer(d);
    EXPECT_FALSE(next_promotion(now, *leader, voters_for(2)).has_value())
        << "four voters tolerate no more failures than three";
    add_learner(e);
    EXPECT_FALSE(next_promotion(now, *leader, voters_for(2)).has_value())
        << "e has not caught up yet";
    answer(d);
    answer(e);
    EXPECT_FALSE(next_promotion(now, *leader, voters_for(1)).has_value())
        << "three voters are enough";
    const auto first = next_promotion(now, *leader, voters_for(2));
    ASSERT_TRUE(first.has_value());
    ASSERT_TRUE(leader->change_membership(now, *first, true, true));
    for (const auto& each : {b, c, d, e}) {
        answer(each);
    }
    const auto second = next_promotion(now, *leader, voters_for(2));
    ASSERT_TRUE(second.has_value());
    EXPECT_NE(*second, *first);
}

TEST_F(a_log_that_grows, replaces_a_silent_voter_by_a_learner)
{
    const member_id d{"d"};
    const auto wanted = voters_for(1);
    add_learner(d);
    pass(seconds{2}, {b, d});
    EXPECT_FALSE(next_demotion(now, *leader, wanted).has_value())
        << "c has been silent for only 2 s";
    pass(seconds{2}, {b});
    EXPECT_FALSE(next_demotion(now, *leader, wanted).has_value())
        << "no learner is ready to replace it";
    answer(d);
    ASSERT_EQ(next_demotion(now, *leader, wanted), c);
    EXPECT_FALSE(next_promotion(now, *leader, wanted).has_value());
    ASSERT_TRUE(leader->change_membership(now, c, true, false));
    pass(milliseconds{500}, {b, d});
    EXPECT_EQ(next_promotion(now, *leader, wanted), d);
    ASSERT_TRUE(leader->change_membership(now, d, true, true));
    pass(milliseconds{500}, {b, d});
    EXPECT_FALSE(next_demotion(now, *leader, wanted).has_value());
    EXPECT_FALSE(next_removal(now, *leader).has_value());
}

TEST_F(a_log_that_grows, removes_a_learner_that_is_silent_for_a_minute)
{
    const member_id d{"d"};
    add_learner(d);
    answer(d);
    pass(seconds{59}, {b, c});
    EXPECT_FALSE(next_removal(now, *leader).has_value());
    pass(seconds{2}, {b, c});
    EXPECT_EQ(next_removal(now, *leader), d);
}

} // namespace
} // namespace cedarpoint
