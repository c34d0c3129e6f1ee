#include "io/crash_log.h"

#include "io/log_line.h"

namespace cedarpoint {

void log_runner_end(const runner_id& runner, const crash_histories& in_flight)
{
    for (const auto& [request, history] : in_flight) {
        for (const auto& crash : history.crashes) {
            log_line("runner_ended")
                .with("runner", runner.str())
                .with("fingerprint", request.str())
                .with("id", crash.request.str())
                .with("in_flight_ms", to_ms(crash.ended_at - crash.sent_at))
                .write();
        }
    }
}

} // namespace cedarpoint
