// Guards against requests that crash runner after runner although no two of them are alike: what
// they share is a part of their prompts. Sound requests share their other parts.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;

// The guarantee to users: once five runners have crashed under requests with one part in their
// prompts, at most three more such requests arrive at runners, from daemons that have been
// connected for `contact_time`.
constexpr std::size_t crashes_before_guarantee = 5;
constexpr duration contact_time = seconds{3};
constexpr std::ptrdiff_t max_arrivals_after = 3;

/// Share of the sound requests that are served once the guarantee holds.
constexpr double min_served_share = 0.98;

constexpr int runner_count = 14;
constexpr int quarantined_status = 429;
constexpr int served_status = 200;

const std::string common_part = "5c1e07a2";
const std::string crashing_part = "badc0de5";
const std::string second_crashing_part = "deadbea7";

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":3},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":2000,"service":"shop","maxAttempts":3},
              {"name":"ask","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
               "timeoutMs":2000,"service":"pool","maxAttempts":3,"resumable":true,
               "targetLatencyMs":300,"targetGapMs":300}],
    "services":[{"name":"shop"},{"name":"pool"}]})";

struct crash_case {
    std::string name;
    int net = 0;
    int entry_daemons = 8;
    std::string service = "shop"; ///< "pool": its answers are streams
    std::string target = "/safe/x";
    platform_runner::crash_stage stage = platform_runner::crash_stage::before_head;
    bool is_first_part = false;   ///< otherwise the crashing part follows the common one
    milliseconds answer_time{20}; ///< of a sound request
    bool loses_leader = false;    ///< after the fifth crash
    bool keeps_port_open = false; ///< a supervisor keeps the listening sockets of runners
    bool is_replaced = false;     ///< other runners take the places of crashed ones
    bool has_second_part = false; ///< another part crashes runners at the same time
    milliseconds restart_delay{2500};
    bool is_unframed = false; ///< answers have no length and end with their connections
};

// GoogleTest looks up this function by its name.
void PrintTo( // NOLINT(readability-identifier-naming)
    const crash_case& in, std::ostream* out)
{
    *out << in.name;
}

/// A fleet, its runners, and callers whose requests all differ.
class fleet_with_shared_parts : public testing::TestWithParam<crash_case> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            runners.push_back(std::make_unique<platform_runner>(
                fmt::format("s-{}", n), GetParam().service, fleet.controls(), 1000U));
            runners.back()->answer_time = GetParam().answer_time;
            runners.back()->event_gap = GetParam().answer_time;
            runners.back()->slots = 16;
            runners.back()->stage = GetParam().stage;
            runners.back()->crash_parts = {crashing_part, second_crashing_part};
            runners.back()->restart_delay = GetParam().restart_delay;
            runners.back()->keeps_port_open = GetParam().keeps_port_open;
            runners.back()->is_replaced = GetParam().is_replaced;
            if (GetParam().is_unframed) {
                runners.back()->change_answers({.unframed = true});
            }
        }
        ASSERT_TRUE(fleet.put(document));
        ASSERT_TRUE(fleet.wait_serving(GetParam().target));
        pass_time(seconds{1});
    }

    /// Starts callers of sound requests: they share the first part of their prompts and one of ten
    /// second ones.
    std::unique_ptr<open_loop_callers> start_sound(double per_second)
    {
        return start(per_second, "sound", [](std::size_t n) {
            return fmt::format("{}:800,91bd3f{:02x}:410,{:x}:250", common_part, n % 10, n);
        });
    }

    std::unique_ptr<open_loop_callers> start_crashing(double per_second, const std::string& name,
                                                      const std::string& part = crashing_part)
    {
        const bool is_first = GetParam().is_first_part;
        return start(per_second, name, [is_first, name, part](std::size_t n) {
            const auto own = fmt::format("{}{:x}:250", name == "again" ? "f" : "e", n);
            return is_first ? fmt::format("{}:800,91bd3f{:02x}:410,{}", part, n % 10, own)
                            : fmt::format("{}:800,{}:410,{}", common_part, part, own);
        });
    }

    [[nodiscard]] std::vector<instant> ends() const
    {
        std::vector<instant> out;
        for (const auto& runner : runners) {
            out.insert(out.end(), runner->ends.begin(), runner->ends.end());
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    /// Returns when requests with the part arrived at runners, the earliest first.
    [[nodiscard]] std::vector<instant> arrivals_with(const std::string& part) const
    {
        std::vector<instant> out;
        for (const auto& runner : runners) {
            for (const auto& each : runner->arrivals) {
                if (each.prompt_parts.find(part) != std::string::npos) {
                    out.push_back(each.at);
                }
            }
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    void expect_guarantee(const std::string& part = crashing_part) const
    {
        const auto all = arrivals_with(part);
        ASSERT_GE(all.size(), 3U) << "the part crashes the runners in this test";
        if (all.size() < crashes_before_guarantee) {
            return;
        }
        const auto fifth = all[crashes_before_guarantee - 1] + runners[0]->crash_delay;
        const auto count_after = [&](instant from) {
            return std::count_if(all.begin(), all.end(), [&](instant at) { return at > from; });
        };
        fmt::print("{} arrivals of {}, {} after the fifth crash, the last {} ms after it\n",
                   all.size(), part, count_after(fifth), to_ms(all.back() - fifth));
        EXPECT_LE(count_after(fifth + contact_time), max_arrivals_after)
            << all.size() << " arrivals in all, " << ends().size() << " crashes";
    }

    static void expect_no_quarantine(const open_loop_callers& callers)
    {
        for (const auto& each : callers.results) {
            EXPECT_NE(each.status, quarantined_status) << each.prompt_parts << ": " << each.text;
        }
    }

    fleet_processes fleet{{.net = GetParam().net,
                           .entry_daemons = GetParam().entry_daemons,
                           .log_name = fmt::format("parts-{}", GetParam().net)}};
    std::vector<std::unique_ptr<platform_runner>> runners;

private:
    std::unique_ptr<open_loop_callers>
    start(double per_second, const std::string& name,
          const std::function<std::string(std::size_t)>& prompt_parts)
    {
        return std::make_unique<open_loop_callers>(
            fleet.entries(), per_second, name, [name, prompt_parts](std::size_t n) {
                open_loop_callers::request out{"POST", GetParam().target,
                                               fmt::format("{} {}", name, n)};
                out.prompt_parts = prompt_parts(n);
                return out;
            });
    }
};

/// A crashed runner has answered nothing completely.
void expect_no_success(const open_loop_callers& callers)
{
    for (const auto& each : callers.results) {
        EXPECT_NE(each.status, served_status) << each.id << ": " << each.text;
    }
}

class a_part_that_crashes_runners : public fleet_with_shared_parts {};

TEST_P(a_part_that_crashes_runners, reaches_few_more_of_them_once_five_have_crashed)
{
    const auto sound = start_sound(60);
    pass_time(seconds{1});
    auto crashing = start_crashing(10, "crashing");
    const auto second =
        GetParam().has_second_part ? start_crashing(6, "second", second_crashing_part) : nullptr;
    pass_time(seconds{2});
    if (GetParam().loses_leader) {
        const auto leader = fleet.leader();
        ASSERT_TRUE(leader.has_value());
        fleet.at(*leader).signal(SIGKILL);
        pass_time(seconds{2});
        fleet.start(*leader, false);
    }
    pass_time(seconds{6});
    const auto all = ends();
    ASSERT_GE(all.size(), 3U);
    const auto from = all[std::min(all.size(), crashes_before_guarantee) - 1] + contact_time;
    EXPECT_GE(sound->served_share(from, steady_now()), min_served_share);
    expect_guarantee();
    expect_no_quarantine(*sound);

    expect_no_success(*crashing);
    if (second != nullptr) {
        expect_guarantee(second_crashing_part);
        expect_no_success(*second);
    }

    // The callers stop, and send such requests again after a pause.
    crashing.reset();
    pass_time(seconds{3});
    crashing = start_crashing(10, "again");
    pass_time(seconds{2});
    expect_guarantee();
    ASSERT_FALSE(crashing->results.empty());
    EXPECT_EQ(crashing->results.back().status, quarantined_status);
    expect_no_quarantine(*sound);
}

using stage = platform_runner::crash_stage;

INSTANTIATE_TEST_SUITE_P(
    cases, a_part_that_crashes_runners,
    testing::Values(
        crash_case{.name = "in_the_middle", .net = 30},
        crash_case{.name = "first", .net = 31, .is_first_part = true},
        crash_case{.name = "in_streams",
                   .net = 32,
                   .service = "pool",
                   .target = "/ask/x",
                   .stage = stage::in_stream},
        crash_case{.name = "that_run_once", .net = 33, .target = "/once/x"},
        crash_case{.name = "beside_long_requests", .net = 34, .answer_time = milliseconds{700}},
        crash_case{.name = "and_loses_the_leader", .net = 35, .loses_leader = true},
        crash_case{.name = "in_answers_without_length",
                   .net = 37,
                   .stage = stage::in_stream,
                   .is_unframed = true},
        crash_case{.name = "in_streams_without_chunks",
                   .net = 38,
                   .service = "pool",
                   .target = "/ask/x",
                   .stage = stage::in_stream,
                   .is_unframed = true},
        crash_case{.name = "whose_port_stays_open",
                   .net = 39,
                   .keeps_port_open = true,
                   .restart_delay = milliseconds{300}},
        crash_case{.name = "and_are_replaced", .net = 44, .is_replaced = true},
        crash_case{.name = "beside_a_second_part", .net = 45, .has_second_part = true},
        crash_case{.name = "at_30_entry_daemons", .net = 36, .entry_daemons = 30}),
    [](const auto& it) { return it.param.name; });

class parts_that_crash_no_runner : public fleet_with_shared_parts {};

// Guards against quarantining a part that many sound requests share, at runners that crash for
// another reason.
TEST_P(parts_that_crash_no_runner, are_served_while_runners_crash_one_by_one_or_together)
{
    const auto sound = start_sound(60);
    pass_time(seconds{1});
    for (int round = 0; round < 2; ++round) {
        for (int n = 0; n < runner_count; n += 2) {
            runners[static_cast<std::size_t>(n)]->crash();
            pass_time(milliseconds{300});
        }
        // All but two crash together.
        pass_time(seconds{3});
        for (std::size_t n = 2; n < runners.size(); ++n) {
            runners[n]->crash();
        }
        pass_time(seconds{3});
    }
    expect_no_quarantine(*sound);
    pass_time(seconds{2}); // all runners have been back for long
    EXPECT_GT(sound->served_share(steady_now() - seconds{2}, steady_now()), min_served_share);
}

INSTANTIATE_TEST_SUITE_P(
    cases, parts_that_crash_no_runner,
    testing::Values(
        crash_case{.name = "in_short_answers", .net = 40},
        crash_case{.name = "in_long_answers", .net = 41, .answer_time = milliseconds{700}},
        crash_case{.name = "in_streams",
                   .net = 42,
                   .service = "pool",
                   .target = "/ask/x",
                   .answer_time = milliseconds{50}},
        crash_case{.name = "in_answers_without_length", .net = 43, .is_unframed = true}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cedarpoint
