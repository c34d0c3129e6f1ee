#include "cedarpoint/fleet/latency_tracker.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

/// Weight of a single wait in the moving mean, which covers about the latest 25 waits.
constexpr double weight_of_one_wait = 0.04;

/// Minimum number of waits for a usable mean.
constexpr std::uint32_t min_waits = 12;

/// A mean expires after this time without waits, so that a slow runner that receives no requests
/// any more is tried again.
constexpr duration mean_lifetime = seconds{4};

/// Minimum ratio to the median of the peers at which a runner counts as slow.
constexpr double slow_ratio = 1.8;

/// Exponent of the highest slowness reported, as a power of two.
constexpr double max_doublings = 6;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::uint32_t nearest_power_of_two(double ratio)
{
    const auto exponent = std::min(std::round(std::log2(ratio)), max_doublings);
    return static_cast<std::uint32_t>(std::exp2(exponent));
}

} // namespace

void latency_tracker::record(instant now, const runner_id& runner, std::uint32_t waits,
                             duration waited)
{
    if (waits == 0) {
        return;
    }
    auto& mean = means_[runner];
    if (now - mean.at > mean_lifetime) {
        mean = {};
    }
    const auto latest = static_cast<double>(waited.count()) / waits;
    const auto kept = mean.waits == 0 ? 0 : std::pow(1 - weight_of_one_wait, waits);
    mean.wait_us = mean.wait_us * kept + latest * (1 - kept);
    mean.waits = std::min(mean.waits + waits, min_waits);
    mean.at = now;
}

const latency_tracker::moving_mean* latency_tracker::usable_mean(instant now,
                                                                 const runner_id& runner) const
{
    const auto found = means_.find(runner);
    const bool usable = found != means_.end() && found->second.waits >= min_waits &&
                        now - found->second.at <= mean_lifetime;
    return usable ? &found->second : nullptr;
}

std::map<runner_id, std::uint32_t>
latency_tracker::slow_runners(instant now, const std::vector<runner_id>& peers) const
{
    std::vector<std::pair<runner_id, double>> waits_us;
    std::vector<double> values;
    for (const auto& peer : peers) {
        if (const auto* mean = usable_mean(now, peer); mean != nullptr) {
            waits_us.emplace_back(peer, mean->wait_us);
            values.push_back(mean->wait_us);
        }
    }
    std::map<runner_id, std::uint32_t> out;
    if (values.size() < 2) {
        return out; // nothing to compare with
    }
    const auto typical_us = std::max(median(std::move(values)), 1.0);
    for (const auto& [peer, wait_us] : waits_us) {
        if (const auto ratio = wait_us / typical_us; ratio >= slow_ratio) {
            out[peer] = nearest_power_of_two(ratio);
        }
    }
    return out;
}

} // namespace cedarpoint
