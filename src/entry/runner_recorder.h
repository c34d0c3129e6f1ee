#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_target.h"
#include "cedarpoint/runner_signals/answer_signals.h"
#include "entry/attempt_recorder.h"
#include "entry/entry_context.h"

#include <string>

namespace cedarpoint {

/// Records the observations of an attempt at a runner in the target set.
class runner_recorder final : public attempt_recorder {
public:
    /// `request`: the id of the request, for the log.
    runner_recorder(entry_context& context, const fleet_target& target, std::string request);

    void on_begin(instant now) override;
    [[nodiscard]] std::string_view reason_not_to_send(instant now) const override;
    void on_sending(instant now, bool on_new_connection) override;
    void on_head(instant now, const http_head& head, bool is_authentic) override;
    void on_byte(instant now) override;
    void on_event_gap(duration gap) override;
    void on_answer_time(duration time) override;
    void on_unreachable(instant now, bool refused) override;
    void on_effect(instant now, target_effect effect) override;
    void on_done() override;
    [[nodiscard]] bool asks_for_pause() const override { return signals_.asks_for_pause(); }

private:
    /// Returns true if the answer changes whether the runner is rate limited, or its rate.
    bool record_rate_limit(instant now, bool is_authentic);

    entry_context& context_;
    runner_id runner_;
    incarnation incarnation_; ///< from the view at the beginning of the attempt
    bool is_group_head_;
    std::string request_;
    instant sent_at_;
    answer_signals signals_;
};

} // namespace cedarpoint
