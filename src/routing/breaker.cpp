#include "cedarpoint/routing/breaker.h"

namespace cedarpoint {

bool breaker::allows(instant now) const
{
    return !is_open() || now >= retry_at_;
}

void breaker::on_dispatch(instant now)
{
    if (is_open()) {
        // This request is the trial. If its end is never reported, the next trial may start after
        // `open_time`.
        retry_at_ = now + open_time;
    }
}

void breaker::on_success()
{
    failures_ = 0;
}

void breaker::on_failure(instant now)
{
    ++failures_;
    retry_at_ = now + open_time;
}

} // namespace cedarpoint
