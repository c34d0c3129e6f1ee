#include "entry/peer_recorder.h"

#include "entry/forwarded_request.h"

namespace cedarpoint {

void peer_recorder::on_begin(instant /*now*/)
{
    peers_.on_sent(peer_);
}

std::string_view peer_recorder::reason_not_to_send(instant /*now*/) const
{
    return "";
}

void peer_recorder::on_sending(instant /*now*/, bool /*on_new_connection*/) {}

void peer_recorder::on_head(instant now, const http_head& head, bool /*is_authentic*/)
{
    has_answered_ = true;
    const auto result = read_forward_result(head);
    if (result == forward_result::unreachable || result == forward_result::outdated) {
        peers_.on_failure(now, peer_);
    }
    else {
        peers_.on_success(peer_);
    }
}

void peer_recorder::on_byte(instant /*now*/) {}

void peer_recorder::on_event_gap(duration /*gap*/) {}

void peer_recorder::on_answer_time(duration /*time*/) {}

void peer_recorder::on_unreachable(instant now, bool /*refused*/)
{
    peers_.on_unreachable(now, peer_);
}

void peer_recorder::on_effect(instant now, target_effect effect)
{
    // Once the head has arrived, a failure is the runner's.
    if (effect == target_effect::failure && !has_answered_) {
        peers_.on_failure(now, peer_);
    }
}

void peer_recorder::on_done()
{
    peers_.on_done(peer_);
}

} // namespace cedarpoint
