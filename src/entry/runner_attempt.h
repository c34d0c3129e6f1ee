#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/answer_memory.h"
#include "cedarpoint/fleet/answer_verdict.h"
#include "entry/attempt_recorder.h"
#include "entry/entry_context.h"
#include "entry/event_cursor.h"
#include "io/connect_probe.h"
#include "io/runner_connection.h"
#include "io/sse_splitter.h"

#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// One attempt to get an answer to a request from one runner, over a connection to it or through
/// another entry daemon. Takes a connection from the pool, sends the request, reads the answer, and
/// passes what it observes to a recorder. Makes no decision about retries.
///
/// An answer without a length may end with its connection, and so does the answer of a runner that
/// crashes. Such an answer counts as complete only after the runner has accepted a new connection.
class runner_attempt final : public std::enable_shared_from_this<runner_attempt> {
public:
    /// Where the request is sent.
    struct destination {
        endpoint address;
        runner_id runner; ///< through another entry daemon, which chooses one: empty
        group_id group;   ///< empty for a plain runner and through another entry daemon
        bool is_entry_daemon = false;
    };
    struct options {
        /// Builds head and body once the connection is open, since the head states the time left.
        std::function<outgoing_request()> make_request;
        std::string id;                      ///< request id, which an authentic answer echoes
        bool head_only = false;              ///< the answer has no body
        bool expects_stream = false;         ///< a stream of events is a valid answer
        bool continues_stream = false;       ///< the caller has part of the stream already
        milliseconds longest_idle{0};        ///< maximum idle time of a reused connection
        milliseconds first_event_timeout{0}; ///< see `stall_rule.h`
        milliseconds event_gap_timeout{0};
    };
    /// Each is called with the attempt, and none after `on_end` or `cancel`.
    struct handlers {
        /// Called once the connection is open. Returns why nothing may be sent; empty if it may.
        std::function<std::string_view(runner_attempt&)> reason_not_to_send;
        /// Called just before the request is written.
        std::function<void(runner_attempt&)> on_sending;
        /// Called with each complete event of a stream.
        std::function<event_cursor::decision(runner_attempt&, std::string_view)> on_event;
        /// Called once the stream is complete. Returns why it is not; empty if it is.
        std::function<std::string_view(const runner_attempt&)> reason_not_complete;
        /// Called with each part of an answer that is passed on before it is complete.
        std::function<void(runner_attempt&, std::string)> on_part;
        /// Called after all events of one read.
        std::function<void(runner_attempt&)> on_events_forwarded;
        /// Called when the next event is overdue, and again each time that the same limit passes
        /// without one; also each time that a runner doesn't answer the check after its answer. The
        /// attempt goes on unless it is cancelled.
        std::function<void(runner_attempt&)> on_stalled;
        std::function<void(runner_attempt&, const attempt_verdict&)> on_end;
    };

    runner_attempt(entry_context& context, destination to,
                   std::unique_ptr<attempt_recorder> recorder, options options, handlers handlers);
    ~runner_attempt();
    runner_attempt(const runner_attempt&) = delete;
    runner_attempt& operator=(const runner_attempt&) = delete;

    void start();
    /// Ends the attempt and its connection.
    void cancel();
    /// Pauses or resumes reading from the runner, for a caller that reads slowly or while a hedge
    /// runs.
    void pause(bool paused);

    [[nodiscard]] bool is_running() const { return connection_ != nullptr || checks_runner_; }
    [[nodiscard]] bool was_sent() const { return sent_at_.has_value(); }
    /// Returns when the request was written to the connection. Precondition: `was_sent()`.
    [[nodiscard]] instant sent_at() const { return *sent_at_; }
    /// Returns when the connection was made. Precondition: `was_sent()`.
    [[nodiscard]] instant connected_at() const { return connected_at_; }
    /// Returns true once the complete answer has arrived.
    [[nodiscard]] bool is_complete() const { return is_complete_; }
    /// Returns true if the connection ended without a complete answer.
    [[nodiscard]] bool was_cut() const { return was_cut_; }
    /// Returns the runner. Through another entry daemon it is empty until that daemon names it.
    [[nodiscard]] const runner_id& runner() const { return to_.runner; }
    [[nodiscard]] const group_id& group() const { return to_.group; }
    /// Returns where the request is sent: to a runner or to another entry daemon.
    [[nodiscard]] const destination& to() const { return to_; }
    /// Returns what is known of the events of its stream.
    [[nodiscard]] event_run& events_seen() { return events_seen_; }
    [[nodiscard]] const event_run& events_seen() const { return events_seen_; }
    [[nodiscard]] attempt_recorder& recorder() { return *recorder_; }
    /// Returns true if nothing was sent because the connection was not established.
    [[nodiscard]] bool was_unreachable() const { return was_unreachable_; }
    /// Returns true if it was not established for any reason but a refusal, such as a timeout.
    [[nodiscard]] bool was_unanswered() const { return was_unanswered_; }
    /// Returns true once the head has arrived, if it begins a stream of events that can be
    /// forwarded.
    [[nodiscard]] bool is_streaming() const { return streaming_; }
    /// Returns the answer's head. Precondition: it has arrived.
    [[nodiscard]] const http_head& head() const { return *head_; }
    /// Returns the part of the answer's body that has arrived and was not passed on; empty for a
    /// stream.
    [[nodiscard]] const std::string& body() const { return body_; }
    [[nodiscard]] std::string take_body();
    /// Returns the length that the head announces for the body. Precondition: the head has arrived.
    [[nodiscard]] std::optional<std::uint64_t> announced_length() const;

private:
    /// Checks once more, when the connection is open, whether the request may be sent. If not, ends
    /// the attempt and returns false.
    [[nodiscard]] bool confirm_send();
    void on_sending();
    void on_head(const http_head& head);
    void on_body(std::string bytes);
    /// Returns true if the answer will be delivered once it is complete and has a known length.
    [[nodiscard]] bool can_be_passed_on() const;
    /// Passes on what has arrived of the answer, and from now on what arrives.
    void pass_on();
    void on_event(std::string_view event);
    /// Ends the attempt because its answer can't be held.
    void refuse_answer(std::string_view why);
    void on_exchange_end(exchange_end how, const reason& why);
    /// Finds out whether the runner still runs after its answer has ended with the connection.
    /// Repeated until the runner accepts or refuses a connection, unless the attempt is cancelled.
    void check_runner();
    void on_checked(connect_probe::result how);
    void finish(exchange_end how, const reason& why);
    [[nodiscard]] exchange_handlers make_exchange_handlers();
    [[nodiscard]] attempt_verdict judge(exchange_end how, const reason& why);
    [[nodiscard]] attempt_verdict judge_complete() const;
    [[nodiscard]] bool is_authentic(const http_head& head) const;
    [[nodiscard]] attempt_verdict judge_complete_forward() const;
    void record_effect(const attempt_verdict& verdict);
    void arm_stall_timer(milliseconds limit);
    void on_stall_timer();
    void release();

    entry_context& context_;
    destination to_;
    std::unique_ptr<attempt_recorder> recorder_;
    options options_;
    handlers handlers_;
    runner_connection* connection_ = nullptr; ///< null before the start and after the end
    std::optional<instant> sent_at_;
    instant connected_at_;
    std::optional<instant> latest_event_at_; ///< of the events that were forwarded
    std::optional<http_head> head_;
    std::string body_;
    answer_memory::holder body_memory_; ///< counts the memory of `body_`
    sse_splitter events_;
    event_run events_seen_;
    bool streaming_ = false;
    bool passing_on_ = false; ///< the answer is no stream and is not held
    bool checks_runner_ = false;
    std::unique_ptr<connect_probe> probe_; ///< whether the runner still runs
    bool is_complete_ = false;
    bool was_cut_ = false;
    bool was_unreachable_ = false;
    bool was_unanswered_ = false;
    QTimer stall_timer_;
};

} // namespace cedarpoint
