#pragma once

// Encodes and decodes what daemons of a fleet tell each other of requests under which runners end.
// Between daemons times travel as ages, so each function takes the present time of its side.

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "control.pb.h"

namespace cedarpoint {

void encode_crashes(instant now, const crash_histories& in, wire::fleet_follow& out);
/// Passes over requests whose fingerprint can't be read.
[[nodiscard]] crash_histories decode_crashes(instant now, const wire::fleet_follow& in);
/// One crash as it is reported, and as the log keeps it.
[[nodiscard]] wire::crash_sighting encode_crash(instant now, const crash_observation& in);

} // namespace cedarpoint
