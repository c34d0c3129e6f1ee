#pragma once

#include "cedarpoint/fleet/request_admission.h"
#include "cedarpoint/fleet/retry_policy.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "entry/entry_context.h"
#include "entry/event_cursor.h"
#include "entry/forwarded_request.h"
#include "entry/local_reply.h"
#include "entry/runner_attempt.h"
#include "io/http_listener.h"

#include <QTimer>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Who sent a request to this daemon.
enum class request_source {
    caller,
    entry_daemon ///< sends a caller's request on because it reaches no runner itself
};

/// Handles one caller's request from its arrival to its final answer: admits it, sends it to a
/// runner, forwards the answer, and after a failure retries at another runner or fails it. The
/// decisions are made by `fleet/request_admission.h`, `fleet/target_ranking.h`,
/// `fleet/answer_verdict.h`, `fleet/retry_policy.h`, `fleet/stall_rule.h` and
/// `fleet/windowed_retry_budget.h`; this class calls them, enforces the deadline, and writes the
/// answer. A request that this daemon can't send to a runner itself goes through another entry
/// daemon, where another object of this class sends it to one runner and returns how that ended;
/// retries are decided here.
///
/// An attempt that makes no progress is hedged: a second attempt starts beside it. The first of the
/// two that makes progress becomes the request's only one, since an answer must not be joined from
/// two runs. Silence alone ends no attempt, because a runner may be silent for a while and go on.
class relay final : public std::enable_shared_from_this<relay> {
public:
    using end_handler = std::function<void(const std::shared_ptr<relay>&)>;

    relay(entry_context& context, request_source source, http_request request,
          std::shared_ptr<http_reply> reply, end_handler on_end);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void start();
    /// Called instead of `start` if there is no memory for the request's body.
    void refuse_for_memory();
    /// Called when the view has changed. If the group that is answering is no longer in the view,
    /// hedges the attempt, if that is allowed.
    void on_targets_changed();
    /// Called when this daemon has installed another configuration. A request that waits for it
    /// goes on.
    void on_configuration_changed();
    /// Called when this daemon turns out to be cut off from all runners. Sends the request through
    /// another entry daemon, if that is allowed; if a runner has it already, as a hedge.
    void on_cut_off();
    /// Called after the machine was suspended: the deadline timer does not count that time, so it
    /// would expire late.
    void on_resumed(instant now);
    /// Called when this daemon can't wait any longer at a planned stop. The request gets a final
    /// answer that tells whether it may have run; a stream that has begun is aborted.
    void on_stop_due();

private:
    /// Admits the request and makes its first attempt.
    void begin();
    void count_first_attempt(instant now);
    void start_deadline_timer(instant now);
    [[nodiscard]] bool has_time_to_send(instant now) const;
    [[nodiscard]] outgoing_request make_request(const runner_id& runner) const;
    /// Returns false if the request was not admitted; the refusal has been answered then.
    [[nodiscard]] bool admit_request();
    /// Returns true if this daemon stops before the request could be answered.
    [[nodiscard]] bool comes_too_late(instant now) const;
    /// Sends the request to the best target that was not tried yet, through another entry daemon if
    /// this one doesn't reach it, or fails it if there is none.
    void try_next_target();
    /// Returns the destination of the next attempt, or sets `why_none`.
    [[nodiscard]] std::optional<runner_attempt::destination> choose_next(instant now,
                                                                         std::string& why_none);
    /// Returns another entry daemon to send the request through; nothing if there is none, or if
    /// the request has come from one.
    [[nodiscard]] std::optional<runner_attempt::destination> choose_peer(instant now) const;
    /// Returns true if it is known that a direct attempt would fail.
    [[nodiscard]] bool reaches_no_runner() const;
    [[nodiscard]] std::shared_ptr<runner_attempt>
    make_attempt(const runner_attempt::destination& to);
    [[nodiscard]] std::unique_ptr<attempt_recorder>
    make_recorder(const runner_attempt::destination& to);
    [[nodiscard]] outgoing_request make_forwarded_request() const;
    /// Returns true if another entry daemon has admitted the request by a newer configuration than
    /// this one's.
    [[nodiscard]] bool lacks_configuration() const;
    void await_configuration();
    /// Records what the other entry daemon's answer says of an attempt through it.
    void record_forwarded_end(const runner_attempt& attempt, const attempt_verdict& verdict);
    [[nodiscard]] bool is_for_peer() const { return source_ == request_source::entry_daemon; }
    /// Returns the head of a runner's answer for the one who sent the request.
    [[nodiscard]] http_head make_answer_head(const http_head& head) const;
    /// Returns how an answer of this daemon itself came about, for the sending entry daemon.
    [[nodiscard]] forward_result own_result() const;
    [[nodiscard]] runner_attempt::options make_options(const runner_attempt::destination& to) const;
    [[nodiscard]] runner_attempt::handlers make_handlers();
    [[nodiscard]] event_cursor::decision forward_event(runner_attempt& from,
                                                       std::string_view event);
    /// Records the first event of a stream whose id does not rise.
    void note_disorder(runner_attempt& from, std::string_view event);
    /// Returns true if the caller has events of a stream that no other run could continue.
    [[nodiscard]] bool is_position_lost() const;
    /// Sends the caller a part of an answer that is not held until it is complete.
    void pass_on_part(runner_attempt& from, std::string part);
    /// Returns how many bytes may be buffered for the caller while the runner is read.
    [[nodiscard]] std::size_t max_buffered() const;
    void apply_backpressure();
    void on_drained();
    void on_attempt_end(runner_attempt& ended, const attempt_verdict& verdict);
    /// Records for crash detection how the attempt ended.
    void record_attempt_end(const runner_attempt& ended, const attempt_verdict& verdict);
    /// Returns what may be the cause if runners crash while running this request.
    [[nodiscard]] const possible_causes& causes();
    [[nodiscard]] request_fingerprint make_fingerprint() const;
    /// Returns the fingerprint for the log; empty if nothing has asked for it.
    [[nodiscard]] std::string describe_fingerprint() const;
    [[nodiscard]] std::optional<crash_cause> find_quarantined();
    /// Returns why the request must not be written to a connection that is open now; empty if it
    /// may be.
    [[nodiscard]] std::string_view reason_not_to_send();
    /// Ends a request that must not be sent to any runner.
    void refuse_quarantined(const crash_cause& cause);
    /// Returns true if the request must not be retried because it may crash another runner.
    [[nodiscard]] bool retry_may_crash_runner(attempt_outcome outcome);
    void on_stalled(runner_attempt& stalled);
    /// Whether the hedged attempt is read while the hedge runs.
    enum class hedge_mode {
        race, ///< the first of the two that makes progress goes on
        hold  ///< the hedged attempt is not read unless the hedge fails
    };
    /// Starts a second attempt beside the current one, if the rules, the targets, the time left and
    /// the retry budget allow it. Nothing is given up for it. Returns true if it was started.
    bool hedge(hedge_mode mode, const char* why);
    /// Returns where a hedge is sent and takes it from the retry budget; nothing if there is to be
    /// none.
    [[nodiscard]] std::optional<runner_attempt::destination> choose_hedge(instant now);
    /// Stops reading `attempt_` until the hedge has failed or stalled.
    void hold_attempt();
    /// Reads `attempt_` again if it is held.
    void read_held_attempt();
    /// Sends a request whose connection is not open yet elsewhere, if that is allowed.
    void move_unsent_attempt(const char* why);
    /// Makes the attempt the request's only one and cancels the other one, if there is one.
    void settle_on(const runner_attempt& attempt);
    /// Returns true if the other one of two attempts goes on after this one has failed.
    [[nodiscard]] bool goes_on_without(const runner_attempt& failed);
    void cancel_attempt(runner_attempt& attempt);
    void abandon_attempts();
    /// Delivers a successful answer; after a failure, retries or fails the request.
    void handle_verdict(const runner_attempt& ended, const attempt_verdict& verdict);

    void observe_first_byte(instant now);
    void deliver_answer();
    /// Ends the request without a successful answer: as `choose_final_answer` decides, aborts the
    /// stream, forwards the runner's failure, or answers with an error of this daemon.
    void fail_request(const std::string& why);
    void pass_failure(const std::string& why);
    void abort_stream(const std::string& why);
    void answer(local_reply kind, const std::string& why);
    /// Returns the value of Retry-After; empty if the answer has none.
    [[nodiscard]] std::string retry_after(const local_reply_spec& spec);
    void on_caller_gone();
    void on_deadline();
    /// Returns true if an answer is passed on and the caller is the one who takes long.
    [[nodiscard]] bool is_taken_slowly();
    void finish(const char* outcome, std::string_view cause);
    /// Returns the entry daemon that an attempt went through; empty if it went to a runner.
    [[nodiscard]] static std::string peer_address(const runner_attempt& attempt);
    void log_attempt(const runner_attempt& attempt, const attempt_verdict& verdict);
    /// Returns the parts of the prompt that other requests may share, for the log.
    [[nodiscard]] std::string describe_shared_parts();
    [[nodiscard]] bool is_stream() const;

    entry_context& context_;
    request_source source_;
    std::shared_ptr<const http_request> request_; ///< shared with the sockets that write its body
    std::shared_ptr<http_reply> reply_;
    end_handler on_end_;
    std::shared_ptr<const route_table> routes_; ///< in force when the request was admitted
    std::string id_;
    instant arrived_;
    admission admission_;
    retry_facts facts_;
    possible_causes causes_; ///< empty before the first use
    std::set<runner_id> tried_;
    std::set<runner_id> sent_to_; ///< those of `tried_` to which the request was written
    std::set<endpoint> tried_peers_;
    int unreachable_ = 0; ///< attempts of this request whose connection was not established
    int unanswered_ = 0;  ///< those of `unreachable_` to runners that were not refused
    std::optional<instant> pause_ends_;       ///< set only if all targets are paused
    std::shared_ptr<runner_attempt> attempt_; ///< the current one; null before the first
    std::shared_ptr<runner_attempt> hedge_;   ///< null unless a second one runs beside it
    bool is_held_ = false;                    ///< `attempt_` is not read while the hedge runs
    event_cursor cursor_;
    bool answer_begun_ = false;            ///< the head of a stream, or of a large answer, was sent
    std::uint64_t passed_on_ = 0;          ///< bytes of an answer that is not a stream
    std::uint64_t passed_on_at_check_ = 0; ///< the same at the latest check of the deadline
    instant latest_event_at_;
    std::optional<http_head> failed_answer_head_; ///< of the latest complete 4xx or 5xx answer
    std::string failed_answer_body_;
    QTimer deadline_timer_;
    QTimer configuration_timer_; ///< runs while the request waits for a configuration
    bool ended_ = false;
};

} // namespace cedarpoint
