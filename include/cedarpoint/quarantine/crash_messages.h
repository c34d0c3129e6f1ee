#pragma once

// Encodes and decodes the messages in which daemons exchange crash observations.
// Times are sent as ages at the moment when the message was made.

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "control.pb.h"

namespace cedarpoint {

using suspected_requests = google::protobuf::RepeatedPtrField<wire::suspected_request>;

void encode_crashes(instant now, const crash_histories& in, suspected_requests& out);
/// `made_at`: when the sender made the message, by this daemon's clock. Skips requests whose
/// fingerprint can't be parsed.
[[nodiscard]] crash_histories decode_crashes(instant made_at, const suspected_requests& in);
/// Encodes one crash for a report or for the replicated log.
[[nodiscard]] wire::crash_sighting encode_crash(instant now, const crash_observation& in);

} // namespace cedarpoint
