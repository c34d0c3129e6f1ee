// What control costs a daemon, by the size of its failure domain and the number of domains: slopes
// for docs/CAPACITY.md. Control planes in one process with faked time, messages and disks.

#include "benches.h"
#include "control/world.h"
#include "process_usage.h"

#include <unistd.h>

#include <fmt/format.h>

namespace cedarpoint::bench {
namespace {

using testing_support::world;
using testing_support::world_options;

/// Figures of one world at rest, per second of its time.
struct control_cost {
    double leader_cpu = 0;   ///< of a core, the costliest daemon's
    double member_cpu = 0;   ///< of a core, the median daemon's
    double messages = 0;     ///< out, per daemon and second
    double bytes = 0;        ///< out, per daemon and second
    double leader_bytes = 0; ///< out, of the daemon that sends most
    double kb = 0;           ///< of memory, per daemon
};

control_cost measure(const world_options& options)
{
    const double before = usage_of(getpid()).resident_kb;
    world at{options};
    at.stop_checking();
    constexpr milliseconds patience{120'000};
    at.run_until([&] { return at.root_leader() != "none"; }, patience);
    at.apply("a1", 0, "first", 0);
    if (!at.run_until([&] { return at.in_force_everywhere(1); }, patience)) {
        fmt::print(stderr, "a world did not come to rest: its figures are not valid\n");
    }
    at.run(seconds{12});
    at.start_counting();
    constexpr int counted_s = 10;
    at.run(seconds{counted_s});
    const auto names = at.names();
    std::vector<double> cpu;
    control_cost out;
    double total_bytes = 0;
    for (const auto& name : names) {
        cpu.push_back(at.spent_seconds(name) / counted_s);
        total_bytes += static_cast<double>(at.sent_bytes(name)) / counted_s;
        out.leader_bytes =
            std::max(out.leader_bytes, static_cast<double>(at.sent_bytes(name)) / counted_s);
    }
    std::sort(cpu.begin(), cpu.end());
    out.leader_cpu = cpu.back();
    out.member_cpu = cpu[cpu.size() / 2];
    out.bytes = total_bytes / static_cast<double>(names.size());
    out.messages = static_cast<double>(at.messages) / counted_s / static_cast<double>(names.size());
    out.kb =
        std::max(0.0, usage_of(getpid()).resident_kb - before) / static_cast<double>(names.size());
    return out;
}

void print(const std::string& what, const control_cost& it)
{
    const auto name = "control." + what;
    print_figure(name + ".busiest_cpu", it.leader_cpu * 100, "% of a core", "", -1);
    print_figure(name + ".median_cpu", it.member_cpu * 100, "% of a core", "", -1);
    print_figure(name + ".messages_out", it.messages, "1/s", "", -1);
    print_figure(name + ".bytes_out", it.bytes, "B/s", "", -1);
    print_figure(name + ".busiest_bytes_out", it.leader_bytes, "B/s", "", -1);
    print_figure(name + ".memory", it.kb, "KB", "", -1);
}

} // namespace

void run_control_bench()
{
    // Daemons in one domain, with five nodes each, as at the target (10,000 runners, 2,000
    // daemons).
    for (const int daemons : {3, 9, 18, 36, 72}) {
        world_options options;
        options.zones = 1;
        options.daemons = daemons;
        options.disks = 3;
        options.nodes = 5 * daemons;
        options.watch_ms = 1000;
        options.groups = daemons / 2;
        print(fmt::format("daemons_{}", daemons), measure(options));
    }
    // Domains of three daemons, fifteen nodes each.
    for (const int zones : {1, 2, 4, 8, 14}) {
        world_options options;
        options.zones = zones;
        options.daemons = 3;
        options.disks = 3;
        options.nodes = 15;
        options.watch_ms = 1000;
        options.groups = 3;
        print(fmt::format("domains_{}", zones), measure(options));
    }
}

void run_failover_bench()
{
    world_options options;
    options.nodes = 18;
    options.groups = 4;
    double leader = 0;
    double repair = 0;
    double in_force = 0;
    constexpr int runs = 20;
    for (int n = 1; n <= runs; ++n) {
        options.seed = static_cast<std::uint64_t>(n);
        world at{options};
        at.run(seconds{4});
        at.apply("b1", 0, "first", 0);
        const auto everywhere =
            at.run_until([&] { return at.in_force_everywhere(1); }, seconds{30});
        at.run(seconds{10});
        at.kill(at.leader_of("a"));
        const auto led = at.run_until([&] { return at.leader_of("a") != "none"; }, seconds{30});
        at.run(seconds{5});
        at.lose_node("an0", true);
        at.run_until([&] { return at.usable_groups("a") == 3; }, seconds{30});
        const auto repaired = at.run_until([&] { return at.usable_groups("a") == 4; }, seconds{60});
        leader = std::max(leader, static_cast<double>(led.value_or(seconds{30}).count()));
        repair = std::max(repair, static_cast<double>(repaired.value_or(seconds{60}).count()));
        in_force =
            std::max(in_force, static_cast<double>(everywhere.value_or(seconds{30}).count()));
    }
    constexpr double heartbeat_ms = 200;
    constexpr double bound_ms = 18'000;
    print_figure("control.leader_failover_worst_of_20", leader / heartbeat_ms, "heartbeats", "",
                 -1);
    print_figure("control.group_repair_worst_of_20", repair, "ms, 500 of them loading", "", -1);
    print_figure("control.apply_to_in_force_everywhere_worst_of_20", in_force, "ms", "< 18000",
                 in_force < bound_ms);
}

} // namespace cedarpoint::bench
