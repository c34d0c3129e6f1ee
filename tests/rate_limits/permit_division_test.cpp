// Simulates the division of a runner's rate among many entry daemons, with or without a leader and
// with message delays. Uses no processes, no sockets and no real time.

#include "cedarpoint/rate_limits/permit_allocator.h"
#include "cedarpoint/rate_limits/send_permits.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <vector>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
constexpr duration step = milliseconds{20};
constexpr duration report_interval = milliseconds{200};
constexpr duration message_delay = milliseconds{40};
constexpr duration window = seconds{4};

/// Simulates one runner that names a limit, entry daemons with requests for it, and a leader.
class rate_limit_simulation {
public:
    rate_limit_simulation(std::size_t daemons, double wanted_per_second, std::uint64_t seed)
        : wanted_per_second_{wanted_per_second}, random_{seed}
    {
        leader_.clear(seed);
        for (std::size_t n = 0; n < daemons; ++n) {
            auto& next = daemons_.emplace_back();
            next.id = daemon_id{fmt::format("e-{}", n)};
            next.permits = std::make_unique<send_permits>(
                own_permit_options{.daemons = daemons, .seed = random_()});
            next.next_report = now_ + draw(report_interval);
        }
    }

    void run(duration time)
    {
        for (const auto until = now_ + time; now_ < until; now_ += step) {
            for (auto& each : daemons_) {
                report_if_due(each);
                take_answer_if_due(each);
                send_requests(each);
            }
        }
    }

    /// All daemons learn the limit at once, as if each had just received an answer.
    void announce_to_all(double rate)
    {
        named_rate = rate;
        for (auto& each : daemons_) {
            each.permits->on_answer(now_, runner_, named(rate), now_);
        }
    }

    void change_leader() { leader_.clear(random_()); }

    /// Returns the highest number of requests that the runner received in any window that ends at
    /// or after `from`.
    [[nodiscard]] std::size_t max_requests_in_window(instant from) const
    {
        std::size_t highest = 0;
        for (auto end = arrivals_.begin(); end != arrivals_.end(); ++end) {
            if (*end >= from) {
                const auto first = std::upper_bound(arrivals_.begin(), end, *end - window);
                highest = std::max(highest, static_cast<std::size_t>(end - first) + 1);
            }
        }
        return highest;
    }
    [[nodiscard]] double arrivals_per_second(instant from) const
    {
        const auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
        return static_cast<double>(arrivals_.end() - first) /
               std::chrono::duration<double>(now_ - from).count();
    }
    /// Returns the number of requests since `from` for which there was no permit.
    [[nodiscard]] std::ptrdiff_t held_back_since(instant from) const
    {
        return held_back_.end() - std::lower_bound(held_back_.begin(), held_back_.end(), from);
    }
    [[nodiscard]] instant now() const { return now_; }

    double named_rate = 0;   ///< limit that the runner names in its answers; 0: none
    bool has_leader = true;  ///< false: there is no leader, or no daemon can reach it
    std::size_t cut_off = 0; ///< number of daemons, from the first, that can't reach the leader
    std::size_t daemons_per_busy_one = 1; ///< one of this many daemons has requests

private:
    struct daemon {
        daemon_id id;
        std::unique_ptr<send_permits> permits;
        instant next_report;
        std::optional<instant> answer_due;
        instant asked_at;
        rate_limit_observations report;
    };

    static rate_limit_reading named(double rate)
    {
        rate_limit_reading out;
        out.kind =
            rate > 0 ? rate_limit_reading::kind_t::named : rate_limit_reading::kind_t::absent;
        out.rate = {rate};
        return out;
    }

    duration draw(duration limit)
    {
        return duration{std::uniform_int_distribution<duration::rep>{0, limit.count()}(random_)};
    }

    [[nodiscard]] bool reaches_leader(const daemon& of) const
    {
        return has_leader && &of >= &daemons_[std::min(cut_off, daemons_.size() - 1)];
    }

    void report_if_due(daemon& from)
    {
        if (now_ < from.next_report) {
            return;
        }
        from.next_report = now_ + report_interval;
        from.report = from.permits->take_observations(now_);
        from.asked_at = now_;
        if (reaches_leader(from)) {
            from.answer_due = now_ + message_delay + draw(message_delay);
        }
    }

    void take_answer_if_due(daemon& to)
    {
        if (!to.answer_due || now_ < *to.answer_due) {
            return;
        }
        to.answer_due.reset();
        leader_.on_report(now_, to.id, to.report);
        to.permits->on_grants(to.asked_at, leader_.take_grants(now_, to.id));
    }

    void send_requests(daemon& from)
    {
        const auto index = static_cast<std::size_t>(&from - daemons_.data());
        if (index % daemons_per_busy_one != 0) {
            return;
        }
        const auto busy_daemons =
            static_cast<double>(daemons_.size()) / static_cast<double>(daemons_per_busy_one);
        const auto mean =
            wanted_per_second_ / busy_daemons * std::chrono::duration<double>(step).count();
        for (int remaining = std::poisson_distribution<int>{mean}(random_); remaining > 0;
             --remaining) {
            if (from.permits->may_send(now_, runner_)) {
                from.permits->on_sent(now_, runner_);
                arrivals_.push_back(now_);
                from.permits->on_answer(now_, runner_, named(named_rate), now_);
            }
            else {
                held_back_.push_back(now_);
            }
        }
    }

    const runner_id runner_{"i-1"};
    double wanted_per_second_;
    std::mt19937_64 random_;
    instant now_ = start;
    std::vector<daemon> daemons_;
    permit_allocator leader_;
    std::vector<instant> arrivals_;
    std::vector<instant> held_back_;
};

double allowed(double rate)
{
    return 1.5 * rate * 4 + 5;
}

/// Number of entry daemons, the runner's rate, and a seed.
using case_t = std::tuple<std::size_t, double, std::uint64_t>;

class a_divided_rate : public testing::TestWithParam<case_t> {
protected:
    std::size_t daemons = std::get<0>(GetParam());
    double rate = std::get<1>(GetParam());
    /// Requests per second of all daemons: ten times the rate, and at least two for each daemon,
    /// as users have for a plain service. At least 20, so that random variation does not decide.
    double wanted = std::max({10 * rate, 2.0 * static_cast<double>(daemons), 20.0});
    rate_limit_simulation simulation{daemons, wanted, std::get<2>(GetParam())};
};

TEST_P(a_divided_rate, is_kept_in_every_window_and_used)
{
    simulation.announce_to_all(rate);
    simulation.run(seconds{30});
    EXPECT_LE(static_cast<double>(simulation.max_requests_in_window(start + seconds{1})),
              allowed(rate));
    EXPECT_GE(simulation.arrivals_per_second(start + seconds{2}), 0.8 * rate);
}

TEST_P(a_divided_rate, is_kept_while_leaders_change_and_while_there_is_none)
{
    simulation.announce_to_all(rate);
    simulation.run(seconds{5});
    for (int each = 0; each < 4; ++each) {
        simulation.has_leader = false;
        simulation.run(milliseconds{700});
        simulation.change_leader();
        simulation.has_leader = true;
        simulation.run(seconds{3});
    }
    simulation.has_leader = false;
    simulation.run(seconds{20});
    EXPECT_LE(static_cast<double>(simulation.max_requests_in_window(start + seconds{1})),
              allowed(rate));
    simulation.has_leader = true;
    simulation.change_leader();
    const auto leader_back_at = simulation.now();
    simulation.run(seconds{10});
    EXPECT_LE(static_cast<double>(simulation.max_requests_in_window(leader_back_at)),
              allowed(rate));
}

TEST_P(a_divided_rate, is_kept_while_a_part_of_the_daemons_is_cut_off_from_the_leader)
{
    simulation.announce_to_all(rate);
    simulation.run(seconds{5});
    simulation.cut_off = daemons / 3;
    simulation.run(seconds{20});
    EXPECT_LE(static_cast<double>(simulation.max_requests_in_window(start + seconds{1})),
              allowed(rate));
}

TEST_P(a_divided_rate, goes_to_the_daemons_that_have_requests)
{
    simulation.daemons_per_busy_one = 4;
    simulation.announce_to_all(rate);
    simulation.run(seconds{30});
    EXPECT_LE(static_cast<double>(simulation.max_requests_in_window(start + seconds{1})),
              allowed(rate));
    EXPECT_GE(simulation.arrivals_per_second(start + seconds{2}), 0.8 * rate);
}

TEST_P(a_divided_rate, grows_after_its_end_and_is_unbounded_within_seconds)
{
    simulation.announce_to_all(rate);
    simulation.run(seconds{10});
    simulation.named_rate = 0;
    const auto ended_at = simulation.now();
    simulation.run(seconds{1});
    EXPECT_LE(simulation.arrivals_per_second(ended_at), 8 * std::max(rate, 1.0) + 4)
        << "the daemons do not all send at once";
    simulation.run(seconds{7});
    EXPECT_EQ(simulation.held_back_since(simulation.now() - seconds{2}), 0);
}

/// Number of seeds for each case. To run more of them:
/// RATE_LIMIT_SEEDS=100 build/cedarpoint_tests --gtest_filter=...
std::uint64_t seed_count()
{
    const char* text = std::getenv("RATE_LIMIT_SEEDS");
    return text == nullptr ? 2 : std::strtoull(text, nullptr, 10);
}

INSTANTIATE_TEST_SUITE_P(sizes, a_divided_rate,
                         testing::Combine(testing::Values(1, 8, 67, 400),
                                          testing::Values(0.6, 2.1, 12, 90),
                                          testing::Range<std::uint64_t>(1, seed_count() + 1)),
                         [](const auto& each) {
                             return fmt::format("{}_daemons_rate_{}_seed_{}",
                                                std::get<0>(each.param),
                                                static_cast<int>(std::get<1>(each.param) * 10),
                                                std::get<2>(each.param));
                         });

TEST(a_daemon_with_permits, sends_nothing_once_a_limit_is_named_until_it_has_a_permit)
{
    send_permits it{own_permit_options{.seed = 1}};
    const runner_id runner{"i-1"};
    EXPECT_TRUE(it.may_send(start, runner)) << "no limit is known";
    rate_limit_reading named;
    named.kind = rate_limit_reading::kind_t::named;
    named.rate = {2};
    EXPECT_TRUE(it.on_answer(start, runner, named, start));
    EXPECT_FALSE(it.may_send(start, runner));
    it.on_grants(start, {{runner, {{2}, 1}}});
    EXPECT_TRUE(it.may_send(start + milliseconds{100}, runner));
    it.on_sent(start + milliseconds{100}, runner);
    EXPECT_FALSE(it.may_send(start + milliseconds{100}, runner)) << "the permit is used";
    it.on_grants(start + milliseconds{200}, {{runner, {{2}, 1}}});
    EXPECT_FALSE(it.may_send(start + milliseconds{1000}, runner)) << "the permit has expired";
    named.rate = {1};
    it.on_grants(start + milliseconds{1000}, {{runner, {{2}, 1}}});
    EXPECT_TRUE(it.on_answer(start + milliseconds{1010}, runner, named, start));
    EXPECT_FALSE(it.may_send(start + milliseconds{1010}, runner))
        << "the permit was issued for a higher rate";
}

TEST(a_daemon_with_permits, learns_of_limits_and_of_their_end_from_the_leader)
{
    send_permits it{own_permit_options{.seed = 1}};
    const runner_id runner{"i-1"};
    it.on_grants(start, {{runner, {{2}, 0}}});
    EXPECT_FALSE(it.may_send(start, runner)) << "no answer to this daemon has named a limit";
    EXPECT_EQ(it.rate_of(runner), request_rate{2});
    it.on_grants(start + milliseconds{200}, {});
    EXPECT_TRUE(it.may_send(start + milliseconds{200}, runner));

    rate_limit_reading named;
    named.kind = rate_limit_reading::kind_t::named;
    named.rate = {2};
    (void)it.on_answer(start + milliseconds{300}, runner, named, start);
    it.on_grants(start + milliseconds{299}, {});
    EXPECT_FALSE(it.may_send(start + milliseconds{310}, runner))
        << "the report was made before this daemon learned of the limit";
    it.on_grants(start + milliseconds{400}, {});
    EXPECT_TRUE(it.may_send(start + milliseconds{410}, runner));
}

TEST(a_daemon_with_permits, issues_none_of_its_own_while_the_number_of_daemons_is_unknown)
{
    send_permits it{own_permit_options{.seed = 1}};
    const runner_id runner{"i-1"};
    rate_limit_reading named;
    named.kind = rate_limit_reading::kind_t::named;
    named.rate = {100};
    (void)it.on_answer(start, runner, named, start);
    for (auto at = start; at < start + seconds{10}; at += step) {
        EXPECT_FALSE(it.may_send(at, runner));
    }
}

} // namespace
} // namespace cedarpoint
