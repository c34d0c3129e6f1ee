#include "io/crash_log.h"

#include "io/log_line.h"

namespace cedarpoint {

const char* log_key_of(const crash_cause& cause)
{
    return is_prompt_part(cause) ? "part" : "fingerprint";
}

void log_runner_end(const runner_id& runner, const crash_histories& in_flight)
{
    for (const auto& [cause, history] : in_flight) {
        if (is_prompt_part(cause)) {
            continue;
        }
        for (const auto& crash : history.crashes) {
            log_line("runner_ended")
                .with("runner", runner.str())
                .with("fingerprint", describe(cause))
                .with("id", crash.request.str())
                .with("in_flight_ms", to_ms(crash.ended_at - crash.sent_at))
                .write();
        }
    }
}

} // namespace cedarpoint
