#pragma once

#include "cedarpoint/claims/claim.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/request/refusal.h"

/// Every refusal that the decision code gives to a caller: its code, what it says about whether
/// the request ran, its text and when to try again. Texts and codes are part of the API.
namespace cedarpoint::refusals {

/// @name On arrival; nothing was sent.
/// @{
refusal stopping();
refusal unknown_key();
refusal quarantined();
refusal priority_not_allowed();
refusal deadline_passed_on_arrival();
refusal no_route_for(const model_id& model);
refusal no_service_at_path();
refusal too_many_in_flight();
/// `wait`: until the account may start its next request.
refusal over_rate(milliseconds wait);
/// @}

/// @name Claims of keyed requests.
/// @{
/// For every verdict but `granted`.
refusal not_claimed(claim_verdict verdict);
refusal deadline_passed_while_claiming();
/// @}

/// @name In the queue.
/// @{
refusal queue_full();
/// It was queued, and a request of a higher class took its place.
refusal displaced();
refusal deadline_passed_in_queue();
/// It had no deadline and waited the longest time allowed.
refusal nothing_free_in_time();
/// A part of the answer was passed on already.
refusal no_group_to_resume();
/// @}

/// @name After an attempt that failed.
/// @{
refusal runner_failed();
refusal runner_failed_while_answering();
refusal no_runner_took_it();
/// @}

} // namespace cedarpoint::refusals
