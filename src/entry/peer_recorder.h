#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/fleet/entry_peers.h"
#include "entry/attempt_recorder.h"

namespace cedarpoint {

/// Records the observations of an attempt through another entry daemon. What the answer says of its
/// runner is recorded there, so that nothing counts twice.
class peer_recorder final : public attempt_recorder {
public:
    peer_recorder(entry_peers& peers, endpoint peer) : peers_{peers}, peer_{std::move(peer)} {}

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
    [[nodiscard]] bool asks_for_pause() const override { return false; }

private:
    entry_peers& peers_;
    endpoint peer_;
    bool has_answered_ = false;
};

} // namespace cedarpoint
