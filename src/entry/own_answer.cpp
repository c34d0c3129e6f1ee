#include "entry/own_answer.h"

#include "cedarpoint/core/http_status.h"

#include <array>

namespace cedarpoint {
namespace {

constexpr std::array<own_answer_shape, 7> shapes{{
    {own_answer::no_configuration, http_status::service_unavailable,
     "no configuration is known yet", "no configuration is known yet", true},
    {own_answer::no_route, http_status::not_found, "no route", "no route", false},
    {own_answer::unknown_key, http_status::unauthorized, "unknown key", "unknown key", false},
    {own_answer::not_run, http_status::service_unavailable, "not served", "not served", true},
    {own_answer::outcome_unknown, http_status::bad_gateway, "the runner's answer did not come",
     "the runner's answer did not arrive", false},
    {own_answer::expired_unrun, http_status::service_unavailable, "its time is up",
     "deadline exceeded", true},
    {own_answer::expired, http_status::gateway_timeout, "its time is up", "deadline exceeded",
     false},
}};

} // namespace

const own_answer_shape& shape_of(own_answer kind)
{
    return shapes.at(static_cast<std::size_t>(kind));
}

} // namespace cedarpoint
