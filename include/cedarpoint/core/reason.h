#pragma once

#include <string>

namespace cedarpoint {

/// Why an operation returned empty: where it got to, against whom, and what was wrong.
struct reason {
    std::string step; ///< "connect", "parse", "sync" ...
    std::string peer; ///< address, file or id that the step concerned; may be empty
    std::string text; ///< the fault in words

    [[nodiscard]] std::string str() const
    {
        return peer.empty() ? step + ": " + text : step + " " + peer + ": " + text;
    }
};

} // namespace cedarpoint
