#include "cedarpoint/request/dispatcher.h"

#include "cedarpoint/request/refusals.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

std::string list_candidates(const route_choice& choice)
{
    std::string out;
    for (const auto& it : choice.candidates) {
        if (!out.empty()) {
            out += ' ';
        }
        const auto& name = it.place->group ? it.place->group->str() : it.place->upstream.str();
        out += it.note.empty() ? fmt::format("{}:{:.3f}", name, it.score)
                               : fmt::format("{}:{}", name, it.note);
    }
    return out;
}

std::string name_of(const target& it)
{
    return it.group ? it.group->str() : it.upstream.str();
}

} // namespace

dispatcher::dispatcher(failure_domain_id home, dispatch_options options)
    : options_{options}, router_{std::move(home), options.permits}
{
}

void dispatcher::set_configuration(std::shared_ptr<const configuration> config)
{
    config_ = std::move(config);
}

actions dispatcher::set_targets(instant now, target_table all)
{
    actions out;
    router_.set_targets(std::move(all));
    start_queued(now, out);
    return out;
}

const account_spec* dispatcher::authenticate(const std::string& key_digest) const
{
    return find_account_by_key(config_.get(), key_digest);
}

actions dispatcher::submit(instant now, request_facts facts)
{
    actions out;
    const auto id = facts.id;
    auto verdict = stopping_ ? caller_verdict{refused_call{{}, refusals::stopping()}}
                             : admit_caller(now, facts, config_.get(), options_.longest_wait);
    const bool is_quarantined =
        facts.fingerprint && crashes_.is_quarantined(now, {*facts.fingerprint});
    if (auto* call = std::get_if<admitted_call>(&verdict); call != nullptr && is_quarantined) {
        verdict = refused_call{call->account, refusals::quarantined()};
    }
    else if (call != nullptr) {
        const auto& account = *config_->find_account(call->account);
        if (auto error = limits_.admit(now, account, options_.limit_share)) {
            verdict = refused_call{account.id, std::move(*error)};
        }
    }
    if (auto* it = std::get_if<refused_call>(&verdict)) {
        out.emplace_back(decision{id, it->account, "refuse", "", "", it->error.text});
        out.emplace_back(refuse{id, std::move(it->error)});
        return out;
    }
    budget_.on_first_attempt();
    auto& it = open_.add(std::move(facts), std::get<admitted_call>(std::move(verdict)));
    if (!it.call.repeatable && !it.facts.idempotency_key.empty()) {
        it.phase = open_request::phase_t::claiming;
        it.claimed = true;
        out.emplace_back(ask_claim{id, {it.call.account, it.facts.idempotency_key}, it.call.home});
        return out;
    }
    enqueue(now, it, out);
    start_queued(now, out);
    return out;
}

actions dispatcher::claim_answered(instant now, const request_id& request, claim_verdict verdict)
{
    actions out;
    auto* found = open_.find(request);
    if (found == nullptr || found->phase != open_request::phase_t::claiming) {
        return out;
    }
    auto& it = *found;
    if (verdict != claim_verdict::granted) {
        // After `unavailable` the claim may have been granted and the answer lost. Nothing was
        // sent to a runner, so the claim is ended as not run.
        it.claimed = verdict == claim_verdict::unavailable;
        refuse_request(request, refusals::not_claimed(verdict), out);
        return out;
    }
    if (now >= it.call.expires_at) {
        refuse_request(request, refusals::deadline_passed_while_claiming(), out);
        return out;
    }
    enqueue(now, it, out);
    start_queued(now, out);
    return out;
}

void dispatcher::enqueue(instant now, open_request& it, actions& out)
{
    const auto& call = it.call;
    it.phase = open_request::phase_t::queued;
    auto& queue = queues_[call.queue_key];
    const waiting entry{it.facts.id,   call.account, call.weight,
                        call.priority, now,          call.expires_at};
    if (queue.push(entry)) {
        return;
    }
    if (const auto victim = queue.find_victim(call.priority)) {
        queue.remove(*victim, false);
        refuse_queued_request(*victim, refusals::displaced(), out);
        if (queue.push(entry)) {
            return;
        }
    }
    refuse_queued_request(it.facts.id, refusals::queue_full(), out);
}

/// Starts queued requests, queue by queue, until the next one in each queue has no target.
void dispatcher::start_queued(instant now, actions& out)
{
    for (auto& [name, queue] : queues_) {
        while (const auto next = queue.next(now)) {
            if (!try_start(now, open_.at(*next), out)) {
                break;
            }
            queue.remove(*next, true);
        }
    }
}

bool dispatcher::try_start(instant now, open_request& it, actions& out)
{
    auto& query = it.call.query;
    if (it.facts.session && it.facts.model) {
        query.session_at = sessions_.find(it.call.account, *it.facts.session);
    }
    auto choice = router_.choose(now, query);
    if (choice.chosen == nullptr && !query.tried.empty()) {
        query.tried.clear(); // no other target is free: one that failed may work again
        choice = router_.choose(now, query);
    }
    if (choice.chosen == nullptr) {
        return false;
    }
    const auto& place = *choice.chosen;
    open_.begin_attempt(now, it, place.upstream);
    it.address = place.address;
    it.leaving = place.draining;
    std::string why = choice.reason;
    if (place.group && it.facts.session &&
        sessions_.place(now, it.call.account, *it.facts.session, *place.group)) {
        why += ", session moved";
    }
    out.emplace_back(decision{it.facts.id, it.call.account, it.events > 0 ? "resume" : "route",
                              name_of(place), list_candidates(choice), why});
    out.emplace_back(start_attempt{it.facts.id, it.attempt, place.upstream, place.address,
                                   place.assignment, it.call.priority, it.events});
    router_.on_dispatch(now, place, query.prefix);
    return true;
}

void dispatcher::attempt_sending(attempt_id attempt)
{
    if (auto* it = open_.find_attempt(attempt)) {
        it->sending = true;
    }
}

void dispatcher::attempt_answering(attempt_id attempt)
{
    if (auto* it = open_.find_attempt(attempt)) {
        it->answered = true;
    }
}

new_signals dispatcher::attempt_signals(instant now, attempt_id attempt, const answer_signals& in)
{
    auto* it = open_.find_attempt(attempt);
    if (it == nullptr) {
        return {};
    }
    it->asked_for_pause = in.asks_for_pause();
    return router_.on_signals(now, it->upstream, in, it->began_at);
}

void dispatcher::attempt_event(attempt_id attempt)
{
    if (auto* it = open_.find_attempt(attempt)) {
        ++it->events;
    }
}

bool dispatcher::must_report_server_error(attempt_id attempt) const
{
    const auto* it = open_.find_attempt(attempt);
    return it != nullptr && it->call.repeatable && it->attempts < options_.max_attempts;
}

actions dispatcher::attempt_ended(instant now, attempt_id attempt, attempt_end how)
{
    actions out;
    auto* it = open_.find_attempt(attempt);
    if (it == nullptr) {
        return out;
    }
    open_.end_attempt(attempt);
    record_attempt_end(now, *it, how, out);
    const bool failed = how != attempt_end::complete && how != attempt_end::refused &&
                        !it->asked_for_pause; // a runner that asks for a pause works
    router_.on_end(now, it->upstream, failed);
    if (how == attempt_end::complete) {
        out.emplace_back(
            decision{it->facts.id, it->call.account, "end", it->upstream.str(), "", "complete"});
        close(it->facts.id, claim_outcome::ran, out);
    }
    else {
        handle_failure(now, *it, how, out);
    }
    start_queued(now, out);
    return out;
}

void dispatcher::handle_failure(instant now, open_request& it, attempt_end how, actions& out)
{
    const auto failed = it.fail(how);
    const auto step = step_after(now, failed, options_.max_attempts);
    if (step == failure_step::refuse || retry_may_crash_runner(it, how) || !budget_.take()) {
        refuse_request(it.facts.id, refusal_after(failed), out);
        return;
    }
    if (step == failure_step::resume) {
        it.call.expires_at = std::max(it.call.expires_at, now + options_.longest_wait);
    }
    const bool has_other_target = router_.choose(now, it.call.query).chosen != nullptr;
    it.retry_at = has_other_target ? now : now + retry_pause(it.attempts, it.call.query.salt);
    it.phase = open_request::phase_t::backing_off;
    out.emplace_back(decision{
        it.facts.id, it.call.account, "retry", "", "",
        fmt::format("{} failed, again in {} ms", it.upstream.str(), to_ms(it.retry_at - now))});
    if (has_other_target) {
        enqueue(now, it, out);
    }
}

void dispatcher::record_attempt_end(instant now, const open_request& it, attempt_end how,
                                    actions& out)
{
    if (!it.facts.fingerprint) {
        return;
    }
    // A request of this form names no parts of its prompt.
    const possible_causes causes{*it.facts.fingerprint};
    if (how == attempt_end::complete || how == attempt_end::server_error) {
        crashes_.on_answer(now, causes,
                           how == attempt_end::complete ? answer_kind::success
                                                        : answer_kind::failure);
    }
    if (how != attempt_end::cut || it.leaving) {
        return; // a leaving runner ends as planned
    }
    const bool is_first =
        crashes_.on_cut(causes, {it.upstream, it.began_at, now, {}, it.facts.id, it.began_at});
    if (is_first) {
        out.emplace_back(check_runner{it.upstream, it.address});
    }
}

bool dispatcher::retry_may_crash_runner(const open_request& it, attempt_end how) const
{
    return !proves_not_run(how) && it.facts.fingerprint &&
           !crashes_.may_retry({*it.facts.fingerprint});
}

crash_histories dispatcher::runner_checked(instant now, const runner_id& runner, bool refused)
{
    return crashes_.on_address_checked(now, runner, refused);
}

actions dispatcher::caller_gone(instant now, const request_id& request)
{
    actions out;
    const auto* it = open_.find(request);
    if (it == nullptr) {
        return out;
    }
    if (it->phase == open_request::phase_t::running) {
        open_.end_attempt(it->attempt);
        router_.on_end(now, it->upstream, false);
        out.emplace_back(cancel_attempt{it->attempt});
    }
    out.emplace_back(
        decision{request, it->call.account, "end", it->upstream.str(), "", "the caller went away"});
    close(request,
          it->may_have_run || it->sending ? claim_outcome::may_have_run : claim_outcome::not_run,
          out);
    start_queued(now, out);
    return out;
}

actions dispatcher::tick(instant now)
{
    actions out;
    for (auto& [name, queue] : queues_) {
        for (const auto& request : queue.expire(now)) {
            const bool has_deadline = open_.at(request).facts.deadline.has_value();
            refuse_queued_request(request,
                                  has_deadline ? refusals::deadline_passed_in_queue()
                                               : refusals::no_capacity_in_time(),
                                  out);
        }
    }
    for (const auto& request : open_.due_for_retry(now)) {
        enqueue(now, open_.at(request), out);
    }
    sessions_.expire(now);
    start_queued(now, out);
    return out;
}

actions dispatcher::begin_stop(instant now)
{
    actions out;
    stopping_ = true;
    for (const auto& request : open_.not_yet_run()) {
        refuse_request(request, refusals::stopping(), out);
    }
    start_queued(now, out);
    return out;
}

void dispatcher::refuse_request(const request_id& request, refusal error, actions& out)
{
    const auto& it = open_.at(request);
    out.emplace_back(decision{request, it.call.account, "refuse", "", "", error.text});
    const auto outcome = it.may_have_run ? claim_outcome::may_have_run : claim_outcome::not_run;
    out.emplace_back(refuse{request, std::move(error)});
    close(request, outcome, out);
}

void dispatcher::refuse_queued_request(const request_id& request, refusal why, actions& out)
{
    const auto& it = open_.at(request);
    refuse_request(request, refusal_in_queue(std::move(why), {it.answered, it.may_have_run}), out);
}

/// Ends an admitted request: ends its claim and releases its place in the queue and its account's
/// usage.
void dispatcher::close(const request_id& request, claim_outcome outcome, actions& out)
{
    const auto& it = open_.at(request);
    if (it.claimed) {
        out.emplace_back(
            end_claim{request, {it.call.account, it.facts.idempotency_key}, it.call.home, outcome});
    }
    if (it.phase == open_request::phase_t::queued) {
        queues_[it.call.queue_key].remove(request, false);
    }
    limits_.release(it.call.account);
    open_.close(request);
}

std::size_t dispatcher::queued() const
{
    std::size_t n = 0;
    for (const auto& [name, queue] : queues_) {
        n += queue.size();
    }
    return n;
}

} // namespace cedarpoint
