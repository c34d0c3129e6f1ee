// Detection of requests that crash the runners that run them.

#include "entry/relay.h"

#include "io/clock.h"

#include <utility>

namespace cedarpoint {

const request_fingerprint& relay::fingerprint()
{
    if (!fingerprint_) {
        fingerprint_input in;
        if (admission_.account != nullptr) {
            in.account = admission_.account->name.str();
        }
        in.method = request_.method;
        in.host = request_.fields.get("Host");
        in.target = request_.target;
        in.body = request_.body;
        fingerprint_ = fingerprint_of(in);
    }
    return *fingerprint_;
}

bool relay::is_quarantined()
{
    return context_.crashes.has_suspects() &&
           context_.crashes.is_quarantined(steady_now(), fingerprint());
}

bool relay::retry_may_crash_runner(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::not_run) {
        return is_quarantined();
    }
    return context_.crashes.has_suspects() && !context_.crashes.may_retry(fingerprint());
}

void relay::record_attempt_end(const attempt_verdict& verdict)
{
    auto& crashes = context_.crashes;
    const auto now = steady_now();
    const bool is_whole = verdict.outcome != attempt_outcome::not_run && attempt_->is_complete();
    if (is_whole && crashes.needs_answers()) {
        crashes.on_answer(now, fingerprint());
    }
    const auto* target = context_.targets.find(attempt_->runner());
    if (!attempt_->was_cut() || target == nullptr || !target->accepting) {
        return; // the end of a runner that leaves is planned and no crash
    }
    crash_observation seen{target->runner,  attempt_->sent_at(),     now, {},
                           request_id{id_}, attempt_->connected_at()};
    if (crashes.on_cut(fingerprint(), std::move(seen))) {
        context_.check_runner_end(target->runner, target->address);
    }
}

} // namespace cedarpoint
