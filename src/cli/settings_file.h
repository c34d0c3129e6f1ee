#pragma once

#include "cedarpoint/config/fault.h"
#include "storage/posix_file_system.h"

#include <fmt/format.h>
#include <optional>
#include <string>

namespace cedarpoint {

/// Reads a settings file of either kind; names every fault on standard error.
template <class Settings>
std::optional<Settings> read_settings(const std::string& file)
{
    posix_file_system files;
    reason why;
    const auto text = files.read(file, why);
    if (!text) {
        fmt::print(stderr, "{}\n",
                   why.step.empty() ? "open " + file + ": there is no such file" : why.str());
        return {};
    }
    faults found;
    auto out = Settings::parse(*text, found);
    for (const auto& each : found) {
        fmt::print(stderr, "{}: {}: {}\n", file, each.path.empty() ? "/" : each.path, each.text);
    }
    return out;
}

} // namespace cedarpoint
