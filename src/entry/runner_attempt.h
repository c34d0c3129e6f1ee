#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/answer_verdict.h"
#include "cedarpoint/fleet/fleet_target.h"
#include "cedarpoint/runner_signals/answer_signals.h"
#include "entry/entry_context.h"
#include "io/runner_connection.h"
#include "io/sse_splitter.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// One attempt to have a runner answer a request. Takes a connection from the pool, sends the
/// request, reads the answer, and notes in the target set what it shows of the runner. Decides
/// nothing about the request.
class runner_attempt final : public std::enable_shared_from_this<runner_attempt> {
public:
    struct options {
        /// Head and body, made when the connection is there: they tell the time that is left.
        std::function<std::string()> make_request;
        std::string id;                    ///< that an authentic answer echoes
        bool head_only = false;            ///< the answer has no body
        bool expects_stream = false;       ///< of events
        bool continues_stream = false;     ///< the caller has got part of the stream already
        milliseconds longest_idle{0};      ///< of a kept connection that may be used
        milliseconds first_event_limit{0}; ///< see `stall_rule.h`
        milliseconds event_pause_limit{0};
    };
    /// After `on_end` or `cancel` none is called.
    struct handlers {
        std::function<bool()> may_send; ///< asked once the connection is there
        std::function<void()> on_sent;
        /// A whole event of a stream. False if it was not passed on.
        std::function<bool(std::string_view)> on_event;
        std::function<void()> on_events_passed; ///< those of one read
        std::function<void()> on_stalled;       ///< the attempt goes on unless it is cancelled
        std::function<void(const attempt_verdict&)> on_end;
    };

    runner_attempt(entry_context& context, const fleet_target& target, options options,
                   handlers handlers);
    ~runner_attempt();
    runner_attempt(const runner_attempt&) = delete;
    runner_attempt& operator=(const runner_attempt&) = delete;

    void start();
    /// Ends the attempt and its connection.
    void cancel();
    /// Stops or resumes reading, for a caller that is slow to take what was passed on.
    void pause(bool paused);

    [[nodiscard]] bool is_running() const { return connection_ != nullptr; }
    [[nodiscard]] bool was_sent() const { return sent_at_.has_value(); }
    /// When the request was handed to the connection; only once it was.
    [[nodiscard]] instant sent_at() const { return *sent_at_; }
    /// When its connection was made; only once the request was sent.
    [[nodiscard]] instant connected_at() const { return connected_at_; }
    /// True once the whole answer has come.
    [[nodiscard]] bool is_complete() const { return is_complete_; }
    /// True if the connection ended without a whole answer.
    [[nodiscard]] bool was_cut() const { return was_cut_; }
    [[nodiscard]] const runner_id& runner() const { return runner_; }
    [[nodiscard]] const group_id& group() const { return group_; }
    /// True once the head has come, and is that of a stream of events that can be passed on.
    [[nodiscard]] bool is_streaming() const { return streaming_; }
    /// The answer's head. Only once it has come.
    [[nodiscard]] const http_head& head() const { return *head_; }
    /// The answer's body as far as it has come, unless it is a stream.
    [[nodiscard]] const std::string& body() const { return body_; }

private:
    /// False if the request may not be sent any more; the attempt has ended then.
    [[nodiscard]] bool on_connected();
    /// Why the request may not be sent now; empty if it may.
    [[nodiscard]] std::string_view why_not_now(instant now);
    void on_sent();
    void on_head(const http_head& head);
    void on_body(const std::string& bytes);
    void on_event(std::string_view event);
    void on_exchange_end(exchange_end how, const reason& why);
    [[nodiscard]] exchange_handlers make_exchange_handlers();
    [[nodiscard]] attempt_verdict judge(exchange_end how, const reason& why);
    [[nodiscard]] attempt_verdict judge_complete() const;
    [[nodiscard]] bool is_authentic(const http_head& head) const;
    void note(const attempt_verdict& verdict);
    /// Takes what the answer's head says of the runner itself.
    void note_signals(instant now);
    /// True if it changes whether the runner is limited, or its rate.
    bool note_rate_limit(instant now);
    void count_held_send(instant now);
    void arm_stall_timer(milliseconds limit);
    void release();

    entry_context& context_;
    endpoint address_;
    runner_id runner_;
    birth life_; ///< of the runner, as the view showed it at the start
    group_id group_;
    bool of_group_;
    options options_;
    handlers handlers_;
    runner_connection* connection_ = nullptr; ///< null before the start and after the end
    std::optional<instant> sent_at_;
    instant connected_at_;
    std::optional<instant> latest_event_at_; ///< that was passed on
    std::optional<http_head> head_;
    answer_signals signals_; ///< of that head
    std::string body_;
    sse_splitter events_;
    bool streaming_ = false;
    bool is_complete_ = false;
    bool was_cut_ = false;
    QTimer stall_timer_;
};

} // namespace cedarpoint
