#pragma once

#include <string>
#include <vector>

namespace cedarpoint {

/// One error in a file: the JSON pointer of the value and the reason.
struct fault {
    std::string path;
    std::string text;
    friend bool operator==(const fault&, const fault&) = default;
};

using faults = std::vector<fault>;

} // namespace cedarpoint
