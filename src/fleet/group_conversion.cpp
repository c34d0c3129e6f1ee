#include "cedarpoint/fleet/group_conversion.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace cedarpoint {
namespace {

/// A conversion must lower the recipient model's utilization below this fraction of its previous
/// value. A smaller gain does not outweigh the seconds without the retired groups.
constexpr double max_utilization_ratio = 0.95;

/// Minimum time between the starts of two conversions, so that the reports of entry daemons, which
/// arrive every 200 ms, reflect the first one.
constexpr duration conversion_interval = milliseconds{300};

/// Time limit for a conversion to form its groups: the longest retirement plus a few seconds to
/// join.
constexpr duration conversion_limit = seconds{12};

/// No conversion starts while more than one in this many runners is under conversion. The runners
/// of the new conversion are not counted, so this limit never holds back the first.
constexpr std::size_t runners_per_converted = 8;

/// A model that has received groups by a conversion gives none for this long, because the averaged
/// load still includes the time before the conversion.
constexpr duration recipient_cooldown = seconds{5};

using runner_index = std::map<runner_id, const runner_snapshot*>;

runner_index index_of(const placement_snapshot& in)
{
    runner_index out;
    for (const auto& runner : in.runners) {
        out.emplace(runner.latest->id, &runner);
    }
    return out;
}

/// Serving groups of one model by fabric domain, in the order of the plan.
using domain_groups = std::map<fabric_domain_id, std::vector<const planned_group*>>;

/// The inputs of the search for one pair of models.
struct search {
    const placement_snapshot& in;
    const runner_index runners;
    const fleet_service& service;
    const engine_model& to;
    const engine_model& from;
};

/// Returns the members that can join for the recipient model within seconds.
std::set<runner_id> find_ready(const search& at, const planned_group& group)
{
    std::set<runner_id> out;
    for (const auto& member : group.members) {
        const auto found = at.runners.find(member);
        if (found != at.runners.end() && found->second->usable &&
            can_join_soon(*found->second, at.to)) {
            out.insert(member);
        }
    }
    return out;
}

/// Returns the number of the model's groups in each failure domain.
std::map<failure_domain_id, std::size_t>
count_by_failure_domain(const search& at, const group_plan& plan, const model_id& model)
{
    std::map<failure_domain_id, std::size_t> out;
    for (const auto& [name, group] : plan.groups()) {
        const auto head = at.runners.find(group.head());
        if (group.model == model && group.phase <= plan_phase::serving &&
            head != at.runners.end()) {
            ++out[head->second->latest->failure_domain];
        }
    }
    return out;
}

domain_groups find_donors(const search& at, const group_plan& plan)
{
    domain_groups out;
    for (const auto& [name, group] : plan.groups()) {
        const auto head = at.runners.find(group.head());
        if (group.model == at.from.name && group.phase == plan_phase::serving &&
            head != at.runners.end() && !find_ready(at, group).empty()) {
            out[head->second->latest->fabric_domain].push_back(&group);
        }
    }
    return out;
}

std::set<runner_id> find_free(const search& at, const fabric_domain_id& domain)
{
    std::set<runner_id> out;
    const auto found = at.in.free.find(domain);
    if (found == at.in.free.end()) {
        return out;
    }
    for (const auto* runner : found->second) {
        const bool reserved_for_other =
            runner->reserved_for != nullptr && *runner->reserved_for != at.to.name;
        if (runner->latest->service == at.service.name && !reserved_for_other &&
            can_join_soon(*runner, at.to)) {
            out.insert(runner->latest->id);
        }
    }
    return out;
}

/// Proposes the fewest groups of the domain whose members, together with its free runners, can form
/// one group of the recipient model.
conversion_proposal propose_in(const search& at, const fabric_domain_id& domain,
                               const std::vector<const planned_group*>& donors, std::size_t most)
{
    conversion_proposal out;
    out.service = &at.service;
    out.to = &at.to;
    out.from = &at.from;
    out.domain = domain;
    out.runners = find_free(at, domain);
    for (const auto* group : donors) {
        if (out.gained > 0 || out.retired.size() == most) {
            break;
        }
        out.retired.push_back(group);
        out.runners.merge(find_ready(at, *group));
        out.gained = out.runners.size() / std::max<std::size_t>(at.to.group_size, 1);
    }
    return out;
}

/// Returns true if the donor model has much more spare capacity even without the retired groups,
/// and the conversion clearly lowers the recipient's utilization.
bool is_worthwhile(const search& at, const conversion_proposal& next)
{
    const auto recipient_groups = at.in.count_with_expected(at.to.name);
    const auto donor_groups = at.in.count_with_expected(at.from.name);
    if (next.gained == 0 || donor_groups <= next.retired.size()) {
        return false;
    }
    const auto left = donor_groups - next.retired.size();
    const auto before = utilization_with(at.in, at.service, at.to, recipient_groups);
    const auto after = utilization_with(at.in, at.service, at.to, recipient_groups + next.gained);
    return is_worth_switching(at.in, at.service, at.from, left, at.to) &&
           after < before * max_utilization_ratio;
}

/// Orders proposals by the number of runners retired per runner gained, then by the number of the
/// recipient's groups in the failure domain; lower is better.
auto rank(const conversion_proposal& in, std::size_t groups_there)
{
    const auto runners_retired = in.retired.size() * in.from->group_size;
    const auto gained = in.gained * in.to->group_size;
    return std::tuple{static_cast<double>(runners_retired) / static_cast<double>(gained),
                      groups_there};
}

std::optional<conversion_proposal> find_best(const search& at, const group_plan& plan)
{
    const auto donor_groups = count_by_failure_domain(at, plan, at.from.name);
    const auto recipient_groups = count_by_failure_domain(at, plan, at.to.name);
    std::optional<conversion_proposal> best;
    std::size_t best_groups_there = 0;
    for (const auto& [domain, donors] : find_donors(at, plan)) {
        const auto& head_failure_domain =
            at.runners.at(donors.front()->head())->latest->failure_domain;
        auto next = propose_in(at, domain, donors, donor_groups.at(head_failure_domain) - 1);
        const auto found = recipient_groups.find(head_failure_domain);
        const auto groups_there = found == recipient_groups.end() ? 0 : found->second;
        if (is_worthwhile(at, next) &&
            (!best || rank(next, groups_there) < rank(*best, best_groups_there))) {
            best = std::move(next);
            best_groups_there = groups_there;
        }
    }
    return best;
}

/// Returns the model with the highest utilization; null if no model has any load.
const engine_model* find_recipient(const placement_snapshot& in, const fleet_service& service)
{
    const engine_model* out = nullptr;
    double highest = 0;
    for (const auto& model : service.engine->models) {
        const auto utilization =
            utilization_with(in, service, model, in.count_with_expected(model.name));
        if (utilization > highest) {
            out = &model;
            highest = utilization;
        }
    }
    return out;
}

std::optional<conversion_proposal> find_for(const placement_snapshot& in, const group_plan& plan,
                                            const fleet_service& service,
                                            const std::set<model_id>& excluded_donors)
{
    const auto* recipient = find_recipient(in, service);
    if (recipient == nullptr) {
        return {};
    }
    for (const auto& donor : service.engine->models) {
        if (donor.name == recipient->name || excluded_donors.contains(donor.name)) {
            continue;
        }
        if (auto out = find_best({in, index_of(in), service, *recipient, donor}, plan)) {
            return out;
        }
    }
    return {};
}

} // namespace

std::optional<conversion_proposal>
group_conversion::begin_next(instant now, const placement_snapshot& in, const group_plan& plan)
{
    if (now < next_at_ || count_runners() > in.runners.size() / runners_per_converted) {
        return {};
    }
    for (const auto& service : in.configuration->services) {
        if (!service.engine) {
            continue;
        }
        if (auto next = find_for(in, plan, service, find_cooling_down(now))) {
            received_at_[next->to->name] = now;
            under_way_.push_back({next->to->name, next->to->group_size, next->gained, next->runners,
                                  now + conversion_limit});
            next_at_ = now + conversion_interval;
            return next;
        }
    }
    return {};
}

std::set<model_id> group_conversion::find_cooling_down(instant now) const
{
    std::set<model_id> out;
    for (const auto& [model, at] : received_at_) {
        if (now - at < recipient_cooldown) {
            out.insert(model);
        }
    }
    return out;
}

std::size_t group_conversion::count_runners() const
{
    std::size_t out = 0;
    for (const auto& each : under_way_) {
        out += each.runners.size();
    }
    return out;
}

bool group_conversion::remove_finished(instant now, const placement_snapshot& in)
{
    const auto ended = std::erase_if(under_way_, [&](const conversion& each) {
        const auto left =
            std::count_if(in.runners.begin(), in.runners.end(), [&](const runner_snapshot& runner) {
                return runner.usable && each.runners.contains(runner.latest->id);
            });
        return each.expected == 0 || static_cast<std::size_t>(left) < each.group_size ||
               now >= each.overdue_at;
    });
    return ended > 0;
}

void group_conversion::on_formed(const model_id& model, const std::vector<runner_id>& members)
{
    for (auto& each : under_way_) {
        const bool matches =
            each.to == model && each.expected > 0 &&
            std::any_of(members.begin(), members.end(),
                        [&](const runner_id& member) { return each.runners.contains(member); });
        if (matches) {
            --each.expected;
            for (const auto& member : members) {
                each.runners.erase(member);
            }
            return;
        }
    }
}

const model_id* group_conversion::reserved_for(const runner_id& runner) const
{
    for (const auto& each : under_way_) {
        if (each.expected > 0 && each.runners.contains(runner)) {
            return &each.to;
        }
    }
    return nullptr;
}

std::map<model_id, std::size_t> group_conversion::count_expected() const
{
    std::map<model_id, std::size_t> out;
    for (const auto& each : under_way_) {
        out[each.to] += each.expected;
    }
    return out;
}

} // namespace cedarpoint
