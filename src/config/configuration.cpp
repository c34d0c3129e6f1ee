#include "cedarpoint/config/configuration.h"

#include <algorithm>

namespace cedarpoint {
namespace {

template <class T, class Key>
const T* find_by_id(const std::vector<T>& all, const Key& key)
{
    const auto it = std::find_if(all.begin(), all.end(), [&](const T& e) { return e.id == key; });
    return it == all.end() ? nullptr : &*it;
}

} // namespace

const node_spec* configuration::find_node(const node_id& id) const
{
    return find_by_id(nodes, id);
}

const runner_spec* configuration::find_runner_on(const node_id& id) const
{
    const auto it = std::find_if(runners.begin(), runners.end(),
                                 [&](const runner_spec& e) { return e.node == id; });
    return it == runners.end() ? nullptr : &*it;
}

const fabric_domain_spec* configuration::find_fabric(const fabric_domain_id& id) const
{
    return find_by_id(fabric_domains, id);
}

const pool_spec* configuration::find_pool(const pool_id& id) const
{
    return find_by_id(pools, id);
}

const account_spec* configuration::find_account(const client_account_id& id) const
{
    return find_by_id(accounts, id);
}

failure_domain_id configuration::domain_of(const node_spec& node) const
{
    const auto* fabric = find_fabric(node.fabric_domain);
    return fabric == nullptr ? failure_domain_id{} : fabric->failure_domain;
}

std::string_view name_of(priority_class it)
{
    switch (it) {
    case priority_class::alarm:
        return "alarm";
    case priority_class::normal:
        return "normal";
    case priority_class::bulk:
        return "bulk";
    }
    return "?";
}

std::optional<priority_class> parse_priority(std::string_view text)
{
    for (const auto it : {priority_class::alarm, priority_class::normal, priority_class::bulk}) {
        if (name_of(it) == text) {
            return it;
        }
    }
    return {};
}

std::string_view name_of(group_role it)
{
    switch (it) {
    case group_role::converged:
        return "converged";
    case group_role::prefill:
        return "prefill";
    case group_role::decode:
        return "decode";
    }
    return "?";
}

} // namespace cedarpoint
