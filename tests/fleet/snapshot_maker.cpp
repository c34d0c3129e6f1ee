#include "fleet/snapshot_maker.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint::testing_support {

snapshot_maker::snapshot_maker()
{
    engine_model first;
    first.name = large;
    first.group_size = 4;
    first.share = 0.5;
    first.load_time = seconds{16};
    first.warm_time = milliseconds{1600};
    auto second = first;
    second.name = small;
    second.group_size = 3;
    second.load_time = seconds{12};
    second.warm_time = milliseconds{1100};
    fleet_service pool;
    pool.name = service_id{"pool"};
    pool.engine = engine_spec{};
    pool.engine->slots = 10;
    pool.engine->models = {first, second};
    configuration_.services = {pool};
}

void snapshot_maker::set_sizes(std::size_t large_size, std::size_t small_size)
{
    auto& models = configuration_.services.front().engine->models;
    models[0].group_size = large_size;
    models[1].group_size = small_size;
}

void snapshot_maker::add(const std::string& domain, int count, const std::vector<model_id>& staged)
{
    for (int n = 0; n < count; ++n) {
        announcement next;
        next.id = runner_id{fmt::format("r{:02}", announced_.size())};
        next.service = pool().name;
        next.failure_domain = failure_domain_id{domain.substr(0, 1)};
        next.fabric_domain = fabric_domain_id{domain};
        next.staged = staged;
        failure_domains_[next.fabric_domain] = next.failure_domain;
        announced_.push_back(next);
    }
}

void snapshot_maker::set_serving(const std::vector<std::size_t>& runners, const model_id& model)
{
    for (const auto n : runners) {
        serving_[n] = true;
        loaded_[n] = model;
    }
    ++groups_[{announced_.at(runners.front()).fabric_domain, model}];
}

void snapshot_maker::count_group(const fabric_domain_id& domain, const model_id& model, int change)
{
    failure_domains_.try_emplace(domain, domain.str().substr(0, 1));
    groups_[{domain, model}] += static_cast<std::size_t>(change);
}

void snapshot_maker::form(const proposed_group& group)
{
    std::vector<std::size_t> members;
    for (std::size_t n = 0; n < announced_.size(); ++n) {
        const auto& id = announced_[n].id;
        if (std::find(group.members.begin(), group.members.end(), id) != group.members.end()) {
            members.push_back(n);
        }
    }
    set_serving(members, group.model->name);
}

void snapshot_maker::set_work(const model_id& model, double requests)
{
    work_[model] = requests;
}

const engine_model& snapshot_maker::model(const model_id& name) const
{
    return *configuration_.find_model(pool().name, name);
}

const placement_snapshot& snapshot_maker::snapshot()
{
    snapshot_ = {};
    snapshot_.configuration = &configuration_;
    snapshot_.has_traffic = has_traffic;
    snapshot_.expected = expected_;
    snapshot_.groups_by_domain = groups_;
    for (const auto& [key, count] : groups_) {
        snapshot_.groups[key.second] += count;
        snapshot_.groups_by_failure_domain[{failure_domains_.at(key.first), key.second}] += count;
    }
    for (const auto& [model, requests] : work_) {
        snapshot_.work[{pool().name, model}] = requests;
    }
    const auto find = [](auto& in, std::size_t n) {
        const auto found = in.find(n);
        return found == in.end() ? nullptr : &found->second;
    };
    for (std::size_t n = 0; n < announced_.size(); ++n) {
        runner_snapshot next;
        next.latest = &announced_[n];
        next.usable = true;
        next.settled = true;
        next.free = find(serving_, n) == nullptr;
        next.staging = std::count(staging_.begin(), staging_.end(), n) > 0;
        next.last_model = find(loaded_, n);
        next.reserved_for = find(reserved_for_, n);
        snapshot_.runners.push_back(next);
    }
    for (const auto& each : snapshot_.runners) {
        if (each.free) {
            snapshot_.free[each.latest->fabric_domain].push_back(&each);
        }
    }
    return snapshot_;
}

std::size_t snapshot_maker::count_free()
{
    std::size_t out = 0;
    for (const auto& [domain, runners] : snapshot().free) {
        out += runners.size();
    }
    return out;
}

} // namespace cedarpoint::testing_support
