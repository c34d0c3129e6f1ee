#include "cedarpoint/fleet/path_monitor.h"

#include <algorithm>
#include <array>

namespace cedarpoint {
namespace {

/// Silent runners that count as a cut. One alone may just be slow.
constexpr std::size_t silent_runners_to_cut = 2;

/// Interval between two probes of a runner whose path fails, and between two probes of any runner
/// while the daemon is cut off. Longer than a probe's time limit, so that one that hangs has failed
/// before the next one.
constexpr duration probe_interval = milliseconds{400};

} // namespace

std::string_view name_of(cut_evidence evidence)
{
    constexpr std::array<std::string_view, 2> names{"failed_connect", "silent_runners"};
    return names.at(static_cast<std::size_t>(evidence));
}

void path_monitor::set_runners(const std::set<runner_id>& runners)
{
    runners_ = runners;
    std::erase_if(failing_, [&](const auto& each) { return !runners_.contains(each.first); });
}

bool path_monitor::is_silent(instant now) const
{
    return now - latest_life_ >= cut_off_silence;
}

void path_monitor::begin_cut(cut_evidence evidence)
{
    if (!cut_) {
        cut_ = {latest_life_, evidence, false};
        next_cut_probe_ = {};
    }
}

void path_monitor::on_reached(instant now, const runner_id& runner)
{
    latest_life_ = std::max(latest_life_, now);
    failing_.erase(runner);
    if (cut_) {
        cut_.reset();
        // The other paths have probably recovered too.
        for (auto& [each, next_probe] : failing_) {
            next_probe = now;
        }
    }
}

void path_monitor::on_connect_failed(instant now, const runner_id& runner)
{
    if (!runners_.contains(runner)) {
        return;
    }
    failing_.try_emplace(runner, now); // a lost packet is told from a failing path at once
    if (cut_) {
        cut_->is_confirmed = true;
    }
    else if (is_silent(now)) {
        begin_cut(cut_evidence::failed_connect);
    }
}

void path_monitor::on_silence(instant now, const std::vector<instant>& silent_since)
{
    // A silence that had lasted when another runner gave a sign of life is the runner's own.
    const auto count = static_cast<std::size_t>(
        std::count_if(silent_since.begin(), silent_since.end(),
                      [&](instant since) { return since > latest_life_ - cut_off_silence; }));
    const auto needed = std::min(silent_runners_to_cut, runners_.size());
    if (needed > 0 && count >= needed && is_silent(now)) {
        begin_cut(cut_evidence::silent_runners);
    }
}

bool path_monitor::is_failing(const runner_id& runner) const
{
    return failing_.contains(runner);
}

bool path_monitor::can_reach(const runner_id& runner) const
{
    return !cut_ && !is_failing(runner);
}

std::vector<runner_id> path_monitor::take_due_probes(instant now)
{
    std::vector<runner_id> out;
    if (cut_) {
        if (now < next_cut_probe_ || runners_.empty()) {
            return out;
        }
        next_cut_probe_ = now + probe_interval;
        auto next = runners_.upper_bound(latest_cut_probe_);
        latest_cut_probe_ = next == runners_.end() ? *runners_.begin() : *next;
        out.push_back(latest_cut_probe_);
        return out;
    }
    for (auto& [runner, next_probe] : failing_) {
        if (now >= next_probe) {
            next_probe = now + probe_interval;
            out.push_back(runner);
        }
    }
    return out;
}

} // namespace cedarpoint
