#pragma once

#include "cedarpoint/config/fault.h"

#include <optional>
#include <string>

namespace cedarpoint {

/// Returns the content of a file. If it can't be read, prints the reason on standard error and
/// returns nothing.
std::optional<std::string> read_input_file(const std::string& path);

/// Prints each fault as a line on standard error: file, JSON pointer, text.
void print_faults(const std::string& file, const faults& all);

/// Reads a settings file. Returns nothing if it can't be read or is invalid, and prints the reason
/// or every fault on standard error.
template <class Settings>
std::optional<Settings> read_settings(const std::string& file)
{
    const auto text = read_input_file(file);
    if (!text) {
        return {};
    }
    faults found;
    auto out = Settings::parse(*text, found);
    print_faults(file, found);
    return out;
}

} // namespace cedarpoint
