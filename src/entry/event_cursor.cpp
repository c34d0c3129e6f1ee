#include "entry/event_cursor.h"

#include "cedarpoint/core/parse_integer.h"

namespace cedarpoint {
namespace {

/// Returns the value of an event's "id" line; empty if it has none.
std::string_view find_id(std::string_view event)
{
    constexpr std::string_view first_line = "id:";
    constexpr std::string_view later_line = "\nid:";
    auto at = event.starts_with(first_line) ? 0 : event.find(later_line);
    if (at == std::string_view::npos) {
        return {};
    }
    at = event.find(':', at) + 1;
    auto value = event.substr(at, event.find_first_of("\r\n", at) - at);
    while (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

std::optional<std::uint64_t> read_number(std::string_view id)
{
    const auto number = parse_integer(id);
    return number && *number >= 0 ? std::optional{static_cast<std::uint64_t>(*number)}
                                  : std::nullopt;
}

} // namespace

event_cursor::event_cursor(std::string_view resume_after)
    : last_id_{resume_after}, highest_{read_number(resume_after)}
{
}

bool event_cursor::has_id(std::string_view event)
{
    return !find_id(event).empty();
}

event_cursor::decision event_cursor::advance(event_run& run, std::string_view event)
{
    const auto id = find_id(event);
    if (id.empty()) {
        return decision::pass_on;
    }
    const auto number = read_number(id);
    const bool rises = !number || !highest_ || *number > *highest_;
    if (!rises && !run.has_passed) {
        run.last_skipped = number;
        return decision::skip;
    }
    if (!run.has_passed && !reaches_caller(run)) {
        return decision::end_run;
    }
    run.has_passed = true;
    is_certain_ = rises;
    if (rises) {
        last_id_ = id;
        highest_ = number;
    }
    else {
        run.is_disordered = true;
    }
    return decision::pass_on;
}

bool event_cursor::reaches_caller(const event_run& run) const
{
    return run.has_passed || !run.last_skipped || run.last_skipped == highest_;
}

} // namespace cedarpoint
