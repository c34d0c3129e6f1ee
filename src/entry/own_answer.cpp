#include "entry/own_answer.h"

#include "cedarpoint/core/http_status.h"

#include <array>

namespace cedarpoint {
namespace {

/// Seconds. Long, since a quarantine lasts until an operator lifts it.
constexpr std::string_view much_later = "3600";
constexpr std::string_view never = "";

constexpr std::array<own_answer_shape, 8> shapes{{
    {own_answer::no_configuration, http_status::service_unavailable,
     "no configuration is known yet", "no configuration is known yet", retry_soon},
    {own_answer::no_route, http_status::not_found, "no route", "no route", never},
    {own_answer::unknown_key, http_status::unauthorized, "unknown key", "unknown key", never},
    {own_answer::not_run, http_status::service_unavailable, "not served", "not served", retry_soon},
    {own_answer::outcome_unknown, http_status::bad_gateway, "the runner's answer did not come",
     "the runner's answer did not arrive", never},
    {own_answer::expired_unrun, http_status::service_unavailable, "its time is up",
     "deadline exceeded", retry_soon},
    {own_answer::expired, http_status::gateway_timeout, "its time is up", "deadline exceeded",
     never},
    {own_answer::quarantined, http_status::too_many_requests,
     "this request has ended the runners that ran it and is sent to none", "quarantined",
     much_later},
}};

} // namespace

const own_answer_shape& shape_of(own_answer kind)
{
    return shapes.at(static_cast<std::size_t>(kind));
}

} // namespace cedarpoint
