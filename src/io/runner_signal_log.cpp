#include "io/runner_signal_log.h"

#include "io/log_line.h"

namespace cedarpoint {
namespace {

void log_unreadable(const char* event, const runner_id& runner, const std::string& request)
{
    log_line{event}.with("runner", runner.str()).with("id", request).write();
}

void log_rate_limit(const runner_id& runner, const rate_limit_reading& in, bool is_new,
                    const std::string& request)
{
    using kind_t = rate_limit_reading::kind_t;
    if (in.kind == kind_t::unreadable) {
        log_unreadable("rate_limit_unreadable", runner, request);
    }
    else if (is_new) {
        log_line{"rate_limit"}
            .with("runner", runner.str())
            .with("named", in.kind == kind_t::named)
            .with("rate", in.rate.per_second)
            .with("id", request)
            .write();
    }
}

void log_pause(const runner_id& runner, const pause_reading& in, const std::string& request)
{
    using kind_t = pause_reading::kind_t;
    if (in.kind == kind_t::unreadable) {
        log_unreadable("pause_unreadable", runner, request);
    }
    else if (in.kind == kind_t::asked) {
        log_line{"runner_paused"}
            .with("runner", runner.str())
            .with("ms", to_ms(in.time))
            .with("id", request)
            .write();
    }
}

void log_leave(const runner_id& runner, leave_reading in, bool is_new, const std::string& request)
{
    if (in == leave_reading::unreadable) {
        log_unreadable("leave_unreadable", runner, request);
    }
    else if (is_new) {
        log_line{"runner_leaving"}.with("runner", runner.str()).with("id", request).write();
    }
}

} // namespace

void log_signals(const runner_id& runner, const answer_signals& in, const new_signals& news,
                 const std::string& request)
{
    log_rate_limit(runner, in.rate_limit, news.rate_limit, request);
    log_pause(runner, in.pause, request);
    log_leave(runner, in.leave, news.leave, request);
}

} // namespace cedarpoint
