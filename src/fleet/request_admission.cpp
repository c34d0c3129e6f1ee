#include "cedarpoint/fleet/request_admission.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// The platform's priorities range from 0 to 9.
constexpr int lowest_engine_priority = 9;
/// Number of route priorities within each account priority. A route priority is not limited to it:
/// 2 equals the next account priority.
constexpr int priorities_per_account_level = 2;

/// Returns the account of a bearer key; null if there is no key or no account has it.
const fleet_account* find_account(const route_table& routes, std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    return authorization.starts_with(scheme)
               ? routes.find_account(authorization.substr(scheme.size()))
               : nullptr;
}

admission refuse_for(admission_refusal why, admission out)
{
    out.refusal = why;
    return out;
}

} // namespace

admission admit(instant now, const route_table* routes, const admission_request& in, double draw)
{
    admission out;
    if (routes == nullptr) {
        return refuse_for(admission_refusal::no_configuration, std::move(out));
    }
    const auto path = in.target.substr(0, in.target.find('?'));
    out.route = routes->find_route(in.host, path);
    if (out.route == nullptr) {
        return refuse_for(admission_refusal::no_route, std::move(out));
    }
    if (routes->configuration().requires_keys) {
        out.account = find_account(*routes, in.authorization);
        if (out.account == nullptr && !out.route->is_public) {
            return refuse_for(admission_refusal::unknown_key, std::move(out));
        }
    }
    out.service = route_table::choose_target(*out.route, draw).service;
    const auto* service = routes->configuration().find_service(out.service);
    if (service != nullptr && service->engine) {
        out.model = model_id{std::string{in.model}};
    }
    const auto limit =
        in.caller_timeout ? std::max(*in.caller_timeout, milliseconds{0}) : out.route->timeout;
    out.deadline = now + std::min(out.route->timeout, limit);
    return out;
}

int engine_priority(const fleet_route& route, const fleet_account* account)
{
    const int account_rank = account == nullptr ? 0 : account->priority;
    return std::clamp(account_rank * priorities_per_account_level + route.priority, 0,
                      lowest_engine_priority);
}

} // namespace cedarpoint
