#include "io/rate_limit_log.h"

#include "io/log_line.h"

namespace cedarpoint {

void log_rate_limit(const runner_id& runner, const rate_limit_reading& in,
                    const std::string& request)
{
    using kind_t = rate_limit_reading::kind_t;
    if (in.kind == kind_t::unreadable) {
        log_line{"rate_limit_unreadable"}.with("runner", runner.str()).with("id", request).write();
        return;
    }
    log_line{"rate_limit"}
        .with("runner", runner.str())
        .with("named", in.kind == kind_t::named)
        .with("rate", in.rate.per_second)
        .with("id", request)
        .write();
}

} // namespace cedarpoint
