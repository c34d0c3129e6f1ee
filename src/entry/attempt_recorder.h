#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/answer_verdict.h"
#include "io/http_message.h"

#include <string>
#include <string_view>

namespace cedarpoint {

/// Records what an attempt observes of the one that it is sent to, so that later requests are sent
/// accordingly.
class attempt_recorder {
public:
    attempt_recorder() = default;
    virtual ~attempt_recorder() = default;
    attempt_recorder(const attempt_recorder&) = delete;
    attempt_recorder& operator=(const attempt_recorder&) = delete;

    virtual void on_begin(instant now) = 0;
    /// Returns why the request may not be sent now that the connection is open; empty if it may.
    [[nodiscard]] virtual std::string_view reason_not_to_send(instant now) const = 0;
    virtual void on_sending(instant now, bool on_new_connection) = 0;
    /// `is_authentic`: the head is certainly of the answer to this request.
    virtual void on_head(instant now, const http_head& head, bool is_authentic) = 0;
    /// Called after `on_head` and with each part of the body.
    virtual void on_byte(instant now) = 0;
    /// Records the time between two events of a stream.
    virtual void on_event_gap(duration gap) = 0;
    /// Records the time from the request to its complete plain answer.
    virtual void on_answer_time(duration time) = 0;
    virtual void on_unreachable(instant now, bool refused) = 0;
    virtual void on_effect(instant now, target_effect effect) = 0;
    virtual void on_done() = 0;
    /// Returns true if the head asks for a pause, which is no failure.
    [[nodiscard]] virtual bool asks_for_pause() const = 0;
};

} // namespace cedarpoint
