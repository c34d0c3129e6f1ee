#pragma once

#include <string>
#include <vector>

namespace cedarpoint {

/// One thing wrong in a file: its JSON pointer and why.
struct fault {
    std::string path;
    std::string text;
    friend bool operator==(const fault&, const fault&) = default;
};

using faults = std::vector<fault>;

} // namespace cedarpoint
