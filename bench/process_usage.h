#pragma once

#include <cstdint>
#include <string>

namespace cedarpoint::bench {

/// Processor time (user and system) and resident memory of a process, from /proc.
struct process_usage {
    double cpu_seconds = 0;
    double resident_kb = 0;
};

process_usage read_process_usage(std::int64_t pid);

/// Prints one line of JSON for tools/measure. `target` is printed unchanged; `met` is 1 or 0, or -1
/// (printed as null) if there is no target.
void print_figure(const std::string& name, double value, const std::string& unit,
                  const std::string& target, int met);

} // namespace cedarpoint::bench
