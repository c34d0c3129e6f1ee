#include "cedarpoint/fleet/pace_board.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

constexpr double weight_of_one = 0.04; ///< of a single wait in the moving mean
constexpr std::uint32_t fewest_waits = 12;
constexpr duration memory = seconds{4}; ///< after this a runner that nobody used is tried again
constexpr double clearly_slower = 1.8;
constexpr double most_doublings = 6;

} // namespace

void pace_board::note(instant now, const runner_id& runner, std::uint32_t waits, duration waited)
{
    if (waits == 0) {
        return;
    }
    auto& entry = paces_[runner];
    if (now - entry.at > memory) {
        entry = {};
    }
    const auto mean = static_cast<double>(waited.count()) / waits;
    const auto kept = entry.waits == 0 ? 0 : std::pow(1 - weight_of_one, waits);
    entry.wait_us = entry.wait_us * kept + mean * (1 - kept);
    entry.waits = std::min(entry.waits + waits, fewest_waits);
    entry.at = now;
}

const pace_board::pace* pace_board::known(instant now, const runner_id& runner) const
{
    const auto found = paces_.find(runner);
    const bool useful = found != paces_.end() && found->second.waits >= fewest_waits &&
                        now - found->second.at <= memory;
    return useful ? &found->second : nullptr;
}

std::map<runner_id, std::uint32_t> pace_board::slow_among(instant now,
                                                          const std::vector<runner_id>& peers) const
{
    std::map<runner_id, std::uint32_t> out;
    std::vector<double> waits;
    for (const auto& peer : peers) {
        if (const auto* each = known(now, peer); each != nullptr) {
            waits.push_back(each->wait_us);
        }
    }
    if (waits.size() < 2) {
        return out;
    }
    const auto middle = waits.begin() + static_cast<std::ptrdiff_t>((waits.size() - 1) / 2);
    std::nth_element(waits.begin(), middle, waits.end());
    for (const auto& peer : peers) {
        const auto* each = known(now, peer);
        const auto ratio = each == nullptr ? 1 : each->wait_us / std::max(*middle, 1.0);
        if (ratio >= clearly_slower) {
            out[peer] = static_cast<std::uint32_t>(
                std::exp2(std::min(std::round(std::log2(ratio)), most_doublings)));
        }
    }
    return out;
}

} // namespace cedarpoint
