// Checks random sequences of signals from runners, new incarnations, views with and without a
// runner, and jumps in time: a runner must be held for as long as it has asked for.

#include "cedarpoint/runner_signals/send_holds.h"

#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <vector>

namespace cedarpoint {
namespace {

constexpr int seeds = 200;
constexpr int steps = 400;
/// A runner that is absent from the view for longer is taken to have ended.
constexpr duration leave_retention = seconds{60};

class random_holds {
public:
    explicit random_holds(std::uint64_t seed) : random_{seed} { update_view(); }

    void step()
    {
        switch (draw(8)) {
        case 0:
        case 1:
            pass_time(milliseconds{draw(700)});
            break;
        case 2:
            pass_time(milliseconds{500 + draw(29'500)}); // the machine is suspended
            break;
        case 3:
            begin_incarnation(any_runner());
            break;
        case 4:
            is_in_view_ = next_view_at_ != instant::max() || draw(3) > 0;
            update_view();
            break;
        case 5:
            signal_leave(any_runner());
            break;
        default:
            ask_for_pause(any_runner());
            break;
        }
        check();
    }

private:
    struct runner_facts {
        runner_id id;
        incarnation its_incarnation{1};
        incarnation viewed{1};
        instant paused_until;     ///< end of the pause of this incarnation
        instant latest_pause_end; ///< of any incarnation
        bool is_leaving = false;  ///< has signalled a leave since this incarnation is viewed
        std::optional<instant> absent_since; ///< from the view
    };

    int draw(int below) { return std::uniform_int_distribution<int>{0, below - 1}(random_); }
    runner_facts& any_runner() { return runners_.at(static_cast<std::size_t>(draw(2))); }

    /// The runner answers, so it has not ended.
    void note_answer(runner_facts& runner) const
    {
        if (runner.absent_since) {
            runner.absent_since = now_;
        }
    }

    void ask_for_pause(runner_facts& runner)
    {
        note_answer(runner);
        const milliseconds time{1 + draw(4000)};
        holds_.on_pause(now_, runner.id, runner.viewed, time);
        runner.paused_until = std::max(runner.paused_until, now_ + time);
        runner.latest_pause_end = std::max(runner.latest_pause_end, now_ + time);
    }

    void signal_leave(runner_facts& runner)
    {
        note_answer(runner);
        holds_.on_leaving(now_, runner.id, runner.viewed);
        runner.is_leaving = runner.is_leaving || runner.viewed == runner.its_incarnation;
    }

    /// Starts a new incarnation, which the view contains within a second.
    void begin_incarnation(runner_facts& runner)
    {
        ++runner.its_incarnation.value;
        runner.paused_until = {};
        runner.is_leaving = false;
        next_view_at_ = std::min(next_view_at_, now_ + milliseconds{draw(900)});
    }

    void update_view()
    {
        std::map<runner_id, incarnation> incarnations;
        for (auto& each : runners_) {
            if (is_in_view_ || each.id.str() != "i-0") {
                each.viewed = each.its_incarnation;
                incarnations[each.id] = each.viewed;
                each.absent_since.reset();
                continue;
            }
            each.absent_since = each.absent_since.value_or(now_);
        }
        holds_.on_incarnations(now_, incarnations);
        next_view_at_ = instant::max();
    }

    void pass_time(duration time)
    {
        const auto until = now_ + time;
        if (next_view_at_ <= until) {
            now_ = std::max(now_, next_view_at_);
            is_in_view_ = true; // a runner that starts is always added to the view
            update_view();
        }
        now_ = until;
    }

    void check()
    {
        for (auto& each : runners_) {
            const bool has_ended = each.absent_since && now_ - *each.absent_since > leave_retention;
            each.is_leaving = each.is_leaving && !has_ended;
            const auto found = holds_.find(now_, each.id);
            if (now_ < each.paused_until) {
                EXPECT_NE(found, send_hold::none) << each.id.str();
            }
            if (each.is_leaving && is_in_view_) {
                EXPECT_EQ(found, send_hold::leaving) << each.id.str();
            }
            if (now_ >= each.latest_pause_end) {
                EXPECT_NE(found, send_hold::paused) << each.id.str();
            }
        }
    }

    std::mt19937_64 random_;
    instant now_{seconds{100}};
    instant next_view_at_ = instant::max();
    bool is_in_view_ = true; ///< whether the view contains the first runner
    std::vector<runner_facts> runners_{{runner_id{"i-0"}}, {runner_id{"i-1"}}};
    send_holds holds_;
};

TEST(random_signals, are_obeyed_in_any_sequence_of_events)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        random_holds simulation{seed};
        for (int step = 0; step < steps; ++step) {
            simulation.step();
            ASSERT_FALSE(testing::Test::HasFailure()) << "step " << step;
        }
    }
}

} // namespace
} // namespace cedarpoint
