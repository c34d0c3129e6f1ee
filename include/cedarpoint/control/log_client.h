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

/// Submits commands to a replicated log whose leader may be on another daemon or not elected yet.
/// Retries until an answer arrives or the command's time limit has passed, so each command must be
/// idempotent.
/// Owns: the pending calls. Relies on: its owner, which calls `tick` for retries and time limits
/// and `on_answer` for each answer; its hooks for proposing and sending.
class log_client {
public:
    /// Receives the answer; an empty one if none arrived within the time limit, in which case the
    /// command may still be applied.
    using answer_handler = std::function<void(std::optional<wire::command_answer>)>;

    struct hooks {
        /// Proposes the command on this daemon's replica. Returns false if it does not lead the
        /// log. An empty answer in `done` means that the outcome is unknown.
        std::function<bool(instant, const std::string& log, const std::string& command,
                           std::function<void(std::optional<std::string>)> done)>
            propose_locally;
        /// Returns the daemons to send the command to, the last known leader first.
        std::function<std::vector<daemon_id>(const std::string& log)> daemons_of;
        std::function<void(const daemon_id&, wire::envelope)> send;
    };

    /// The interval at which a command without an answer is sent again.
    static constexpr duration retry_interval = milliseconds{400};
    /// The maximum number of redirects to a leader that are followed between two timed resends. The
    /// limit is needed because members may redirect to each other.
    static constexpr int max_redirects = 3;

    /// `first_call` must differ at each start, so that answers meant for an earlier process match
    /// no call.
    log_client(hooks hooks, std::uint64_t first_call)
        : hooks_{std::move(hooks)}, last_call_{first_call}
    {
    }

    /// Submits a command. `done` is called once: with the answer, or with an empty one after
    /// `limit`.
    void submit(instant now, const std::string& log, const wire::command& command, duration limit,
                answer_handler done);
    void on_answer(instant now, const wire::submit_answer& in);
    void tick(instant now);
    [[nodiscard]] std::size_t pending_calls() const { return calls_.size(); }

private:
    struct call {
        std::string log;
        std::string command;
        answer_handler done;
        instant deadline;
        instant resend_at;
        std::size_t turn = 0;  ///< selects the daemon to send to, one after the other
        daemon_id redirect_to; ///< the leader named by an answer, to be tried next; may be empty
        int redirects = 0;     ///< since the last timed resend
    };

    /// Proposes the command locally or sends it to another daemon.
    void try_call(instant now, std::uint64_t id);
    void end(std::uint64_t id, std::optional<wire::command_answer> answer);

    hooks hooks_;
    std::uint64_t last_call_;
    std::map<std::uint64_t, call> calls_;
};

} // namespace cedarpoint
