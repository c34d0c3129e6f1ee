#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "support/memory_files.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint::testing_support {

/// How the members of a simulated log start and who changes its membership.
enum class log_form {
    fleet,         ///< members know whether the system starts for the first time
    fixed_members, ///< members are listed in settings and don't know it
};

struct log_cluster_options {
    int members = 3;
    log_form form = log_form::fleet;
    std::uint64_t seed = 1;
    duration longest_delay = milliseconds{20}; ///< of most messages
    int late_percent = 0;                      ///< of messages, which take up to `latest_delay`
    duration latest_delay = seconds{3};
    int double_percent = 0; ///< of messages
};

/// Simulates the replicas of one log with their time, messages and disks, and checks that
///   - a replica that holds a lease has applied every command acknowledged before,
///   - no acknowledged command is missing from a later leader,
///   - no term has two leaders.
/// A run is determined by its seed.
class log_cluster {
public:
    explicit log_cluster(log_cluster_options options);
    ~log_cluster();
    log_cluster(const log_cluster&) = delete;
    log_cluster& operator=(const log_cluster&) = delete;

    void run(duration time);
    /// Runs until a leader holds its lease and all members are up, admitted and up to date. Returns
    /// false if that takes longer than `limit`.
    [[nodiscard]] bool run_until_recovered(duration limit);

    /// The member's process stands still, and so do its messages.
    void stop(int member, duration time);
    /// The member's next write takes this long. Whatever it does in the same step comes after it.
    void stop_in_next_write(int member, duration time);
    void kill(int member);
    void start(int member);
    void lose_disk(int member);
    void cut(int one, int other, bool both_ways);
    /// Cuts all links of the member.
    void isolate(int member);
    void heal() { cuts_.clear(); }

    /// Proposes the next command to the member. Returns false if it refuses.
    bool propose(int member);
    /// Reads at the member as a client would; checked at the end of the read.
    void read(int member);

    [[nodiscard]] int size() const { return static_cast<int>(hosts_.size()); }
    [[nodiscard]] bool is_up(int member) const { return at(member).log != nullptr; }
    [[nodiscard]] const raft_node& raft(int member) const { return at(member).log->raft(); }
    /// Returns the member that holds the lease; -1 if there is none.
    [[nodiscard]] int leader() const;
    [[nodiscard]] bool holds_lease(int member) const;
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] std::size_t acknowledged() const { return acknowledged_.size(); }
    [[nodiscard]] std::size_t reads() const { return reads_; }
    [[nodiscard]] const std::string& violation() const { return violation_; }
    /// Returns the state of all members, for the message of a failed check.
    [[nodiscard]] std::string describe() const;

private:
    class command_set;
    class stalling_files;
    struct host {
        member_id id;
        std::unique_ptr<stalling_files> files;
        std::unique_ptr<command_set> state;
        std::unique_ptr<replicated_log> log;
        instant busy_until;     ///< stopped or in a write until then
        instant membership_due; ///< next check of the membership
        std::uint64_t starts = 0;
    };
    struct message {
        instant due;
        member_id from;
        int to = 0;
        wire::raft_message content;
    };
    struct pending_read {
        instant due;
        int member = 0;
        std::set<int> seen;
    };

    host& at(int member) { return *hosts_.at(static_cast<std::size_t>(member)); }
    [[nodiscard]] const host& at(int member) const
    {
        return *hosts_.at(static_cast<std::size_t>(member));
    }
    [[nodiscard]] bool is_running(int member) const
    {
        return is_up(member) && at(member).busy_until <= now_;
    }
    [[nodiscard]] bool is_recovered() const;
    [[nodiscard]] replicated_log::options options_of(int member);
    void post(int from, const member_id& to, const wire::raft_message& content);
    void step();
    void deliver();
    void change_members(int member);
    void end_step(host& of);
    void check_reads();
    void check_terms();
    void record_violation(const std::string& what);

    log_cluster_options options_;
    std::mt19937_64 random_;
    instant now_{seconds{1000}};
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<message> in_flight_;
    std::set<std::pair<int, int>> cuts_;
    std::vector<std::pair<instant, int>> acknowledged_; ///< commands
    std::vector<pending_read> pending_reads_;
    std::vector<std::pair<std::uint64_t, int>> leaders_; ///< terms
    int commands_ = 0;
    std::size_t reads_ = 0;
    std::string violation_;
};

} // namespace cedarpoint::testing_support
