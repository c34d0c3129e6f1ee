#pragma once

#include <cstdint>
#include <string>

namespace cedarpoint::bench {

/// Processor time and memory of a process, from /proc.
struct process_usage {
    double cpu_seconds = 0;
    double resident_kb = 0;
};

process_usage usage_of(std::int64_t pid);

/// Prints one line of JSON for tools/measure. `target` is written unchanged; "met" is null without
/// a target.
void print_figure(const std::string& name, double value, const std::string& unit,
                  const std::string& target, int met);

} // namespace cedarpoint::bench
