#include "cedarpoint/fleet/work_average.h"

#include <cmath>

namespace cedarpoint {
namespace {

/// Time constant of the exponential average, in seconds.
constexpr double average_seconds = 1.5;

} // namespace

void work_average::record(instant now, const model_key& model, double work)
{
    const auto [found, added] = averages_.try_emplace(model, average{work, now});
    if (added) {
        return;
    }
    auto& [value, at] = found->second;
    const auto passed = std::chrono::duration<double>(now - at).count();
    value = work + (value - work) * std::exp(-passed / average_seconds);
    at = now;
}

std::map<work_average::model_key, double> work_average::all() const
{
    std::map<model_key, double> out;
    for (const auto& [model, average] : averages_) {
        out[model] = average.value;
    }
    return out;
}

} // namespace cedarpoint
