#pragma once

// Encodes and decodes what daemons tell each other of requests under which runners end.
// Between daemons times travel as ages, so each function takes the present time of its side.

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "control.pb.h"

namespace cedarpoint {

using suspected_requests = google::protobuf::RepeatedPtrField<wire::suspected_request>;

void encode_crashes(instant now, const crash_histories& in, suspected_requests& out);
/// Passes over requests whose fingerprint can't be read.
[[nodiscard]] crash_histories decode_crashes(instant now, const suspected_requests& in);
/// One crash as it is reported, and as the log keeps it.
[[nodiscard]] wire::crash_sighting encode_crash(instant now, const crash_observation& in);

} // namespace cedarpoint
