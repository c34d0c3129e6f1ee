// Tests a log whose voters lose their disks, alone and together with leaders that stand still, cut
// links and dark members. CEDARPOINT_LOG_SEEDS=n runs the first n seeds of the random search,
// CEDARPOINT_LOG_SEED=n only that one.

#include "consensus/log_cluster.h"
#include "support/environment.h"

#include <algorithm>
#include <cstdio>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::log_cluster;
using testing_support::log_cluster_options;
using testing_support::log_form;
using testing_support::number_from_environment;

constexpr duration recovery_limit = seconds{20};

class lost_storage : public testing::TestWithParam<log_form> {
protected:
    explicit lost_storage(int members = 3) : logs{{.members = members, .form = GetParam()}}
    {
        EXPECT_TRUE(logs.run_until_recovered(recovery_limit));
        old_leader = logs.leader();
    }
    /// The leader stops in a write, cut off, while the others elect another one, which acknowledges
    /// a command. Returns that one.
    int replace_stopped_leader()
    {
        logs.propose(old_leader);
        logs.run(milliseconds{200});
        logs.stop_in_next_write(old_leader, seconds{3});
        logs.propose(old_leader);
        logs.isolate(old_leader);
        logs.run(seconds{2});
        const int out = logs.leader();
        EXPECT_GE(out, 0);
        const auto before = logs.acknowledged();
        EXPECT_TRUE(logs.propose(out));
        logs.run(milliseconds{200});
        EXPECT_EQ(logs.acknowledged(), before + 1);
        return out;
    }
    /// Reads and proposes at all members for a while.
    void use_all(duration time)
    {
        for (const auto end = logs.now() + time; logs.now() < end; logs.run(milliseconds{50})) {
            for (int n = 0; n < logs.size(); ++n) {
                logs.read(n);
                logs.propose(n);
            }
        }
    }
    log_cluster logs;
    int old_leader = -1;
};

// Guards against a stale leader that takes a voter without its disk for its quorum: it answered
// reads with an older state than the acknowledged one and acknowledged changes that were then lost.
TEST_P(lost_storage, gives_a_stale_leader_no_quorum)
{
    const int next = replace_stopped_leader();
    const int wiped = 3 - old_leader - next;
    logs.kill(next);
    logs.lose_disk(wiped);
    logs.start(wiped);
    logs.heal();
    const auto before = logs.acknowledged();
    use_all(seconds{6});
    EXPECT_EQ(logs.violation(), "");
    EXPECT_EQ(logs.acknowledged(), before) << "only one of three voters has kept its storage";

    logs.start(next);
    EXPECT_TRUE(logs.run_until_recovered(recovery_limit));
    use_all(seconds{1});
    EXPECT_EQ(logs.violation(), "");
    EXPECT_GT(logs.acknowledged(), before);
}

// Guards against a daemon that stays without a vote after its disk was replaced.
TEST_P(lost_storage, is_replaced_while_the_others_go_on)
{
    const int wiped = (old_leader + 1) % 3;
    logs.lose_disk(wiped);
    logs.start(wiped);
    ASSERT_TRUE(logs.run_until_recovered(seconds{3}));
    EXPECT_EQ(logs.leader(), old_leader);

    // The replaced storage takes the place of the next one that is lost.
    logs.kill((old_leader + 2) % 3);
    logs.run(seconds{2});
    const auto before = logs.acknowledged();
    use_all(seconds{1});
    EXPECT_GT(logs.acknowledged(), before);
    EXPECT_EQ(logs.violation(), "");
}

// Guards against a recovery that is satisfied by what the storage before the latest one was told.
TEST_P(lost_storage, may_be_lost_twice)
{
    const int wiped = (old_leader + 1) % 3;
    for (int n = 0; n < 6; ++n) {
        logs.lose_disk(wiped);
        logs.start(wiped);
        use_all(milliseconds{100 + 150 * n});
    }
    EXPECT_TRUE(logs.run_until_recovered(recovery_limit));
    EXPECT_EQ(logs.violation(), "");
}

class lost_storage_of_two : public lost_storage {
protected:
    lost_storage_of_two() : lost_storage{5} {}
};

// Guards against two members without storage that wait for each other's answers.
TEST_P(lost_storage_of_two, is_replaced_with_five_voters)
{
    for (const int n : {1, 2}) {
        logs.lose_disk((old_leader + n) % 5);
    }
    use_all(milliseconds{300});
    for (const int n : {1, 2}) {
        logs.start((old_leader + n) % 5);
    }
    EXPECT_TRUE(logs.run_until_recovered(recovery_limit));
    logs.kill(old_leader);
    logs.kill((old_leader + 3) % 5);
    logs.run(seconds{3});
    const auto before = logs.acknowledged();
    use_all(seconds{1});
    EXPECT_GT(logs.acknowledged(), before) << "the replaced ones are part of the quorum";
    EXPECT_EQ(logs.violation(), "");
}

// Guards against a vote that is counted although its voter has forgotten it.
TEST_P(lost_storage_of_two, counts_no_vote_that_its_voter_has_forgotten)
{
    const int next = (old_leader + 1) % 5;
    const int wiped = (old_leader + 2) % 5;
    logs.isolate(next);
    use_all(milliseconds{200});
    logs.lose_disk(wiped);
    logs.start(wiped);
    logs.heal();
    logs.isolate(old_leader);
    use_all(seconds{2});
    logs.heal();
    EXPECT_TRUE(logs.run_until_recovered(recovery_limit));
    EXPECT_EQ(logs.violation(), "");
}

const auto forms = testing::Values(log_form::fleet, log_form::fixed_members);
std::string name_of_form(const testing::TestParamInfo<log_form>& in)
{
    return in.param == log_form::fleet ? "fleet" : "fixed_members";
}
INSTANTIATE_TEST_SUITE_P(forms, lost_storage, forms, name_of_form);
INSTANTIATE_TEST_SUITE_P(forms, lost_storage_of_two, forms, name_of_form);

/// Plays bursts of overlapping faults, with at most the tolerated number of lost disks in each.
class random_faults {
public:
    explicit random_faults(std::uint64_t seed)
        : random_{seed ^ 0x5EEDULL}, logs_{options_of(seed)}, seed_{seed}
    {
    }

    /// Returns the first violation; empty if there is none.
    std::string run()
    {
        constexpr int bursts = 4;
        for (int n = 0; n < bursts; ++n) {
            if (!logs_.run_until_recovered(recovery_limit)) {
                return describe("not recovered after all faults ended");
            }
            play_burst();
            end_faults();
        }
        return logs_.run_until_recovered(recovery_limit) ? describe("")
                                                         : describe("not recovered at the end");
    }
    [[nodiscard]] std::size_t acknowledged() const { return logs_.acknowledged(); }
    [[nodiscard]] std::size_t reads() const { return logs_.reads(); }

private:
    static log_cluster_options options_of(std::uint64_t seed)
    {
        std::mt19937_64 random{seed};
        log_cluster_options out;
        out.members = 1 + static_cast<int>(random() % 5);
        const bool is_fleet = out.members % 2 == 1 && random() % 2 == 0;
        out.form = is_fleet ? log_form::fleet : log_form::fixed_members;
        out.seed = seed;
        out.late_percent = static_cast<int>(random() % 4);
        out.double_percent = static_cast<int>(random() % 4);
        return out;
    }
    std::string describe(const std::string& otherwise) const
    {
        const auto& what = logs_.violation().empty() ? otherwise : logs_.violation();
        return what.empty() ? "" : fmt::format("seed {}: {}\n{}", seed_, what, logs_.describe());
    }
    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
    int any_member() { return pick(logs_.size()); }
    /// Returns the leader in most cases, as the faults that hit it are the ones that matter most.
    int target()
    {
        const int leads = logs_.leader();
        return leads >= 0 && pick(3) > 0 ? leads : any_member();
    }

    void play_burst()
    {
        lost_.clear();
        const int faults = 2 + pick(12);
        for (int n = 0; n < faults && logs_.violation().empty(); ++n) {
            play_fault();
            use_members(milliseconds{20 + pick(700)});
        }
    }
    void play_fault()
    {
        const int member = target();
        switch (pick(9)) {
        case 0:
            return logs_.stop(member, milliseconds{200 + pick(4000)});
        case 1:
        case 2:
            logs_.stop_in_next_write(member, milliseconds{200 + pick(4000)});
            logs_.propose(member);
            return pick(2) == 0 ? logs_.isolate(member) : void();
        case 3:
            return logs_.isolate(member);
        case 4:
            return logs_.cut(member, any_member(), pick(2) == 0);
        case 5:
            return logs_.heal();
        case 6:
            return logs_.kill(any_member());
        case 7:
            return logs_.start(any_member());
        default:
            return lose_disk(any_member());
        }
    }
    void lose_disk(int member)
    {
        const auto tolerated = static_cast<std::size_t>((logs_.size() - 1) / 2);
        if (lost_.contains(member) ? tolerated > 0 : lost_.size() < tolerated) {
            lost_.insert(member);
            logs_.lose_disk(member);
            if (pick(3) > 0) {
                logs_.start(member);
            }
        }
    }
    void use_members(duration time)
    {
        for (const auto end = logs_.now() + time; logs_.now() < end && logs_.violation().empty();
             logs_.run(milliseconds{20})) {
            logs_.read(any_member());
            logs_.propose(any_member());
        }
    }
    void end_faults()
    {
        logs_.heal();
        for (int n = 0; n < logs_.size(); ++n) {
            logs_.start(n);
        }
    }

    std::mt19937_64 random_;
    log_cluster logs_;
    std::uint64_t seed_;
    std::set<int> lost_; ///< members that have lost a disk in the present burst
};

// Guards against combinations of faults that no script above names.
TEST(random_faults_of_a_log, lose_no_acknowledged_command_and_show_no_old_state)
{
    constexpr std::uint64_t default_seeds = 2000;
    const auto only = number_from_environment("CEDARPOINT_LOG_SEED", 0);
    const auto last =
        only > 0 ? only : number_from_environment("CEDARPOINT_LOG_SEEDS", default_seeds);
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    for (auto seed = only > 0 ? only : 1; seed <= last; ++seed) {
        random_faults it{seed};
        ASSERT_EQ(it.run(), "");
        acknowledged += it.acknowledged();
        reads += it.reads();
    }
    std::printf("checked %zu commands and %zu reads\n", acknowledged, reads);
    EXPECT_GT(acknowledged, 0U);
    EXPECT_GT(reads, 0U);
}

} // namespace
} // namespace cedarpoint
