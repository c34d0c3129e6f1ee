#include "process_usage.h"

#include <unistd.h>

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace cedarpoint::bench {

process_usage read_process_usage(std::int64_t pid)
{
    process_usage out;
    std::ifstream stat{fmt::format("/proc/{}/stat", pid)};
    std::string text;
    std::getline(stat, text);
    std::istringstream rest{text.substr(text.rfind(')') + 2)};
    std::string word;
    // utime and stime of proc(5); indices count from the state, the first field after the name.
    constexpr int user_field = 11;
    double ticks = 0;
    for (int n = 0; rest >> word; ++n) {
        if (n == user_field || n == user_field + 1) {
            ticks += std::stod(word);
        }
    }
    out.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status{fmt::format("/proc/{}/status", pid)};
    while (std::getline(status, text)) {
        if (text.starts_with("VmRSS:")) {
            out.resident_kb = std::stod(text.substr(6));
        }
    }
    return out;
}

void print_figure(const std::string& name, double value, const std::string& unit,
                  const std::string& target, int met)
{
    fmt::print(
        "{{\"name\":\"{}\",\"value\":{:.4g},\"unit\":\"{}\",\"target\":\"{}\",\"met\":{}}}\n", name,
        value, unit, target,
        met < 0   ? "null"
        : met > 0 ? "true"
                  : "false");
    std::fflush(stdout);
}

} // namespace cedarpoint::bench
