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

} // namespace

event_cursor::event_cursor(std::string_view resume_after)
    : last_id_{resume_after}, last_number_{static_cast<std::uint64_t>(
                                  parse_integer(resume_after).value_or(0))}
{
}

bool event_cursor::has_id(std::string_view event)
{
    return !find_id(event).empty();
}

bool event_cursor::advance(std::string_view event)
{
    const auto id = find_id(event);
    if (id.empty()) {
        return true;
    }
    const auto number = parse_integer(id);
    if (number && static_cast<std::uint64_t>(*number) <= last_number_) {
        return false;
    }
    last_id_ = id;
    last_number_ = static_cast<std::uint64_t>(number.value_or(0));
    return true;
}

} // namespace cedarpoint
