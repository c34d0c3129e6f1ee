#include "cedarpoint/fleet/target_set.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

constexpr double other_domain = 0.5; ///< a request in another failure domain counts as this more
constexpr double avoided = 1000;     ///< more than any load
constexpr std::int64_t longest_told = 1'000'000; ///< milliseconds
constexpr duration shortest_avoidance = milliseconds{300};
constexpr int most_doublings = 4;
constexpr int short_queue = 3; ///< requests that may wait at a runner: a place frees soon
constexpr duration doubtful_silence = milliseconds{250};

} // namespace

target_set::target_set(failure_domain_id home, std::uint64_t seed)
    : home_{std::move(home)}, random_{seed}
{
}

void target_set::update(const std::map<std::string, wire::fleet_item>& items)
{
    targets_.clear();
    by_use_.clear();
    std::map<runner_id, const wire::fleet_group*> heads;
    for (const auto& [key, item] : items) {
        if (item.has_group() && item.group().members_size() > 0) {
            heads[runner_id{item.group().members(0)}] = &item.group();
        }
    }
    for (const auto& [key, item] : items) {
        if (!item.has_runner()) {
            continue;
        }
        const auto& in = item.runner();
        fleet_target target;
        target.runner = runner_id{in.id()};
        const auto address = endpoint::parse(in.address());
        if (!address) {
            continue;
        }
        target.address = *address;
        target.service = service_id{in.service()};
        target.failure_domain = failure_domain_id{in.failure_domain()};
        target.slots = static_cast<int>(in.slots());
        target.accepting = in.accepting();
        target.doubted = in.doubted();
        target.slowness = std::max(static_cast<int>(in.slowness()), 1);
        if (const auto head = heads.find(target.runner); head != heads.end()) {
            target.model = model_id{head->second->model()};
            target.group = group_id{head->second->name()};
            target.accepting = target.accepting && head->second->accepting();
        }
        by_use_[{target.service, target.model}].push_back(target.runner);
        targets_.emplace(target.runner, std::move(target));
    }
    std::erase_if(records_, [&](const auto& each) {
        return each.second.in_flight == 0 && !targets_.contains(each.first);
    });
}

void target_set::update_loads(const wire::fleet_update& update)
{
    if (update.loads_size() == 0 && update.items_size() > 0) {
        return; // a pushed change; loads come with the answers to this daemon's words
    }
    for (auto& [runner, record] : records_) {
        record.others = 0;
    }
    for (const auto& load : update.loads()) {
        const runner_id runner{load.runner()};
        if (targets_.contains(runner)) {
            records_[runner].others = static_cast<int>(load.in_flight());
        }
    }
}

double target_set::score(instant now, const fleet_target& target)
{
    const auto& record = records_[target.runner];
    std::uniform_real_distribution<double> spread(0, 0.5);
    double out = (record.in_flight + 1) * target.slowness + spread(random_);
    if (target.failure_domain != home_) {
        out += other_domain;
    }
    const bool still = record.in_flight > 0 && now - record.waits_since > doubtful_silence;
    if (now < record.avoid_until || still || target.doubted) {
        out += avoided;
    }
    return out;
}

const fleet_target* target_set::choose(instant now, const service_id& service,
                                       const model_id& model, const std::set<runner_id>& tried,
                                       lack& why)
{
    why = lack::absent;
    const auto found = by_use_.find({service, model});
    if (found == by_use_.end()) {
        return nullptr;
    }
    const fleet_target* best = nullptr;
    double best_score = 0;
    for (const auto& runner : found->second) {
        const auto& target = targets_.at(runner);
        if (!target.accepting || tried.contains(runner)) {
            continue;
        }
        const auto& record = records_[runner];
        // Others' requests are told late: they bound a target's load, but chosen by them all
        // daemons would run to the same one.
        if (record.in_flight + record.others >= target.slots + short_queue) {
            why = lack::full;
            continue;
        }
        const auto next = score(now, target);
        if (best == nullptr || next < best_score) {
            best = &target;
            best_score = next;
        }
    }
    if (best != nullptr) {
        why = lack::none;
    }
    return best;
}

const fleet_target* target_set::find(const runner_id& runner) const
{
    const auto found = targets_.find(runner);
    return found == targets_.end() ? nullptr : &found->second;
}

void target_set::on_sent(instant now, const runner_id& runner)
{
    auto& record = records_[runner];
    if (record.in_flight++ == 0) {
        record.waits_since = now;
    }
}

void target_set::on_byte(instant now, const runner_id& runner)
{
    auto& record = records_[runner];
    record.waits_since = now;
    record.latest_byte = now;
    record.unreachable = 0;
    record.refused = false;
}

void target_set::on_done(const runner_id& runner)
{
    auto& record = records_[runner];
    record.in_flight = std::max(0, record.in_flight - 1);
}

void target_set::on_wait(const runner_id& runner, duration wait)
{
    auto& record = records_[runner];
    ++record.waits;
    record.waited += wait;
}

void target_set::on_success(const runner_id& runner)
{
    records_[runner].failures = 0;
    records_[runner].avoid_until = {};
}

void target_set::on_failure(instant now, const runner_id& runner)
{
    auto& record = records_[runner];
    const int doublings = std::min(record.failures++, most_doublings);
    record.avoid_until = now + shortest_avoidance * (1 << doublings);
}

void target_set::on_unreachable(instant now, const runner_id& runner, bool refused)
{
    auto& record = records_[runner];
    ++record.unreachable;
    record.refused = record.refused || refused;
    on_failure(now, runner);
}

int target_set::in_flight(const runner_id& runner) const
{
    const auto found = records_.find(runner);
    return found == records_.end() ? 0 : found->second.in_flight;
}

void target_set::add_sightings(instant now, wire::fleet_follow& out)
{
    for (auto& [runner, record] : records_) {
        if (record.in_flight == 0 && record.unreachable == 0 && !record.refused &&
            record.waits == 0) {
            continue;
        }
        auto* seen = out.add_sightings();
        seen->set_runner(runner.str());
        seen->set_in_flight(static_cast<std::uint32_t>(record.in_flight));
        const auto silent = record.in_flight > 0 ? to_ms(now - record.waits_since) : 0;
        seen->set_silent_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(silent, 0)));
        seen->set_unreachable(static_cast<std::uint32_t>(record.unreachable));
        seen->set_refused(record.refused);
        const auto since_byte =
            std::min<std::int64_t>(to_ms(now - record.latest_byte), longest_told);
        seen->set_byte_ms(static_cast<std::uint32_t>(since_byte));
        seen->set_waits(std::exchange(record.waits, 0));
        seen->set_waited_us(static_cast<std::uint64_t>(std::exchange(record.waited, {}).count()));
    }
}

} // namespace cedarpoint
