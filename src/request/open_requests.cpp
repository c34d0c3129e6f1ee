#include "cedarpoint/request/open_requests.h"

#include <algorithm>

namespace cedarpoint {

failed_attempt open_request::fail(attempt_end how)
{
    may_have_run = may_have_run || (sending && !proves_not_run(how));
    return {.how = how,
            .attempts = attempts,
            .repeatable = call.repeatable,
            .resumable = facts.streamed && facts.model.has_value(),
            .answered = answered,
            .may_have_run = may_have_run,
            .expires_at = call.expires_at};
}

open_request& open_requests::add(request_facts facts, admitted_call call)
{
    auto& it = requests_[facts.id];
    it = {};
    it.facts = std::move(facts);
    it.call = std::move(call);
    return it;
}

void open_requests::close(const request_id& request)
{
    if (const auto it = requests_.find(request); it != requests_.end()) {
        requests_.erase(it);
    }
}

open_request* open_requests::find(const request_id& request)
{
    const auto it = requests_.find(request);
    return it == requests_.end() ? nullptr : &it->second;
}

void open_requests::begin_attempt(instant now, open_request& it, const runner_id& upstream)
{
    it.began_at = now;
    it.phase = open_request::phase_t::running;
    it.sending = false;
    it.asked_for_pause = false;
    it.attempt = attempt_id{++last_attempt_};
    it.upstream = upstream;
    it.call.query.tried.insert(upstream);
    ++it.attempts;
    attempts_[it.attempt.value] = it.facts.id;
}

open_request* open_requests::find_attempt(attempt_id attempt)
{
    const auto it = attempts_.find(attempt.value);
    return it == attempts_.end() ? nullptr : find(it->second);
}

const open_request* open_requests::find_attempt(attempt_id attempt) const
{
    const auto found = attempts_.find(attempt.value);
    if (found == attempts_.end()) {
        return nullptr;
    }
    const auto it = requests_.find(found->second);
    return it == requests_.end() ? nullptr : &it->second;
}

std::vector<request_id> open_requests::due_for_retry(instant now) const
{
    std::vector<request_id> out;
    for (const auto& [id, it] : requests_) {
        if (it.phase == open_request::phase_t::backing_off && it.retry_at <= now) {
            out.push_back(id);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<request_id> open_requests::not_yet_run() const
{
    std::vector<request_id> out;
    for (const auto& [id, it] : requests_) {
        if (it.phase != open_request::phase_t::running && !it.may_have_run && !it.answered) {
            out.push_back(id);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace cedarpoint
