#include "cedarpoint/request/dispatcher.h"

#include "cedarpoint/core/secret.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

constexpr milliseconds short_retry{1000};
constexpr milliseconds claim_retry{2000};

std::string list_candidates(const route_choice& choice)
{
    std::string out;
    for (const auto& it : choice.looked_at) {
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

/// Grows with each attempt; the salt spreads requests that failed together.
duration backoff(int attempts, std::uint64_t salt)
{
    constexpr milliseconds first{100};
    constexpr int most_doublings = 5;
    const auto full = duration{first} * (1 << std::min(attempts - 1, most_doublings));
    const auto part = static_cast<std::int64_t>((salt >> 8U) % 1000);
    return full / 2 + full * part / 2000;
}

refusal claim_refusal(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::running:
        return {error_code::claim_running, run_state::may_have_run,
                "a request with this key is running", claim_retry};
    case claim_verdict::already_ran:
        return {error_code::already_ran, run_state::ran, "the request with this key ran", {}};
    case claim_verdict::unknown_end:
        return {error_code::upstream_failed,
                run_state::may_have_run,
                "an earlier request with this key may have run",
                {}};
    default:
        return {error_code::claim_unavailable, run_state::not_run,
                "the account's home failure domain can't be asked", claim_retry};
    }
}

} // namespace

dispatcher::dispatcher(failure_domain_id home, dispatch_options options)
    : options_{options}, router_{std::move(home)}
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
    pump(now, out);
    return out;
}

const account_spec* dispatcher::authenticate(const std::string& key_digest) const
{
    const account_spec* out = nullptr;
    if (config_ == nullptr) {
        return out;
    }
    for (const auto& it : config_->accounts) {
        if (equal_digest(it.key_sha256, key_digest)) {
            out = &it;
        }
    }
    return out;
}

actions dispatcher::submit(instant now, request_facts facts)
{
    actions out;
    const auto id = facts.id;
    exchange it;
    it.facts = std::move(facts);
    it.since = now;
    if (auto error = prepare(now, it)) {
        out.emplace_back(decision{id, it.account, "refuse", "", "", error->text});
        out.emplace_back(refuse{id, std::move(*error)});
        return out;
    }
    const auto* account = config_->find_account(it.account);
    if (auto error = limits_.admit(now, *account, options_.limit_share)) {
        out.emplace_back(decision{id, it.account, "refuse", "", "", error->text});
        out.emplace_back(refuse{id, std::move(*error)});
        return out;
    }
    budget_.on_first_attempt();
    auto& kept = exchanges_[id] = std::move(it);
    if (!kept.repeatable && !kept.facts.idempotency_key.empty()) {
        kept.at = phase::claiming;
        kept.claimed = true;
        out.emplace_back(ask_claim{id, {kept.account, kept.facts.idempotency_key}, kept.home});
        return out;
    }
    enqueue(now, kept, out);
    pump(now, out);
    return out;
}

std::optional<refusal> dispatcher::prepare(instant now, exchange& it) const
{
    if (stopping_) {
        return refusal{error_code::shutting_down, run_state::not_run, "this daemon is stopping",
                       short_retry};
    }
    const auto* account = authenticate(it.facts.key_digest);
    if (account == nullptr) {
        return refusal{error_code::unauthorized, run_state::not_run, "no account has this key", {}};
    }
    it.account = account->id;
    it.weight = account->weight;
    it.home = account->home_failure_domain;
    it.priority = it.facts.priority.value_or(account->priorities.front());
    const auto& allowed = account->priorities;
    if (std::find(allowed.begin(), allowed.end(), it.priority) == allowed.end()) {
        return refusal{error_code::forbidden_priority,
                       run_state::not_run,
                       "the account may not ask for this priority",
                       {}};
    }
    it.give_up = it.facts.deadline.value_or(now + options_.longest_wait);
    if (it.give_up <= now) {
        return refusal{
            error_code::deadline_passed, run_state::not_run, "the deadline has passed", {}};
    }
    it.query.salt = std::hash<request_id>{}(it.facts.id);
    return it.facts.model ? prepare_model(it) : prepare_service(it);
}

std::optional<refusal> dispatcher::prepare_model(exchange& it) const
{
    const auto& model = *it.facts.model;
    for (const auto& route : config_->routes) {
        if (route.model == model && (!route.account || *route.account == it.account)) {
            it.query.pools = route.pools;
            break;
        }
    }
    if (it.query.pools.empty()) {
        return refusal{error_code::unknown_model,
                       run_state::not_run,
                       "no routing rule serves model \"" + model.str() + "\" to this account",
                       {}};
    }
    it.repeatable = !it.facts.not_repeatable;
    it.query.prefix = it.facts.prefix;
    it.lane = "model " + model.str();
    for (const auto& pool : it.query.pools) {
        it.lane += " " + pool.str(); // accounts with other routes must not hold each other up
    }
    return {};
}

std::optional<refusal> dispatcher::prepare_service(exchange& it) const
{
    const service_spec* best = nullptr;
    for (const auto& service : config_->services) {
        const auto& prefix = service.path_prefix;
        const bool under = it.facts.path.starts_with(prefix) &&
                           (prefix.back() == '/' || it.facts.path.size() == prefix.size() ||
                            it.facts.path[prefix.size()] == '/');
        if (under && (best == nullptr || prefix.size() > best->path_prefix.size())) {
            best = &service;
        }
    }
    if (best == nullptr) {
        return refusal{
            error_code::unknown_path, run_state::not_run, "no service has this path", {}};
    }
    it.repeatable = it.facts.safe_method && !it.facts.not_repeatable;
    it.query.service = best->id;
    it.lane = "service " + best->id.str();
    return {};
}

actions dispatcher::claim_answered(instant now, const request_id& request, claim_verdict verdict)
{
    actions out;
    const auto found = exchanges_.find(request);
    const bool waits = found != exchanges_.end() && found->second.at == phase::claiming;
    if (!waits) {
        return out;
    }
    auto& it = found->second;
    if (verdict != claim_verdict::granted) {
        // "Unavailable" may hide a grant whose answer was lost: nothing is sent, so say so.
        it.claimed = verdict == claim_verdict::unavailable;
        give_up(request, claim_refusal(verdict), out);
        return out;
    }
    if (now >= it.give_up) {
        give_up(request,
                {error_code::deadline_passed, run_state::not_run, "the deadline passed", {}}, out);
        return out;
    }
    enqueue(now, it, out);
    pump(now, out);
    return out;
}

void dispatcher::enqueue(instant now, exchange& it, actions& out)
{
    it.at = phase::queued;
    auto& lane = lanes_[it.lane];
    const waiting entry{it.facts.id, it.account, it.weight, it.priority, now, it.give_up};
    if (lane.push(entry)) {
        return;
    }
    if (const auto victim = lane.shed(it.priority)) {
        lane.remove(*victim, false);
        give_up(*victim,
                {error_code::queue_full, run_state::not_run,
                 "gave its place to a request of a higher class", short_retry},
                out);
        if (lane.push(entry)) {
            return;
        }
    }
    give_up(it.facts.id,
            {error_code::queue_full, run_state::not_run, "the queue is full", short_retry}, out);
}

void dispatcher::pump(instant now, actions& out)
{
    for (auto& [name, lane] : lanes_) {
        pump_lane(now, lane, out);
    }
}

void dispatcher::pump_lane(instant now, wait_queue& lane, actions& out)
{
    while (const auto next = lane.next(now)) {
        auto& it = exchanges_.at(*next);
        if (!try_start(now, it, out)) {
            return;
        }
        lane.remove(*next, true);
    }
}

bool dispatcher::try_start(instant now, exchange& it, actions& out)
{
    if (it.facts.session && it.facts.model) {
        it.query.session_at = sessions_.find(it.account, *it.facts.session);
    }
    auto choice = router_.choose(now, it.query);
    if (choice.chosen == nullptr && !it.query.tried.empty()) {
        it.query.tried.clear(); // nothing else is free: one that failed may be back
        choice = router_.choose(now, it.query);
    }
    if (choice.chosen == nullptr) {
        return false;
    }
    const auto& place = *choice.chosen;
    it.at = phase::running;
    it.sending = false;
    it.attempt = attempt_id{++last_attempt_};
    it.upstream = place.upstream;
    it.query.tried.insert(place.upstream);
    ++it.attempts;
    attempts_[it.attempt.value] = it.facts.id;
    std::string why = choice.reason;
    if (place.group && it.facts.session &&
        sessions_.place(now, it.account, *it.facts.session, *place.group)) {
        why += ", session moved";
    }
    out.emplace_back(decision{it.facts.id, it.account, it.events > 0 ? "resume" : "route",
                              name_of(place), list_candidates(choice), why});
    out.emplace_back(start_attempt{it.facts.id, it.attempt, place.upstream, place.address,
                                   place.assignment, it.priority, it.events});
    router_.on_dispatch(now, place, it.query.prefix);
    return true;
}

void dispatcher::attempt_sending(attempt_id attempt)
{
    if (auto* it = find_attempt(attempt)) {
        it->sending = true;
    }
}

void dispatcher::attempt_answering(attempt_id attempt)
{
    if (auto* it = find_attempt(attempt)) {
        it->answered = true;
    }
}

void dispatcher::attempt_event(attempt_id attempt)
{
    if (auto* it = find_attempt(attempt)) {
        ++it->events;
    }
}

bool dispatcher::wants_server_error(attempt_id attempt) const
{
    const auto* it = find_attempt(attempt);
    return it != nullptr && it->repeatable && it->attempts < options_.max_attempts;
}

actions dispatcher::attempt_ended(instant now, attempt_id attempt, attempt_end how)
{
    actions out;
    auto* it = find_attempt(attempt);
    if (it == nullptr) {
        return out;
    }
    attempts_.erase(attempt.value);
    const bool failed = how != attempt_end::complete && how != attempt_end::refused;
    router_.on_end(now, it->upstream, failed);
    if (how == attempt_end::complete) {
        out.emplace_back(
            decision{it->facts.id, it->account, "end", it->upstream.str(), "", "complete"});
        close(it->facts.id, claim_outcome::ran, out);
    }
    else {
        after_failure(now, *it, how, out);
    }
    pump(now, out);
    return out;
}

void dispatcher::after_failure(instant now, exchange& it, attempt_end how, actions& out)
{
    const bool nothing_ran = how == attempt_end::unsent || how == attempt_end::refused;
    it.sent = it.sent || (it.sending && !nothing_ran);
    const bool resumable = it.facts.streamed && it.facts.model.has_value();
    const bool may_repeat = (nothing_ran || it.repeatable) && (!it.answered || resumable);
    const bool in_time = now < it.give_up || it.answered;
    if (may_repeat && in_time && it.attempts < options_.max_attempts && budget_.take()) {
        retry(now, it, out);
        return;
    }
    refusal error{error_code::upstream_failed, run_state::may_have_run, "the runner failed", {}};
    if (it.answered) {
        error = {
            error_code::answer_cut, run_state::ran_cut, "the runner failed during the answer", {}};
    }
    else if (!it.sent) {
        error = {error_code::no_group, run_state::not_run, "no runner took the request",
                 short_retry};
    }
    give_up(it.facts.id, std::move(error), out);
}

void dispatcher::retry(instant now, exchange& it, actions& out)
{
    if (it.answered) {
        it.give_up = std::max(it.give_up, now + options_.longest_wait);
    }
    const bool elsewhere = router_.choose(now, it.query).chosen != nullptr;
    it.retry_at = elsewhere ? now : now + backoff(it.attempts, it.query.salt);
    it.at = phase::backing_off;
    out.emplace_back(decision{
        it.facts.id, it.account, "retry", "", "",
        fmt::format("{} failed, again in {} ms", it.upstream.str(), to_ms(it.retry_at - now))});
    if (elsewhere) {
        enqueue(now, it, out);
    }
}

actions dispatcher::caller_gone(instant now, const request_id& request)
{
    actions out;
    const auto found = exchanges_.find(request);
    if (found == exchanges_.end()) {
        return out;
    }
    auto& it = found->second;
    if (it.at == phase::running) {
        attempts_.erase(it.attempt.value);
        router_.on_end(now, it.upstream, false);
        out.emplace_back(cancel_attempt{it.attempt});
    }
    out.emplace_back(
        decision{request, it.account, "end", it.upstream.str(), "", "the caller went away"});
    close(request, it.sent || it.sending ? claim_outcome::may_have_run : claim_outcome::not_run,
          out);
    pump(now, out);
    return out;
}

actions dispatcher::tick(instant now)
{
    actions out;
    for (auto& [name, lane] : lanes_) {
        for (const auto& request : lane.expire(now)) {
            const auto& it = exchanges_.at(request);
            refusal error{error_code::no_group, run_state::not_run,
                          "nothing could serve it in time", short_retry};
            if (it.facts.deadline) {
                error = {error_code::deadline_passed,
                         run_state::not_run,
                         "the deadline passed in the queue",
                         {}};
            }
            if (it.answered) {
                error = {error_code::answer_cut,
                         run_state::ran_cut,
                         "no group could go on with the answer",
                         {}};
            }
            else if (it.sent) {
                error.ran = run_state::may_have_run;
            }
            give_up(request, std::move(error), out);
        }
    }
    end_backoff(now, out);
    sessions_.expire(now);
    pump(now, out);
    return out;
}

void dispatcher::end_backoff(instant now, actions& out)
{
    std::vector<request_id> due;
    for (const auto& [id, it] : exchanges_) {
        if (it.at == phase::backing_off && it.retry_at <= now) {
            due.push_back(id);
        }
    }
    std::sort(due.begin(), due.end());
    for (const auto& id : due) {
        enqueue(now, exchanges_.at(id), out);
    }
}

actions dispatcher::begin_stop(instant now)
{
    actions out;
    stopping_ = true;
    std::vector<request_id> waiting_ones;
    for (const auto& [id, it] : exchanges_) {
        if (it.at != phase::running && !it.sent && !it.answered) {
            waiting_ones.push_back(id);
        }
    }
    std::sort(waiting_ones.begin(), waiting_ones.end());
    for (const auto& id : waiting_ones) {
        give_up(
            id,
            {error_code::shutting_down, run_state::not_run, "this daemon is stopping", short_retry},
            out);
    }
    pump(now, out);
    return out;
}

void dispatcher::give_up(const request_id& request, refusal error, actions& out)
{
    const auto& it = exchanges_.at(request);
    out.emplace_back(decision{request, it.account, "refuse", "", "", error.text});
    const auto outcome = it.sent ? claim_outcome::may_have_run : claim_outcome::not_run;
    out.emplace_back(refuse{request, std::move(error)});
    close(request, outcome, out);
}

void dispatcher::close(const request_id& request, claim_outcome outcome, actions& out)
{
    const auto found = exchanges_.find(request);
    auto& it = found->second;
    if (it.claimed) {
        out.emplace_back(
            end_claim{request, {it.account, it.facts.idempotency_key}, it.home, outcome});
    }
    if (it.at == phase::queued) {
        lanes_[it.lane].remove(request, false);
    }
    limits_.release(it.account);
    exchanges_.erase(found);
}

std::size_t dispatcher::queued() const
{
    std::size_t n = 0;
    for (const auto& [name, lane] : lanes_) {
        n += lane.size();
    }
    return n;
}

const dispatcher::exchange* dispatcher::find_attempt(attempt_id attempt) const
{
    const auto found = attempts_.find(attempt.value);
    if (found == attempts_.end()) {
        return nullptr;
    }
    const auto it = exchanges_.find(found->second);
    return it == exchanges_.end() ? nullptr : &it->second;
}

dispatcher::exchange* dispatcher::find_attempt(attempt_id attempt)
{
    return const_cast<exchange*>(std::as_const(*this).find_attempt(attempt));
}

} // namespace cedarpoint
