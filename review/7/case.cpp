// Engines without fences carry out orders late while the leader changes.

#include "harness.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr auto configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"garden.example","pathPrefix":"/advice/",)"
    R"("kind":"streaming","timeoutMs":8000,"targetLatencyMs":300,"priority":1,"service":"llm",)"
    R"("maxAttempts":2,"public":true,"sticky":true,"resumable":true,"targetGapMs":300}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConnections":314,"protocol":"h1",)"
    R"("tls":false,"engine":{"slots":26,"kvCapacity":1590000,"kvTokenBytes":327680,)"
    R"("linkMbps":400000.0,"stride":7,"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,)"
    R"("loadS":1.0,"warmS":0.3}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,)"
    R"("read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,)"
    R"("loadsPerS":4.5,"loads_at_once":6,"delays":[],"usual":{"prompt":1115,"answer":178},)"
    R"("keeps":1,"far_x":2.5,"formMs":300.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

/// An order that got no answer is carried out 2 to 12 s later.
constexpr milliseconds least_delay{2000};

/// Picks the orders to the head that get no answer: the first join and the first open of its first
/// group, and the first join of its second group.
class order_picker {
public:
    bool operator()(const group_runner::order& it)
    {
        const std::lock_guard lock{mutex_};
        const bool is_first_group = first_group_.empty() || it.group == first_group_;
        auto* slot = it.op == "join" ? (is_first_group ? &first_join_ : &second_join_)
                     : it.op == "open" && is_first_group ? &first_open_
                                                         : nullptr;
        if (it.op == "join" && first_group_.empty()) {
            first_group_ = it.group;
        }
        if (slot == nullptr || *slot) {
            return false;
        }
        *slot = it;
        return true;
    }
    std::optional<group_runner::order> first_join() { return get(first_join_); }
    std::optional<group_runner::order> first_open() { return get(first_open_); }
    std::optional<group_runner::order> second_join() { return get(second_join_); }

private:
    using held = std::optional<group_runner::order>;
    held get(const held& it)
    {
        const std::lock_guard lock{mutex_};
        return it;
    }
    std::mutex mutex_;
    std::string first_group_;
    held first_join_;
    held first_open_;
    held second_join_;
};

void wait_for(steady::time_point at)
{
    std::this_thread::sleep_until(at);
}

int run(recorder& log)
{
    fleet site{log, 1};
    order_picker picker;
    std::vector<std::unique_ptr<group_runner>> runners;
    for (int n = 0; n < 3; ++n) {
        group_runner::options options;
        options.id = "i-" + std::to_string(n);
        options.service = "llm";
        options.slots = 26;
        options.load_times = {{"m0", milliseconds{1000}}};
        options.checks_fences = false;
        runners.push_back(std::make_unique<group_runner>(site, log, options));
    }
    auto& head = *runners[0]; // candidates of a group are ordered by their ids
    auto& member = *runners[1];
    if (has_trouble()) {
        head.is_late = [&](const group_runner::order& it) { return picker(it); };
    }
    const auto put = site.call_control("POST", "/cedarpoint/config/put", configuration);
    if (!put || put->status() != 200 || !site.wait_ready(0, milliseconds{10'000})) {
        throw can_not_run{"the configuration is not in force"};
    }
    if (!wait_until(milliseconds{20'000}, [&] { return head.now().state == "open"; })) {
        throw can_not_run{"the first group is not open"};
    }
    const auto first_group = head.now().group;
    log.line(first_group + " is open");
    wait(milliseconds{3000});
    const auto leader = site.leader();
    if (!leader) {
        throw can_not_run{"no leader"};
    }
    log.line(member.id() + " drains");
    if (!member.drain(milliseconds{3000})) {
        throw can_not_run{"the drain was not acknowledged"};
    }
    if (!has_trouble()) {
        if (!wait_until(milliseconds{15'000}, [&] {
                const auto now = head.now();
                return now.state == "open" && now.group != first_group;
            })) {
            throw can_not_run{"the second group is not open"};
        }
        wait(milliseconds{3000});
        return head.joins_while_open() > 0 ? exit_broken : exit_held;
    }
    if (!wait_until(milliseconds{10'000}, [&] { return picker.second_join().has_value(); })) {
        throw can_not_run{"no join of a second group"};
    }
    const auto second_join = *picker.second_join();
    if (!picker.first_join() || !picker.first_open()) {
        throw can_not_run{"the first orders were not held"};
    }
    wait(milliseconds{200}); // the leader repeats an order after 0.5 s
    log.line("control daemon " + std::to_string(*leader + 1) + ", which leads, is killed");
    site.control_process(*leader).signal(SIGKILL);
    const auto killed = steady::now();
    head.carry_out(*picker.first_join());
    wait(milliseconds{300}); // joins again for its last model in 0.2 s
    head.carry_out(*picker.first_open());
    wait_for(killed + milliseconds{1000});
    site.start_control(*leader, false);
    wait_for(second_join.arrived + least_delay + milliseconds{20});
    const auto before = head.now();
    log.line(head.id() + " is in " + before.group + ", " + before.state);
    head.carry_out(second_join);
    wait(milliseconds{5000});
    log.line("joins of another group taken while the head's group was open: " +
             std::to_string(head.joins_while_open()));
    return head.joins_while_open() > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
