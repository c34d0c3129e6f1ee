#include "cedarpoint/runner_signals/pause_reading.h"

#include "cedarpoint/core/parse_decimal.h"

#include <algorithm>
#include <optional>

namespace cedarpoint {
namespace {

/// Returns the longest valid time in a comma-separated list, in seconds.
std::optional<double> read_longest(std::string_view list)
{
    std::optional<double> out;
    while (true) {
        const auto comma = list.find(',');
        if (const auto seconds = parse_decimal(list.substr(0, comma))) {
            out = std::max(out.value_or(0), *seconds);
        }
        if (comma == std::string_view::npos) {
            return out;
        }
        list.remove_prefix(comma + 1);
    }
}

/// Rounds up, so that a pause never ends before the requested time.
duration to_pause(double seconds)
{
    const auto most = std::chrono::duration<double>{max_pause};
    const auto asked = std::min(std::chrono::duration<double>{seconds}, most);
    return std::chrono::ceil<duration>(asked);
}

} // namespace

pause_reading read_pause(const std::vector<std::string_view>& values)
{
    using kind_t = pause_reading::kind_t;
    std::optional<double> longest;
    for (const auto value : values) {
        if (const auto seconds = read_longest(value)) {
            longest = std::max(longest.value_or(0), *seconds);
        }
    }
    if (!longest) {
        return {values.empty() ? kind_t::absent : kind_t::unreadable, {}};
    }
    return *longest > 0 ? pause_reading{kind_t::asked, to_pause(*longest)} : pause_reading{};
}

} // namespace cedarpoint
