#include "cedarpoint/fleet/planned_stop.h"

namespace cedarpoint {
namespace {

/// Time that must be left, as a multiple of the longest recent answer.
constexpr int answer_time_margin = 2;

} // namespace

bool may_begin(const planned_stop& stop, instant now, repeat_policy repeat,
               std::optional<duration> longest_answer)
{
    if (now <= stop.accepts_until) {
        return true;
    }
    return repeat == repeat_policy::any_number && longest_answer &&
           *longest_answer * answer_time_margin <= stop.answers_due - now;
}

} // namespace cedarpoint
