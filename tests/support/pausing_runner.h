#pragma once

#include "cedarpoint/core/time.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"

#include <array>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint::testing_support {

/// The entry daemon that sent a request: its id begins with the daemon's number.
inline int sender_of(const std::string& request)
{
    return std::stoi(request);
}

/// Decides which requests one runner turns away, and notes what comes within its pauses.
class pausing_runner {
public:
    /// What is under way when a runner asks for a pause still arrives in this time. After it the
    /// users' rules allow two requests; the product sends none.
    static constexpr duration under_way = milliseconds{500};

    explicit pausing_runner(platform_runner& runner) : runner_{runner}
    {
        runner.turn_away = [this](const std::string& request) { return on_request(request); };
    }

    /// The next request of this entry daemon is turned away, with a pause of this time.
    void ask(int sender, duration time) { due_[sender] = time; }
    [[nodiscard]] bool is_due_for(int sender) const { return due_.contains(sender); }
    [[nodiscard]] bool is_paused_for(int sender) const
    {
        const auto found = asked_.find(sender);
        return is_due_for(sender) || (found != asked_.end() && steady_now() < found->second.until);
    }
    /// An entry daemon begins anew, and need not know its pauses any more.
    void forget(int sender) { asked_.erase(sender); }

    struct arrival {
        instant at;
        int sender = 0;
    };
    std::vector<arrival> arrivals; ///< of all requests
    int asked = 0;                 ///< pauses
    int within = 0; ///< requests that came within a pause, and not right after it was asked for

private:
    struct pause {
        instant at;
        instant until;
    };

    std::optional<std::string> on_request(const std::string& request)
    {
        const auto now = steady_now();
        const int sender = sender_of(request);
        arrivals.push_back({now, sender});
        if (std::exchange(lives_, runner_.ends.size()) != runner_.ends.size()) {
            asked_.clear(); // a new life has asked for nothing yet
        }
        if (const auto due = due_.extract(sender); !due.empty()) {
            ++asked;
            asked_[sender] = {now, now + due.mapped()};
            const auto value = std::chrono::duration<double>(due.mapped()).count();
            return fmt::format("{:.3f}", value);
        }
        const auto found = asked_.find(sender);
        if (found == asked_.end() || now >= found->second.until) {
            return {};
        }
        within += now - found->second.at >= under_way ? 1 : 0;
        return answer_within();
    }

    /// What a runner may say while it is still left no peace: nothing more, a shorter pause, or
    /// something that can't be read.
    std::string answer_within()
    {
        constexpr std::array<const char*, 6> answers{"", "0.1", "0", "soon", "nan", "-1"};
        return answers.at(turn_++ % answers.size());
    }

    platform_runner& runner_;
    std::size_t lives_ = 0; ///< that have ended
    std::map<int, duration> due_;
    std::map<int, pause> asked_;
    std::size_t turn_ = 0;
};

} // namespace cedarpoint::testing_support
