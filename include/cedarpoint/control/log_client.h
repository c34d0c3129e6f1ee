#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "control.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// Gets commands applied by a log whose leader may be elsewhere, or nowhere for a while. Asks
/// again until an answer comes or the time is up: every command sent this way is one that may be
/// repeated without harm.
class log_client {
public:
    using answer_handler = std::function<void(std::optional<wire::command_answer>)>;

    struct hooks {
        /// Proposes here, if this daemon leads the log. `done` may get an empty answer.
        std::function<bool(instant, const std::string& log, const std::string& command,
                           std::function<void(std::optional<std::string>)> done)>
            propose_here;
        /// Whom to ask, best first.
        std::function<std::vector<daemon_id>(const std::string& log)> daemons_of;
        std::function<void(const daemon_id&, wire::envelope)> send;
    };

    /// Between two sendings of the same command. Not measured.
    static constexpr duration ask_again = milliseconds{400};
    /// Redirects to a leader that are followed without a pause of `ask_again`; members may point at
    /// each other. Not measured; bounded in dc94759 while a storm of messages was looked into, of
    /// which redirects were not the cause.
    static constexpr int max_redirects = 3;

    /// `first_call` differs at each start, so that an answer to an earlier process is not taken.
    log_client(hooks hooks, std::uint64_t first_call)
        : hooks_{std::move(hooks)}, last_call_{first_call}
    {
    }

    void submit(instant now, const std::string& log, const wire::command& command, duration limit,
                answer_handler done);
    void on_answer(instant now, const wire::submit_answer& in);
    void tick(instant now);
    [[nodiscard]] std::size_t waiting() const { return calls_.size(); }

private:
    struct call {
        std::string log;
        std::string command;
        answer_handler done;
        instant give_up;
        instant next;
        std::size_t turn = 0;
        daemon_id hint;
        int redirects = 0; ///< since the last pause
    };

    void ask(instant now, std::uint64_t id);
    void end(std::uint64_t id, std::optional<wire::command_answer> answer);

    hooks hooks_;
    std::uint64_t last_call_;
    std::map<std::uint64_t, call> calls_;
};

} // namespace cedarpoint
