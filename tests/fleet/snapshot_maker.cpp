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

void snapshot_maker::set_sizes(std::size_t of_large, std::size_t of_small)
{
    auto& models = configuration_.services.front().engine->models;
    models[0].group_size = of_large;
    models[1].group_size = of_small;
}

void snapshot_maker::add(const std::string& domain, int count, const std::vector<model_id>& staged)
{
    for (int made = 0; made < count; ++made) {
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
    for (const auto at : runners) {
        serving_[at] = true;
        loaded_[at] = model;
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
    for (std::size_t at = 0; at < announced_.size(); ++at) {
        const auto& id = announced_[at].id;
        if (std::find(group.members.begin(), group.members.end(), id) != group.members.end()) {
            members.push_back(at);
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
    in_ = {};
    in_.configuration = &configuration_;
    in_.has_traffic = has_traffic;
    in_.expected = expected_;
    in_.groups_by_domain = groups_;
    for (const auto& [key, count] : groups_) {
        in_.groups[key.second] += count;
        in_.groups_by_failure_domain[{failure_domains_.at(key.first), key.second}] += count;
    }
    for (const auto& [model, requests] : work_) {
        in_.work[{pool().name, model}] = requests;
    }
    const auto find = [](auto& in, std::size_t at) {
        const auto found = in.find(at);
        return found == in.end() ? nullptr : &found->second;
    };
    for (std::size_t at = 0; at < announced_.size(); ++at) {
        runner_snapshot next;
        next.latest = &announced_[at];
        next.usable = true;
        next.settled = true;
        next.free = find(serving_, at) == nullptr;
        next.staging = std::count(staging_.begin(), staging_.end(), at) > 0;
        next.last_model = find(loaded_, at);
        next.reserved_for = find(reserved_for_, at);
        in_.runners.push_back(next);
    }
    for (const auto& each : in_.runners) {
        if (each.free) {
            in_.free[each.latest->fabric_domain].push_back(&each);
        }
    }
    return in_;
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
