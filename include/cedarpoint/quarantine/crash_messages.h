#pragma once

// Encodes and decodes the messages in which daemons exchange crash observations.
// Times are sent as ages at the moment when the message was made.

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "control.pb.h"

#include <optional>
#include <variant>

namespace cedarpoint {

using suspected_requests = google::protobuf::RepeatedPtrField<wire::suspected_request>;

/// Encodes a cause into a message with the fields `fingerprint` and `part`. A part of a prompt
/// leaves `fingerprint` empty, so that versions that know only whole requests skip the message.
template <typename Message>
void encode_cause(const crash_cause& in, Message& out)
{
    if (const auto* part = std::get_if<prompt_part>(&in)) {
        out.mutable_part()->set_id(part->id.str());
        out.mutable_part()->set_model(part->model.str());
        return;
    }
    out.set_fingerprint(std::get<request_fingerprint>(in).str());
}

/// Returns an empty value if the message names no cause, or one of an unknown kind.
template <typename Message>
[[nodiscard]] std::optional<crash_cause> decode_cause(const Message& in)
{
    if (in.has_part() && !in.part().id().empty()) {
        return prompt_part{model_id{in.part().model()}, prompt_part_id{in.part().id()}};
    }
    return request_fingerprint::parse(in.fingerprint());
}

void encode_crashes(instant now, const crash_histories& in, suspected_requests& out);
/// `made_at`: when the sender made the message, by this daemon's clock. Skips suspects
/// whose cause can't be read.
[[nodiscard]] crash_histories decode_crashes(instant made_at, const suspected_requests& in);
/// Encodes one crash for a report or for the replicated log.
[[nodiscard]] wire::crash_sighting encode_crash(instant now, const crash_observation& in);

} // namespace cedarpoint
