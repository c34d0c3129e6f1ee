#include "cedarpoint/control/log_client.h"

namespace cedarpoint {

void log_client::submit(instant now, const std::string& log, const wire::command& command,
                        duration limit, answer_handler done)
{
    const auto id = ++last_call_;
    calls_[id] = {log, command.SerializeAsString(), std::move(done), now + limit, now, 0, {}};
    try_call(now, id);
}

void log_client::try_call(instant now, std::uint64_t id)
{
    auto& it = calls_.at(id);
    it.resend_at = now + retry_interval;
    const auto on_local_answer = [this, id](std::optional<std::string> bytes) {
        wire::command_answer answer;
        if (bytes && answer.ParseFromString(*bytes)) {
            end(id, std::move(answer));
        }
    };
    if (hooks_.propose_locally(now, it.log, it.command, on_local_answer)) {
        return;
    }
    const auto all = hooks_.daemons_of(it.log);
    if (all.empty()) {
        return;
    }
    const auto to =
        it.redirect_to.empty() ? all[it.turn++ % all.size()] : std::exchange(it.redirect_to, {});
    wire::envelope out;
    out.mutable_submit()->set_log(it.log);
    out.mutable_submit()->set_call(id);
    out.mutable_submit()->set_command(it.command);
    hooks_.send(to, std::move(out));
}

void log_client::on_answer(instant now, const wire::submit_answer& in)
{
    const auto found = calls_.find(in.call());
    if (found == calls_.end()) {
        return;
    }
    if (!in.applied()) {
        auto& it = found->second;
        if (!in.leader().empty() && it.redirects < max_redirects) {
            ++it.redirects;
            it.redirect_to = daemon_id{in.leader()};
            try_call(now, in.call());
        }
        return;
    }
    wire::command_answer answer;
    if (answer.ParseFromString(in.answer())) {
        end(in.call(), std::move(answer));
    }
}

void log_client::tick(instant now)
{
    std::vector<std::uint64_t> late;
    std::vector<std::uint64_t> due;
    for (const auto& [id, it] : calls_) {
        if (now >= it.deadline) {
            late.push_back(id);
        }
        else if (now >= it.resend_at) {
            due.push_back(id);
        }
    }
    for (const auto id : late) {
        end(id, {});
    }
    for (const auto id : due) {
        if (const auto found = calls_.find(id); found != calls_.end()) {
            found->second.redirects = 0;
            try_call(now, id);
        }
    }
}

void log_client::end(std::uint64_t id, std::optional<wire::command_answer> answer)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    calls_.erase(found);
    if (done) {
        done(std::move(answer));
    }
}

} // namespace cedarpoint
