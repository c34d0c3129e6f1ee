#pragma once

#include "cedarpoint/claims/claim.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/request/refusal.h"

/// All refusals that the decision code returns to callers, each with code, run state, text and
/// retry hint. Codes and texts are part of the API.
namespace cedarpoint::refusals {

/// @name On arrival, before anything is sent.
/// @{
refusal stopping();
refusal unknown_key();
refusal quarantined();
refusal priority_not_allowed();
refusal deadline_passed_on_arrival();
refusal no_route_for(const model_id& model);
refusal no_service_at_path();
refusal too_many_in_flight();
/// `wait` is the time until the account may start its next request.
refusal over_rate(milliseconds wait);
/// @}

/// @name Claims of keyed requests.
/// @{
/// For every verdict except `granted`.
refusal not_claimed(claim_verdict verdict);
refusal deadline_passed_while_claiming();
/// @}

/// @name In the queue.
/// @{
refusal queue_full();
/// A request of a higher class took its place in the queue.
refusal displaced();
refusal deadline_passed_in_queue();
/// For a request without a deadline that waited for the longest time allowed.
refusal no_capacity_in_time();
/// For a request with part of its response already passed to the caller.
refusal no_group_to_resume();
/// @}

/// @name After a failed attempt.
/// @{
refusal runner_failed();
refusal runner_failed_while_answering();
refusal no_runner_accepted();
/// @}

} // namespace cedarpoint::refusals
