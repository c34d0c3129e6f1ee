// Seeded soak of control daemons whose leader is killed, stopped or restarted while an operator
// sends two changes at once, as the pages tell it to: any daemon, two redirects, a second for an
// answer, growing pauses. Manual run:
//     ACK_FIRST=100 ACK_COUNT=50 ACK_ROUNDS=40 build/cedarpoint_tests
//     --gtest_filter='*changes_beside_faults*'

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/versioned_routes.h"
#include "io/clock.h"
#include "support/environment.h"
#include "support/fleet_processes.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::make_versioned_document;
using testing_support::number_from_environment;
using testing_support::pass_time;
using testing_support::wait_until;

constexpr int control_count = fleet_processes::control_count;
/// The operator's wait for an answer, and its pauses between two attempts.
constexpr duration answer_limit = seconds{1};
constexpr duration first_pause = milliseconds{100};
constexpr duration longest_pause = seconds{1};
constexpr int max_redirects = 2;
constexpr std::string_view scheme = "http://";
/// A valid change is acknowledged within this time without a fault of the control daemons.
constexpr duration acknowledgement_limit = seconds{4};

/// Sends one change until it is acknowledged.
class change_order {
public:
    change_order(std::vector<endpoint> controls, int version, std::uint64_t seed)
        : controls_{std::move(controls)}, version_{version}, random_{seed}
    {
        next_ = random_() % controls_.size();
    }

    /// Returns true once the change has been acknowledged.
    bool poll(instant now)
    {
        if (!acknowledged_ && connection_ != nullptr && (ended_ || now >= give_up_at_)) {
            finish_attempt(now);
        }
        if (!acknowledged_ && connection_ == nullptr && now >= retry_at_) {
            begin_attempt(now, controls_[next_ % controls_.size()]);
        }
        return acknowledged_;
    }
    [[nodiscard]] const std::string& history() const { return history_; }

private:
    void begin_attempt(instant now, const endpoint& to)
    {
        const auto body = make_versioned_document(version_);
        exchange_request request;
        request.bytes.head = fmt::format("POST /cedarpoint/config/put HTTP/1.1\r\nHost: "
                                         "h.example\r\nContent-Length: {}\r\n\r\n{}",
                                         body.size(), body);
        exchange_handlers handlers;
        handlers.on_head = [this](const http_head& head) { head_ = head; };
        handlers.on_body = [](const std::string&) {};
        handlers.on_end = [this](exchange_end, const reason&) { ended_ = true; };
        head_ = {};
        ended_ = false;
        give_up_at_ = now + answer_limit;
        history_ += fmt::format("{} ", to.str());
        connection_ = std::make_unique<runner_connection>(to);
        connection_->start(std::move(request), std::move(handlers));
    }
    void finish_attempt(instant now)
    {
        connection_.reset();
        history_ += fmt::format("{}; ", head_.status);
        acknowledged_ = head_.status == http_status::ok;
        const auto location = head_.fields.get("Location");
        if (head_.status == http_status::temporary_redirect && redirects_ < max_redirects &&
            location.starts_with(scheme)) {
            ++redirects_;
            const auto rest = std::string{location.substr(scheme.size())};
            if (const auto to = endpoint::parse(rest.substr(0, rest.find('/')))) {
                begin_attempt(now, *to);
                return;
            }
        }
        redirects_ = 0;
        ++next_;
        retry_at_ = now + pause_;
        pause_ = std::min<duration>(pause_ * 2, longest_pause);
    }

    std::vector<endpoint> controls_;
    int version_;
    std::mt19937_64 random_;
    std::size_t next_ = 0;
    std::unique_ptr<runner_connection> connection_;
    http_head head_;
    bool ended_ = false;
    bool acknowledged_ = false;
    int redirects_ = 0;
    duration pause_ = first_pause;
    instant give_up_at_;
    instant retry_at_;
    std::string history_;
};

class changes_beside_faults : public testing::TestWithParam<std::uint64_t> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        ASSERT_TRUE(fleet.put(make_versioned_document(++version)));
    }

    int pick(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }
    [[nodiscard]] int pick_control(bool leading)
    {
        const auto leader = fleet.leader().value_or(0);
        return leading ? leader : (leader + 1 + pick(control_count - 1)) % control_count;
    }
    void send_two()
    {
        orders.clear();
        for (int n = 0; n < 2; ++n) {
            orders.push_back(std::make_unique<change_order>(fleet.controls(), ++version, random()));
        }
    }
    bool poll_orders()
    {
        bool all = true;
        for (const auto& each : orders) {
            all = each->poll(steady_now()) && all;
        }
        return all;
    }
    void poll_for(duration time)
    {
        for (const auto end = steady_now() + time; steady_now() < end;) {
            poll_orders();
            pass_time(milliseconds{5});
        }
    }
    void restart(const std::vector<int>& controls, duration down)
    {
        for (const auto control : controls) {
            fleet.at(control).signal(SIGKILL);
        }
        poll_for(down);
        for (const auto control : controls) {
            fleet.start(control, false);
        }
    }
    void restart_leader() { restart({pick_control(true)}, milliseconds{pick(1500)}); }
    void restart_follower() { restart({pick_control(false)}, milliseconds{pick(1500)}); }
    void restart_all() { restart({0, 1, 2}, milliseconds{pick(1000)}); }
    void stop(int control)
    {
        fleet.at(control).signal(SIGSTOP);
        poll_for(milliseconds{pick(3000)});
        fleet.at(control).signal(SIGCONT);
    }
    void stop_leader() { stop(pick_control(true)); }
    void stop_follower() { stop(pick_control(false)); }

    void play_round()
    {
        using action = void (changes_beside_faults::*)();
        constexpr std::array<action, 6> actions{
            &changes_beside_faults::restart_leader,   &changes_beside_faults::restart_leader,
            &changes_beside_faults::restart_follower, &changes_beside_faults::restart_all,
            &changes_beside_faults::stop_leader,      &changes_beside_faults::stop_follower};
        const auto chosen = static_cast<std::size_t>(pick(static_cast<int>(actions.size())));
        send_two();
        poll_for(milliseconds{pick(2) * pick(60)});
        (this->*actions.at(chosen))();
        const auto calm = steady_now() + fleet_processes::catch_up_time;
        EXPECT_TRUE(wait_until([&] {
                        const bool overdue = steady_now() > calm + acknowledgement_limit;
                        return poll_orders() || overdue;
                    }) &&
                    poll_orders())
            << "action " << chosen << ": " << orders[0]->history() << "\n"
            << orders[1]->history() << fleet.describe_controls();
        const auto late = steady_now() - (calm - fleet_processes::catch_up_time);
        longest = std::max(longest, late);
    }

    std::mt19937_64 random{GetParam()};
    fleet_processes fleet{{.net = 14 + static_cast<int>(GetParam() % 4),
                           .log_name = fmt::format("acknowledgement-soak-{}", GetParam())}};
    std::vector<std::unique_ptr<change_order>> orders;
    int version = 0;
    duration longest{}; ///< from the end of a fault to the second acknowledgement
};

std::vector<std::uint64_t> seeds()
{
    std::vector<std::uint64_t> out(number_from_environment("ACK_COUNT", 2));
    std::iota(out.begin(), out.end(), number_from_environment("ACK_FIRST", 1));
    return out;
}

// Guards against a valid change that stays without an acknowledgement although the control daemons
// are sound again.
TEST_P(changes_beside_faults, are_acknowledged_once_the_control_daemons_are_sound)
{
    const auto rounds = number_from_environment("ACK_ROUNDS", 10);
    for (std::uint64_t round = 0; round < rounds && !HasFailure(); ++round) {
        play_round();
    }
    std::cout << fmt::format("longest from a fault to both acknowledgements: {} ms\n",
                             to_ms(longest));
}

INSTANTIATE_TEST_SUITE_P(seeds, changes_beside_faults, testing::ValuesIn(seeds()));

} // namespace
} // namespace cedarpoint
