#pragma once

#include "cedarpoint/control/control_plane.h"
#include "support/group_invariants.h"
#include "support/memory_files.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// The size and faults of a simulated world. Zones are named a, b, c...; daemons a1, a2...; nodes
/// an0, an1...
struct world_options {
    int zones = 3;
    int daemons = 3;       ///< in each zone
    int disks = 3;         ///< daemons with a disk in each zone; they are the voters
    bool diskless = false; ///< the voters store nothing
    int nodes = 9;         ///< in each zone
    int groups = 2;        ///< groups of four nodes in each zone
    bool checks_epoch = true;
    std::uint64_t seed = 1;
    int loss_percent = 0;     ///< of messages
    int double_percent = 0;   ///< of messages
    int longest_delay_ms = 5; ///< each message takes from 1 ms to this
};

/// Simulates several control planes with their time, messages, disks and engines. A run is
/// determined by its seed. The invariants are checked after each step; `violation` returns the
/// first violation.
/// Owns: the planes, their disks, the engines and the messages in flight.
class world {
public:
    explicit world(world_options options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    void run(milliseconds time);
    /// Runs until `done` returns true, for at most `limit`. Returns the simulated time that passed;
    /// empty if `limit` passed first.
    std::optional<milliseconds> run_until(const std::function<bool()>& done, milliseconds limit);

    void kill(const std::string& daemon);
    void start(const std::string& daemon);
    void wipe(const std::string& daemon) { at(daemon).files.wipe(); }
    void pause(const std::string& daemon, bool it) { at(daemon).paused = it; }
    /// Drops messages from one daemon or zone to another; "*" stands for all.
    void cut(const std::string& from, const std::string& to, bool both_ways);
    void heal() { cuts_.clear(); }
    void heal(const std::string& one, const std::string& other);
    void lose_node(const std::string& node, bool lost) { engines_.at(node).alive = !lost; }

    /// Returns a configuration file for this world, with `extra` additional groups in each zone.
    [[nodiscard]] std::string file(std::uint64_t based_on, const std::string& change,
                                   int extra) const;
    /// Submits a configuration file to a daemon; the answer is added to `answers`.
    void apply(const std::string& daemon, std::uint64_t based_on, const std::string& change,
               int extra);
    void claim(const std::string& daemon, const std::string& key, const std::string& holder);
    void finish(const std::string& daemon, const std::string& key, const std::string& holder,
                claim_outcome outcome);
    void drain(const std::string& daemon, const std::string& kind, const std::string& id,
               bool draining);

    [[nodiscard]] bool is_up(const std::string& daemon) const;
    control_plane& plane(const std::string& daemon) { return *at(daemon).plane; }
    memory_files& disk(const std::string& daemon) { return at(daemon).files; }
    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] std::string leader_of(const std::string& zone) const;
    [[nodiscard]] std::string root_leader() const;
    /// Returns the number of the zone's groups to which at least one of its daemons may send
    /// requests now.
    [[nodiscard]] int usable_groups(const std::string& zone) const;
    [[nodiscard]] bool in_force_everywhere(std::uint64_t revision) const;
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] std::uint64_t steps() const { return steps_; }
    [[nodiscard]] const std::string& violation() const { return violation_; }

    std::vector<std::string> answers; ///< to operators and claims, in order of arrival
    std::vector<std::string> events;  ///< state changes of groups
    std::map<std::string, std::set<std::string>> granted; ///< holders of granted claims by key

private:
    struct host {
        settings daemon_settings;
        memory_files files;
        std::unique_ptr<control_plane> plane;
        bool paused = false;
        bool has_disk = true;
        instant next_poll;
        std::uint64_t starts = 0;
        std::uint64_t newest_revision = 0;
        std::vector<wire::envelope> held; ///< messages that arrived while it was paused
    };
    struct engine {
        std::string node;
        std::string zone;
        bool alive = true;
        bool checks_epoch = true;
        runner_report state;
        std::optional<instant> loaded_at;
    };
    struct in_flight_message {
        instant due;
        std::string from;
        std::string to;
        wire::envelope what;
    };

    host& at(const std::string& daemon) { return *hosts_.at(daemon); }
    void step();
    void deliver();
    void poll_runners(host& it);
    void take_order(const runner_order& order);
    void post(const std::string& from, const std::string& to, const wire::envelope& what);
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;
    void check();
    void check_leases();
    void check_routes();
    void check_configuration();
    void record_violation(const std::string& what);

    world_options options_;
    std::mt19937_64 random_;
    instant now_{seconds{1000}};
    std::map<std::string, std::unique_ptr<host>> hosts_;
    std::map<std::string, engine> engines_;
    std::vector<in_flight_message> in_flight_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::uint64_t, std::string> texts_; ///< configuration texts by revision, as first seen
    std::uint64_t steps_ = 0;
    group_invariants invariants_;
    std::string violation_;
};

} // namespace cedarpoint::testing_support
