// Streams of real processes while sound runners send nothing for a second and go on, beside changes
// of the configuration and reloads. Manual run:
//     SILENCE_SEED=100 SILENCE_COUNT=10 build/cedarpoint_tests --gtest_filter='*silent_runners*'

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "soak/streams_of_a_fleet.h"
#include "support/environment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ostream>
#include <random>

#include <fmt/format.h>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::number_from_environment;
using testing_support::pass_time;
using testing_support::streams_of_a_fleet;
using testing_support::wait_until;

constexpr int event_count = 23;
constexpr milliseconds event_gap{100};
/// A silence that is no sign of a fault.
constexpr milliseconds silence{1200};
constexpr std::size_t silent_at_once = 3;
/// Streams that a runner with few places takes at a time.
constexpr int few_places = 24;
constexpr int steps = 12;
/// The deadline of each stream, which leaves time for a silence of the first runner and of the
/// second one.
constexpr milliseconds deadline{8000};

struct silence_case {
    std::uint64_t seed = 0;
    bool has_few_places = false;
};

std::ostream& operator<<(std::ostream& out, const silence_case& it)
{
    return out << "seed " << it.seed << (it.has_few_places ? ", few places" : "");
}

std::vector<silence_case> cases()
{
    std::vector<silence_case> out;
    const auto first = number_from_environment("SILENCE_SEED", 1);
    for (std::uint64_t n = 0; n < number_from_environment("SILENCE_COUNT", 1); ++n) {
        out.push_back({.seed = first + n});
        out.push_back({.seed = first + n, .has_few_places = true});
    }
    return out;
}

std::string name_of(const testing::TestParamInfo<silence_case>& it)
{
    return fmt::format("{}_{}", it.param.seed,
                       it.param.has_few_places ? "few_places" : "many_places");
}

std::string all_events()
{
    std::string out;
    for (int n = 1; n <= event_count; ++n) {
        out += fmt::format("id: {0}\ndata: token {0}\n\n", n);
    }
    return out;
}

/// Silences, changes and reloads in an order that the seed gives.
class silent_runners : public streams_of_a_fleet, public testing::WithParamInterface<silence_case> {
protected:
    silent_runners()
        : streams_of_a_fleet{{.net = GetParam().has_few_places ? 76 : 75,
                              .log_name = GetParam().has_few_places ? "silent-few" : "silent-many",
                              .retry_ratio = 0.2,
                              .runners = 10,
                              .group_size = 1,
                              .events = event_count,
                              .event_gap = event_gap,
                              .slots = GetParam().has_few_places ? few_places : 200,
                              .deadline = deadline,
                              .timeout = deadline,
                              .streams_per_second = 90}},
          random{GetParam().seed}
    {
        for (const auto& it : runners) {
            if (GetParam().has_few_places) {
                it->max_streams = std::size_t{few_places};
            }
        }
        std::shuffle(runners.begin(), runners.end(), random);
    }
    /// Makes the next three runners silent, once the three before them have spoken again.
    void silence_next()
    {
        if (std::any_of(runners.begin(), runners.end(),
                        [](const auto& it) { return it->is_silent(); })) {
            return;
        }
        for (std::size_t n = 0; n < silent_at_once; ++n) {
            runners[silences++ % runners.size()]->fall_silent(silence);
        }
    }
    void change_configuration()
    {
        switch (random() % 4) {
        case 0:
            put_again();
            return;
        case 1:
            put_invalid();
            return;
        default:
            EXPECT_TRUE(put_next());
        }
    }
    void reload_an_entry_daemon()
    {
        const auto entries =
            static_cast<std::uint64_t>(fleet.count()) - fleet_processes::control_count;
        const auto entry = static_cast<int>(random() % entries);
        fleet.at(fleet_processes::control_count + entry).signal(SIGHUP);
    }
    /// Expects the events of each stream in order and without a repeat: all of them if its answer
    /// is complete, the first ones otherwise.
    void expect_events_in_order() const
    {
        const auto expected = all_events();
        for (const auto& it : callers->results) {
            if (it.status == 200) {
                EXPECT_EQ(it.text, expected) << it.id;
            }
            else if (it.status == 0) {
                EXPECT_TRUE(expected.starts_with(it.text)) << it.id << ": " << it.text;
            }
        }
    }
    [[nodiscard]] std::size_t served() const
    {
        return static_cast<std::size_t>(
            std::count_if(callers->results.begin(), callers->results.end(),
                          [](const auto& it) { return it.status == 200; }));
    }

    std::mt19937_64 random;
    std::size_t silences = 0;
};

// Guards against a stream that is ended because its sound runner says nothing for a second.
TEST_P(silent_runners, lose_no_stream)
{
    for (int n = 0; n < steps; ++n) {
        silence_next();
        change_configuration();
        if (random() % 4 == 0) {
            reload_an_entry_daemon();
        }
        pass_time(milliseconds{300 + random() % 200});
    }
    callers->stop();
    EXPECT_TRUE(wait_until([&] { return callers->in_flight() == 0; }));
    const auto cut = cut_before(steady_now());
    const auto partly_received =
        std::count_if(cut.begin(), cut.end(), [](const auto& it) { return !it.text.empty(); });
    std::printf("%zu streams, %zu served, %zu without a complete answer, %td of them partly "
                "received, %zu silences\n",
                callers->results.size(), served(), cut.size(), partly_received, silences);
    EXPECT_TRUE(cut.empty()) << cut.size();
    EXPECT_GT(served(), callers->results.size() / 2) << "otherwise the play shows little";
    expect_events_in_order();
}

INSTANTIATE_TEST_SUITE_P(seeds, silent_runners, testing::ValuesIn(cases()), name_of);

} // namespace
} // namespace cedarpoint
