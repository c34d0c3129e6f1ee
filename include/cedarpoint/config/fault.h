#pragma once

#include <string>
#include <vector>

namespace cedarpoint {

/// One error in a file.
struct fault {
    std::string path; ///< JSON pointer of the value
    std::string text; ///< what is wrong with it
    friend bool operator==(const fault&, const fault&) = default;
};

using faults = std::vector<fault>;

} // namespace cedarpoint
