// Injects random failures derived from a seed. The invariants are checked after each step, liveness
// at the end. CEDARPOINT_SEEDS=n runs the first n seeds, CEDARPOINT_SEED=n only that one. The
// operations of a failing run are printed; with CEDARPOINT_SHRINK set, only those that it needs.

#include "control/world.h"

#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::world;
using testing_support::world_options;

constexpr int default_seeds = 40; ///< as in CI; docs/MEASUREMENTS.md reports a run of 800
constexpr int operations_per_run = 60;
constexpr int longest_pause_ms = 1500; ///< the time between two operations is below this
/// The simulated time within which the system must become stable after all faults have ended.
constexpr seconds rest_limit{200};

/// One operation, and how long the simulation runs after it.
struct operation {
    int kind = 0;
    int a = 0;
    int b = 0;
    int pause_ms = 0;
};

constexpr const char* operation_names[] = {
    "kill",        "start",     "pause",    "resume",     "cut",
    "cut-one-way", "heal",      "cut-zone", "lose-node",  "return-node",
    "apply",       "claim",     "finish",   "disk-fails", "restart-all-of-zone",
    "wipe",        "disk-works"};
constexpr int operation_kinds = static_cast<int>(std::size(operation_names));

world_options options_of(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    world_options out;
    out.seed = seed;
    out.zones = 1 + static_cast<int>(random() % 3);
    out.disks = 1 + static_cast<int>(random() % 3);
    out.nodes = 9;
    out.checks_epoch = random() % 2 == 0;
    out.loss_percent = static_cast<int>(random() % 3) * 5;
    out.double_percent = static_cast<int>(random() % 3) * 5;
    out.longest_delay_ms = random() % 4 == 0 ? 400 : 10;
    return out;
}

std::vector<operation> operations_of(std::uint64_t seed)
{
    std::mt19937_64 random{seed ^ 0xC0FFEEULL};
    std::vector<operation> out;
    for (int n = 0; n < operations_per_run; ++n) {
        out.push_back({static_cast<int>(random() % operation_kinds),
                       static_cast<int>(random() % 1000), static_cast<int>(random() % 1000),
                       static_cast<int>(random() % longest_pause_ms)});
    }
    return out;
}

/// Performs operations on a simulated world, then checks that it becomes stable.
class random_run {
public:
    explicit random_run(const world_options& options)
        : options_{options}, world_{options}, names_{world_.names()}
    {
    }

    /// Returns the first violation; empty if there is none.
    std::string play(const std::vector<operation>& all)
    {
        world_.run(seconds{4});
        for (const auto& it : all) {
            perform(it);
            world_.run(milliseconds{it.pause_ms});
            if (!world_.violation().empty()) {
                return world_.violation();
            }
        }
        return end_faults();
    }

    [[nodiscard]] std::uint64_t steps() const { return world_.steps(); }

private:
    void perform(const operation& it)
    {
        const auto& name = names_[static_cast<std::size_t>(it.a) % names_.size()];
        const auto& other = names_[static_cast<std::size_t>(it.b) % names_.size()];
        const std::string zone = name.substr(0, 1);
        const auto node = zone + "n" + std::to_string(it.b % options_.nodes);
        const std::string_view what = operation_names[it.kind];
        if (what == "kill") {
            world_.kill(name);
        }
        else if (what == "start") {
            world_.start(name);
        }
        else if (what == "pause" || what == "resume") {
            world_.pause(name, what == "pause");
        }
        else if (what == "cut" || what == "cut-one-way") {
            world_.cut(name, other, what == "cut");
        }
        else if (what == "heal") {
            world_.heal();
        }
        else if (what == "cut-zone") {
            world_.cut(zone, "*", true);
        }
        else if (what == "lose-node" || what == "return-node") {
            world_.lose_node(node, what == "lose-node");
        }
        else if (what == "disk-fails") {
            world_.disk(name).fail_write(it.b % 3, static_cast<std::size_t>(it.b % 50));
        }
        else if (what == "disk-works") {
            world_.disk(name).work_again();
        }
        else if (what == "wipe") {
            // Only one disk is lost at a time, and only while the others hold all data.
            if (options_.zones == 3 && options_.disks == 3 && is_stable()) {
                world_.kill(name);
                world_.wipe(name);
                world_.start(name);
            }
        }
        else if (what == "restart-all-of-zone") {
            for (const auto& each : names_) {
                if (each.starts_with(zone)) {
                    world_.kill(each);
                    world_.start(each);
                }
            }
        }
        else if (world_.is_up(name)) {
            perform_client_request(what, name, it);
        }
    }

    void perform_client_request(std::string_view what, const std::string& name, const operation& it)
    {
        if (what == "apply") {
            const auto based_on = world_.plane(name).domain().in_force().value;
            world_.apply(name, based_on, "change-" + std::to_string(++changes_), it.b % 2);
            return;
        }
        const auto key = "key-" + std::to_string(it.b % 6);
        if (what == "claim") {
            world_.claim(name, key, "holder-" + std::to_string(++holders_));
            return;
        }
        if (const auto& holders = world_.granted[key]; !holders.empty()) {
            const auto holder = *holders.begin();
            world_.finish(name, key, holder,
                          it.b % 2 == 0 ? claim_outcome::ran : claim_outcome::not_run);
        }
    }

    /// Ends all faults. The system must then become stable: leaders elected, one configuration in
    /// force, groups usable.
    std::string end_faults()
    {
        world_.heal();
        for (const auto& name : names_) {
            world_.pause(name, false);
            world_.kill(name);
            world_.start(name);
        }
        for (int z = 0; z < options_.zones; ++z) {
            for (int n = 0; n < options_.nodes; ++n) {
                world_.lose_node(
                    std::string(1, static_cast<char>('a' + z)) + "n" + std::to_string(n), false);
            }
        }
        const auto stable = [&] { return is_stable(); };
        if (!world_.run_until(stable, rest_limit) && world_.violation().empty()) {
            return fmt::format("seed {}: not stable {} s after all faults ended", options_.seed,
                               rest_limit.count());
        }
        return world_.violation();
    }

    bool is_stable()
    {
        std::uint64_t newest = 0;
        for (const auto& name : names_) {
            if (!world_.is_up(name) || !world_.plane(name).granted_at(world_.now())) {
                return false;
            }
            newest = std::max(newest, world_.plane(name).domain().in_force().value);
        }
        for (int z = 0; z < options_.zones; ++z) {
            const std::string zone(1, static_cast<char>('a' + z));
            if (world_.leader_of(zone) == "none" ||
                (newest > 0 && world_.usable_groups(zone) < options_.groups)) {
                return false;
            }
        }
        return world_.root_leader() != "none" && world_.in_force_everywhere(newest);
    }

    world_options options_;
    world world_;
    std::vector<std::string> names_;
    int changes_ = 0;
    int holders_ = 0;
};

/// Removes each operation without which the run still fails.
std::vector<operation> shrink(const world_options& options, std::vector<operation> all)
{
    for (std::size_t n = all.size(); n-- > 0;) {
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(n));
        if (!random_run{options}.play(fewer).empty()) {
            all = std::move(fewer);
        }
    }
    return all;
}

std::string describe(const std::vector<operation>& all)
{
    std::string out;
    for (const auto& it : all) {
        out += fmt::format("  {} {} {} then {} ms\n", operation_names[it.kind], it.a, it.b,
                           it.pause_ms);
    }
    return out;
}

int number_from_environment(const char* name, int fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::atoi(text);
}

TEST(random_failures, break_no_invariant_and_leave_a_system_at_rest)
{
    const int only = number_from_environment("CEDARPOINT_SEED", 0);
    const int first = only > 0 ? only : 1;
    const int last = only > 0 ? only : number_from_environment("CEDARPOINT_SEEDS", default_seeds);
    std::uint64_t steps = 0;
    for (int seed = first; seed <= last; ++seed) {
        const auto options = options_of(static_cast<std::uint64_t>(seed));
        const auto all = operations_of(static_cast<std::uint64_t>(seed));
        random_run run{options};
        const auto wrong = run.play(all);
        steps += run.steps();
        if (!wrong.empty()) {
            std::printf("%s\n", wrong.c_str());
            std::fflush(stdout);
            ADD_FAILURE() << wrong << "\noperations that reproduce it:\n"
                          << describe(std::getenv("CEDARPOINT_SHRINK") != nullptr
                                          ? shrink(options, all)
                                          : all);
            break;
        }
    }
    std::printf("checked %llu steps in seeds %d to %d\n", static_cast<unsigned long long>(steps),
                first, last);
}

} // namespace
} // namespace cedarpoint
