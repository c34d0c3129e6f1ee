#include "cedarpoint/config/plan.h"

#include <algorithm>

namespace cedarpoint {
namespace {

// Each `same` compares two versions of an object in all fields but the id.

bool same(const fabric_domain_spec& a, const fabric_domain_spec& b)
{
    return a.failure_domain == b.failure_domain;
}
bool same(const node_spec& a, const node_spec& b)
{
    return a.fabric_domain == b.fabric_domain && a.accelerators == b.accelerators;
}
bool same(const runner_spec& a, const runner_spec& b)
{
    return a.node == b.node && a.address == b.address && a.checks_epoch == b.checks_epoch &&
           a.slots == b.slots;
}
bool same(const model_spec& a, const model_spec& b)
{
    return a.versions == b.versions && a.adapters == b.adapters;
}
bool same(const pool_spec& a, const pool_spec& b)
{
    return a.model == b.model && a.version == b.version && a.adapters == b.adapters &&
           a.failure_domain == b.failure_domain && a.size == b.size && a.count == b.count &&
           a.role == b.role;
}
/// Compares the ids too: the upstreams of a service are matched by position.
bool same(const upstream_spec& a, const upstream_spec& b)
{
    return a.id == b.id && a.failure_domain == b.failure_domain && a.address == b.address &&
           a.slots == b.slots;
}
bool same(const service_spec& a, const service_spec& b)
{
    return a.path_prefix == b.path_prefix &&
           std::equal(a.upstreams.begin(), a.upstreams.end(), b.upstreams.begin(),
                      b.upstreams.end(), [](const auto& x, const auto& y) { return same(x, y); });
}
bool same(const account_spec& a, const account_spec& b)
{
    return a.key_sha256 == b.key_sha256 && a.weight == b.weight &&
           a.home_failure_domain == b.home_failure_domain && a.priorities == b.priorities &&
           a.max_in_flight == b.max_in_flight && a.requests_per_minute == b.requests_per_minute;
}

/// Appends what was added, changed and removed between two lists of objects, matched by id.
template <class T>
void append_changes(const char* kind, const std::vector<T>& from, const std::vector<T>& to,
                    std::vector<plan_line>& out)
{
    const auto find = [](const std::vector<T>& all, const T& wanted) {
        return std::find_if(all.begin(), all.end(), [&](const T& e) { return e.id == wanted.id; });
    };
    for (const auto& it : to) {
        const auto old = find(from, it);
        if (old == from.end()) {
            out.push_back({"add", std::string{kind} + " " + it.id.str()});
        }
        else if (!same(*old, it)) {
            out.push_back({"change", std::string{kind} + " " + it.id.str()});
        }
    }
    for (const auto& it : from) {
        if (find(to, it) == to.end()) {
            out.push_back({"remove", std::string{kind} + " " + it.id.str()});
        }
    }
}

/// Routes have no id and their order matters, so the lists are compared as a whole.
bool same_routes(const configuration& a, const configuration& b)
{
    return std::equal(a.routes.begin(), a.routes.end(), b.routes.begin(), b.routes.end(),
                      [](const route_spec& x, const route_spec& y) {
                          return x.model == y.model && x.account == y.account && x.pools == y.pools;
                      });
}

} // namespace

std::vector<plan_line> plan_change(const configuration& from, const configuration& to)
{
    std::vector<plan_line> out;
    for (const auto& it : to.failure_domains) {
        if (std::find(from.failure_domains.begin(), from.failure_domains.end(), it) ==
            from.failure_domains.end()) {
            out.push_back({"add", "failure_domain " + it.str()});
        }
    }
    for (const auto& it : from.failure_domains) {
        if (std::find(to.failure_domains.begin(), to.failure_domains.end(), it) ==
            to.failure_domains.end()) {
            out.push_back({"remove", "failure_domain " + it.str()});
        }
    }
    append_changes("fabric_domain", from.fabric_domains, to.fabric_domains, out);
    append_changes("node", from.nodes, to.nodes, out);
    append_changes("runner", from.runners, to.runners, out);
    append_changes("model", from.models, to.models, out);
    append_changes("replica_group", from.pools, to.pools, out);
    append_changes("service", from.services, to.services, out);
    append_changes("client_account", from.accounts, to.accounts, out);
    if (!same_routes(from, to)) {
        out.push_back({"change", "routing_rules"});
    }
    if (from.objectives.group_downtime != to.objectives.group_downtime ||
        from.objectives.stranded_accelerators != to.objectives.stranded_accelerators) {
        out.push_back({"change", "objectives"});
    }
    return out;
}

} // namespace cedarpoint
