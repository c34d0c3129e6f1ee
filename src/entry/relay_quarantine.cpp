// Detection of requests, and of parts of their prompts, that crash the runners that run them.

#include "entry/relay.h"

#include "io/clock.h"

#include <fmt/format.h>

#include <utility>

namespace cedarpoint {

const possible_causes& relay::causes()
{
    if (causes_.empty()) {
        const auto& platform = context_.platform;
        causes_.emplace_back(make_fingerprint());
        for (auto& part :
             platform.read_shared_parts(request_->fields.get(platform.headers().prompt_parts))) {
            causes_.emplace_back(prompt_part{admission_.model, std::move(part)});
        }
    }
    return causes_;
}

request_fingerprint relay::make_fingerprint() const
{
    fingerprint_input in;
    if (admission_.account != nullptr) {
        in.account = admission_.account->name.str();
    }
    in.method = request_->method;
    in.host = request_->fields.get("Host");
    in.target = request_->target;
    in.body = request_->body;
    return fingerprint_of(in);
}

std::string relay::describe_fingerprint() const
{
    return causes_.empty() ? std::string{} : describe(causes_.front());
}

std::optional<crash_cause> relay::find_quarantined()
{
    if (!context_.crashes.has_suspects()) {
        return {};
    }
    return context_.crashes.find_quarantined(steady_now(), causes());
}

std::string_view relay::reason_not_to_send()
{
    if (!has_time_to_send(steady_now())) {
        return "too little time is left";
    }
    return find_quarantined() ? "quarantined" : "";
}

void relay::refuse_quarantined(const crash_cause& cause)
{
    const auto why = fmt::format("quarantined: {}", describe(cause));
    if (answer_begun_ || (facts_.may_have_run && !is_repeatable(facts_))) {
        fail_request(why);
        return;
    }
    answer(is_prompt_part(cause) ? local_reply::quarantined_part : local_reply::quarantined, why);
}

bool relay::retry_may_crash_runner(attempt_outcome outcome)
{
    return outcome != attempt_outcome::not_run && context_.crashes.has_suspects() &&
           !context_.crashes.may_retry(causes());
}

void relay::record_attempt_end(const runner_attempt& ended, const attempt_verdict& verdict)
{
    auto& crashes = context_.crashes;
    const auto now = steady_now();
    const bool is_whole = verdict.outcome != attempt_outcome::not_run && ended.is_complete();
    if (is_whole && crashes.needs_answers()) {
        crashes.on_answer(now, causes(),
                          verdict.outcome == attempt_outcome::succeeded ? answer_kind::success
                                                                        : answer_kind::failure);
    }
    const auto* target = context_.targets.find(ended.runner());
    if (!ended.was_cut() || target == nullptr || !target->accepting) {
        return; // the end of a runner that leaves is planned and no crash
    }
    crash_observation seen{target->runner,  ended.sent_at(),     now, {},
                           request_id{id_}, ended.connected_at()};
    if (crashes.on_cut(causes(), std::move(seen))) {
        context_.check_runner_end(target->runner, target->address);
    }
}

} // namespace cedarpoint
