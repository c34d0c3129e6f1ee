#pragma once

#include "cedarpoint/core/time.h"

#include <map>
#include <optional>
#include <string>

namespace cedarpoint {

/// The longest time that recent answers took, by route, from the arrival of the request to the end
/// of the answer. Remembers answers for 15 to 30 s.
class answer_times {
public:
    void record(instant now, const std::string& route, duration took);
    /// Returns nothing if the route had no answer recently.
    [[nodiscard]] std::optional<duration> longest(instant now, const std::string& route) const;

private:
    using window = std::map<std::string, duration>;

    window current_;
    window previous_;
    instant current_began_;
};

} // namespace cedarpoint
