#include "cedarpoint/runner_signals/answer_signals.h"

#include "cedarpoint/core/http_status.h"

#include <algorithm>

namespace cedarpoint {
namespace {

constexpr std::string_view leaving_value = "1";

leave_reading read_leave(const std::vector<std::string_view>& values)
{
    if (values.empty()) {
        return leave_reading::absent;
    }
    const bool found = std::find(values.begin(), values.end(), leaving_value) != values.end();
    return found ? leave_reading::leaving : leave_reading::unreadable;
}

} // namespace

bool answer_signals::has_unreadable() const
{
    return rate_limit.kind == rate_limit_reading::kind_t::unreadable ||
           pause.kind == pause_reading::kind_t::unreadable || leave == leave_reading::unreadable;
}

answer_signals read_answer_signals(const signal_headers& in)
{
    answer_signals out;
    if (in.status == http_status::misdirected_request) {
        out.is_from_other_runner = true;
        return out;
    }
    out.rate_limit = read_rate_limit(in.rate_limit);
    if (in.status == http_status::service_unavailable) {
        out.pause = read_pause(in.retry_after);
    }
    out.leave = read_leave(in.leaving);
    return out;
}

} // namespace cedarpoint
