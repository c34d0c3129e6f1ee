// Tests three replicas of one log while writes to their disks fail.

#include "cedarpoint/consensus/replicated_log.h"
#include "support/memory_files.h"

#include <array>
#include <deque>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::memory_files;

constexpr duration tick = milliseconds{20};

/// A state machine that records the commands in the order in which they are applied.
class command_list final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        text_ += command + ";";
        return command;
    }
    [[nodiscard]] std::string save() const override { return text_; }
    bool restore(const std::string& bytes) override
    {
        text_ = bytes;
        return true;
    }
    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

class three_replicas : public testing::Test {
protected:
    struct replica {
        member_id id;
        memory_files files;
        command_list state;
        std::unique_ptr<replicated_log> log;
    };
    struct message {
        member_id from;
        member_id to;
        wire::raft_message content;
    };

    three_replicas()
    {
        for (std::size_t n = 0; n < replicas.size(); ++n) {
            replicas[n].id = member_id{"m" + std::to_string(n)};
        }
        for (auto& each : replicas) {
            start(each, start_mode::first);
        }
        run(seconds{3});
    }
    void start(replica& in, start_mode mode)
    {
        replicated_log::options options;
        options.self = in.id;
        options.raft.start = mode;
        options.raft.election_timeout = milliseconds{500};
        options.raft.heartbeat = milliseconds{100};
        options.seed = static_cast<std::uint64_t>(&in - replicas.data()) + 1;
        options.snapshot_bytes = snapshot_bytes;
        for (const auto& each : replicas) {
            auto* member = options.bootstrap.add_members();
            member->set_id(each.id.str());
            member->set_voter(true);
        }
        in.state.restore("");
        reason why;
        in.log = replicated_log::open(
            now, options, &in.files, "data", in.state,
            [this, from = in.id](const member_id& to, const wire::raft_message& content) {
                messages.push_back({from, to, content});
            },
            why);
        ASSERT_NE(in.log, nullptr) << why.str();
    }
    void lose_power(replica& in)
    {
        in.log.reset();
        start(in, start_mode::later);
    }
    void run(duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += tick;
            for (auto& each : replicas) {
                each.log->tick(now);
            }
            for (auto all = std::exchange(messages, {}); const auto& each : all) {
                for (auto& to : replicas) {
                    if (to.id == each.to) {
                        to.log->receive(now, each.from, each.content);
                    }
                }
            }
        }
    }
    replica* leader()
    {
        for (auto& each : replicas) {
            if (each.log->raft().is_leader() && each.log->raft().holds_lease(now)) {
                return &each;
            }
        }
        return nullptr;
    }
    /// Proposes to the current leader; the answer is appended to `answered`.
    void propose(const std::string& command)
    {
        ASSERT_NE(leader(), nullptr);
        ASSERT_TRUE(
            leader()->log->propose(now, command, [this](const std::optional<std::string>& answer) {
                answered += answer.value_or("?") + ";";
            }));
    }
    void expect_everywhere(const std::string& text)
    {
        for (const auto& each : replicas) {
            EXPECT_EQ(each.state.text(), text) << each.id.str();
            EXPECT_FALSE(each.log->failure());
        }
    }

    instant now{seconds{100}};
    std::uint64_t snapshot_bytes = 4 << 20;
    std::array<replica, 3> replicas;
    std::deque<message> messages;
    std::string answered;
};

TEST_F(three_replicas, a_leader_whose_disk_is_full_gives_up_the_lead_and_comes_back)
{
    auto* first = leader();
    ASSERT_NE(first, nullptr);
    propose("a");
    run(seconds{1});
    first->files.fail_write(0, 7);
    propose("b");
    EXPECT_TRUE(first->log->write_failure());
    EXPECT_FALSE(first->log->propose(now, "c", {}))
        << "a leader that can't write refuses proposals";
    run(seconds{3});
    EXPECT_EQ(answered, "a;") << "an entry that is not durable is not acknowledged";
    auto* second = leader();
    ASSERT_NE(second, nullptr);
    EXPECT_NE(second, first);
    propose("d");
    run(seconds{1});

    first->files.work_again();
    run(seconds{3});
    EXPECT_FALSE(first->log->write_failure());
    EXPECT_EQ(first->state.text(), second->state.text());
    EXPECT_NE(second->state.text().find("a;"), std::string::npos);
    EXPECT_NE(second->state.text().find("d;"), std::string::npos);
}

TEST_F(three_replicas, a_follower_whose_disk_is_full_neither_votes_nor_acknowledges)
{
    auto* first = leader();
    ASSERT_NE(first, nullptr);
    replica* full = nullptr;
    for (auto& each : replicas) {
        full = &each == first ? full : &each;
    }
    full->files.fail_write(0, 3);
    propose("a");
    run(seconds{2});
    EXPECT_EQ(answered, "a;") << "the other two replicas form a quorum";
    EXPECT_EQ(full->state.text(), "");
    EXPECT_TRUE(full->log->write_failure());

    full->files.work_again();
    run(seconds{2});
    expect_everywhere("a;");
}

TEST_F(three_replicas, acknowledge_nothing_while_all_disks_are_full_and_go_on_afterwards)
{
    propose("a");
    run(seconds{1});
    for (auto& each : replicas) {
        each.files.fail_write(0, 5);
    }
    propose("b");
    run(seconds{4});
    EXPECT_EQ(answered, "a;");
    EXPECT_EQ(leader(), nullptr) << "no leader can renew its lease";

    for (auto& each : replicas) {
        each.files.work_again();
    }
    run(seconds{4});
    propose("c");
    run(seconds{1});
    expect_everywhere(replicas[0].state.text());
    EXPECT_EQ(replicas[0].state.text().substr(0, 2), "a;");
    EXPECT_NE(replicas[0].state.text().find("c;"), std::string::npos);
}

TEST_F(three_replicas, lose_nothing_that_was_acknowledged_when_power_goes_while_disks_are_full)
{
    propose("a");
    run(seconds{1});
    for (auto& each : replicas) {
        each.files.fail_write(0, 9); // a torn frame is left behind
    }
    propose("b");
    run(seconds{1});
    for (auto& each : replicas) {
        each.files.work_again();
        lose_power(each);
    }
    run(seconds{4});
    propose("c");
    run(seconds{1});
    expect_everywhere(replicas[0].state.text());
    EXPECT_EQ(replicas[0].state.text().substr(0, 2), "a;");
}

class replicas_that_compact : public three_replicas {
protected:
    replicas_that_compact()
    {
        snapshot_bytes = 2000;
        for (auto& each : replicas) {
            lose_power(each);
        }
        run(seconds{3});
    }
    void propose_many(int count)
    {
        for (int n = 0; n < count; ++n) {
            // There is no leader to propose to while the last leader's disk refuses writes.
            if (auto* first = leader(); first != nullptr) {
                first->log->propose(now, std::string(40, static_cast<char>('a' + n % 26)), {});
            }
            run(milliseconds{60});
        }
    }
};

TEST_F(replicas_that_compact, go_on_while_a_snapshot_can_not_be_saved)
{
    ASSERT_NE(leader(), nullptr);
    propose_many(15);
    // The next write is a batch; the one after it may be a snapshot. Each of them fails once.
    for (int write = 0; write < 4; ++write) {
        leader()->files.fail_write(write, 4);
        propose_many(8);
        for (auto& each : replicas) {
            each.files.work_again();
        }
        run(seconds{4});
        ASSERT_NE(leader(), nullptr) << write;
    }
    propose_many(40);
    run(seconds{2});
    expect_everywhere(replicas[0].state.text());
    const auto whole = replicas[0].state.text();

    for (auto& each : replicas) {
        lose_power(each);
    }
    run(seconds{4});
    expect_everywhere(whole);
    EXPECT_GT(replicas[0].log->raft().snapshot().index(), 0U) << "snapshots were saved";
}

} // namespace
} // namespace cedarpoint
