#pragma once

#include <string>

namespace cedarpoint {

/// Describes why an operation failed: the step, the peer or object concerned, and the error.
struct reason {
    std::string step; ///< "connect", "parse", "sync" ...
    std::string peer; ///< address, file or id that the step used; may be empty
    std::string text; ///< description of the error

    [[nodiscard]] std::string str() const
    {
        return peer.empty() ? step + ": " + text : step + " " + peer + ": " + text;
    }
};

} // namespace cedarpoint
