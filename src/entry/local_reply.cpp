#include "entry/local_reply.h"

#include "cedarpoint/core/http_status.h"

#include <array>

namespace cedarpoint {
namespace {

/// Seconds. Long, since a quarantine lasts until an operator lifts it.
constexpr std::string_view retry_after_quarantine = "3600";
constexpr std::string_view no_retry_after = "";
/// Seconds. Requests with large bodies leave memory within fractions of a second.
constexpr std::string_view retry_after_no_memory = "1";

constexpr std::array<local_reply_spec, 11> specs{{
    {local_reply::no_configuration, http_status::service_unavailable,
     "no configuration is known yet", "no configuration is known yet", short_retry_after},
    {local_reply::no_route, http_status::not_found, "no route", "no route", no_retry_after},
    {local_reply::unknown_key, http_status::unauthorized, "unknown key", "unknown key",
     no_retry_after},
    {local_reply::not_run, http_status::service_unavailable, "not served", "not served",
     short_retry_after},
    {local_reply::outcome_unknown, http_status::bad_gateway, "the runner's answer did not come",
     "the runner's answer did not arrive", no_retry_after},
    {local_reply::expired_not_run, http_status::service_unavailable, "its time is up",
     "deadline exceeded", short_retry_after},
    {local_reply::expired, http_status::gateway_timeout, "its time is up", "deadline exceeded",
     no_retry_after},
    {local_reply::quarantined, http_status::too_many_requests,
     "this request has ended the runners that ran it and is sent to none", "quarantined",
     retry_after_quarantine},
    {local_reply::quarantined_part, http_status::too_many_requests,
     "a part of this prompt has ended the runners that ran it and is sent to none", "quarantined",
     retry_after_quarantine},
    {local_reply::no_memory, http_status::service_unavailable, "not served",
     "no memory for the request's body", retry_after_no_memory},
    {local_reply::stopping, http_status::service_unavailable, "not served",
     "it came too late before the stop", short_retry_after},
}};

} // namespace

const local_reply_spec& spec_of(local_reply kind)
{
    return specs.at(static_cast<std::size_t>(kind));
}

} // namespace cedarpoint
