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

/// Returns the number of the entry daemon that sent a request; the request's id begins with it.
inline int sender_of(const std::string& request)
{
    return std::stoi(request);
}

/// Makes a runner reject requests with a pause, and counts requests that arrive within a pause.
class pausing_runner {
public:
    /// Requests that were in transit when a runner asked for a pause arrive within this time. The
    /// requirements allow two later requests within the pause; the product sends none.
    static constexpr duration in_transit_time = milliseconds{500};

    explicit pausing_runner(platform_runner& runner) : runner_{runner}
    {
        runner.refuse_request = [this](const std::string& request) { return on_request(request); };
    }

    /// Makes the runner reject the next request of entry daemon `sender` with a pause of `time`.
    void ask(int sender, duration time) { pending_pauses_[sender] = time; }
    [[nodiscard]] bool is_due_for(int sender) const { return pending_pauses_.contains(sender); }
    [[nodiscard]] bool is_paused_for(int sender) const
    {
        const auto found = active_pauses_.find(sender);
        return is_due_for(sender) ||
               (found != active_pauses_.end() && steady_now() < found->second.until);
    }
    /// Drops the pauses of an entry daemon that restarts, since it loses them too.
    void drop_pauses(int sender) { active_pauses_.erase(sender); }

    struct arrival {
        instant at;
        int sender = 0;
    };
    std::vector<arrival> arrivals; ///< all requests
    int asked = 0;                 ///< number of pauses
    int within = 0; ///< requests within a pause, later than `in_transit_time` after its start

private:
    struct pause {
        instant start;
        instant until;
    };

    std::optional<std::string> on_request(const std::string& request)
    {
        const auto now = steady_now();
        const int sender = sender_of(request);
        arrivals.push_back({now, sender});
        if (std::exchange(ended_incarnations_, runner_.ends.size()) != runner_.ends.size()) {
            active_pauses_.clear(); // a restarted runner has not asked for a pause
        }
        if (const auto pending = pending_pauses_.extract(sender); !pending.empty()) {
            ++asked;
            active_pauses_[sender] = {now, now + pending.mapped()};
            const auto pause_s = std::chrono::duration<double>(pending.mapped()).count();
            return fmt::format("{:.3f}", pause_s);
        }
        const auto found = active_pauses_.find(sender);
        if (found == active_pauses_.end() || now >= found->second.until) {
            return {};
        }
        within += now - found->second.start >= in_transit_time ? 1 : 0;
        return answer_during_pause();
    }

    /// Returns the pause in the answer to a request within a pause: none, a shorter one, or an
    /// invalid value.
    std::string answer_during_pause()
    {
        constexpr std::array<const char*, 6> answers{"", "0.1", "0", "soon", "nan", "-1"};
        return answers.at(next_answer_++ % answers.size());
    }

    platform_runner& runner_;
    std::size_t ended_incarnations_ = 0;
    std::map<int, duration> pending_pauses_;
    std::map<int, pause> active_pauses_;
    std::size_t next_answer_ = 0;
};

} // namespace cedarpoint::testing_support
