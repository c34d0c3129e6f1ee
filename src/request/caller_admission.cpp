#include "cedarpoint/request/caller_admission.h"

#include "cedarpoint/core/secret.h"
#include "cedarpoint/request/refusals.h"

#include <algorithm>
#include <optional>

namespace cedarpoint {
namespace {

/// Routes by the first rule that matches the model and the account.
std::optional<refusal> route_model(const request_facts& facts, const configuration& config,
                                   admitted_call& call)
{
    const auto& model = *facts.model;
    const auto rule =
        std::find_if(config.routes.begin(), config.routes.end(), [&](const route_spec& it) {
            return it.model == model && (!it.account || *it.account == call.account);
        });
    if (rule == config.routes.end() || rule->pools.empty()) {
        return refusals::no_route_for(model);
    }
    call.query.pools = rule->pools;
    call.query.prefix = facts.prefix;
    call.repeatable = !facts.not_repeatable;
    call.queue_key = "model " + model.str();
    for (const auto& pool : call.query.pools) {
        // Requests with different routes must not block each other.
        call.queue_key += " " + pool.str();
    }
    return {};
}

/// Returns true if `prefix` matches `path` by whole segments: "/shop" matches "/shop" and
/// "/shop/a", but not "/shopping".
bool is_under(const std::string& path, const std::string& prefix)
{
    return path.starts_with(prefix) &&
           (prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// Routes to the service with the longest matching path prefix.
std::optional<refusal> route_service(const request_facts& facts, const configuration& config,
                                     admitted_call& call)
{
    const service_spec* best = nullptr;
    for (const auto& it : config.services) {
        if (is_under(facts.path, it.path_prefix) &&
            (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return refusals::no_service_at_path();
    }
    call.query.service = best->id;
    call.repeatable = facts.safe_method && !facts.not_repeatable;
    call.queue_key = "service " + best->id.str();
    return {};
}

} // namespace

const account_spec* find_account_by_key(const configuration* config, const std::string& key_digest)
{
    const account_spec* out = nullptr;
    if (config == nullptr) {
        return out;
    }
    for (const auto& it : config->accounts) {
        if (equal_digest(it.key_sha256, key_digest)) {
            out = &it;
        }
    }
    return out;
}

caller_verdict admit_caller(instant now, const request_facts& facts, const configuration* config,
                            duration longest_wait)
{
    const auto* account = find_account_by_key(config, facts.key_digest);
    if (account == nullptr) {
        return refused_call{{}, refusals::unknown_key()};
    }
    admitted_call call;
    call.account = account->id;
    call.weight = account->weight;
    call.home = account->home_failure_domain;
    const auto& allowed = account->priorities;
    call.priority = facts.priority.value_or(allowed.front());
    if (std::find(allowed.begin(), allowed.end(), call.priority) == allowed.end()) {
        return refused_call{call.account, refusals::priority_not_allowed()};
    }
    call.expires_at = facts.deadline.value_or(now + longest_wait);
    if (call.expires_at <= now) {
        return refused_call{call.account, refusals::deadline_passed_on_arrival()};
    }
    call.query.salt = std::hash<request_id>{}(facts.id);
    auto error =
        facts.model ? route_model(facts, *config, call) : route_service(facts, *config, call);
    if (error) {
        return refused_call{call.account, std::move(*error)};
    }
    return call;
}

} // namespace cedarpoint
