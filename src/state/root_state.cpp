#include "cedarpoint/state/root_state.h"

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/hash.h"

namespace cedarpoint {

change_outcome root_state::answer_resend(const wire::change_answer& first, std::uint64_t hash) const
{
    if (first.text_hash() != hash) {
        return {change_verdict::reused_id, {}, {first.revision()}, {}, {}};
    }
    if (first.revision() > 0) {
        return {change_verdict::accepted, {first.revision()}, {}, {}, {}};
    }
    return {change_verdict::conflict, {}, {first.conflict_with()}, {}, {}};
}

change_outcome root_state::apply(const wire::config_change& change)
{
    const auto hash = hash_of(change.text());
    if (const auto* first = answer_of(change.change_id())) {
        return answer_resend(*first, hash);
    }
    faults found;
    if (!configuration::parse(change.text(), found)) {
        return {change_verdict::invalid, {}, {}, {}, std::move(found)};
    }
    wire::change_answer answer;
    answer.set_change_id(change.change_id());
    answer.set_text_hash(hash);
    if (change.based_on() != accepted_.revision()) {
        answer.set_conflict_with(accepted_.revision());
        store_answer(std::move(answer));
        return {change_verdict::conflict, {}, in_force(), change_id{accepted_.change_id()}, {}};
    }
    accepted_.set_revision(accepted_.revision() + 1);
    accepted_.set_change_id(change.change_id());
    accepted_.set_text(change.text());
    answer.set_revision(accepted_.revision());
    store_answer(std::move(answer));
    return {change_verdict::accepted, in_force(), {}, {}, {}};
}

const wire::change_answer* root_state::answer_of(const std::string& change) const
{
    const auto it = answers_.find(change);
    return it == answers_.end() ? nullptr : &it->second;
}

void root_state::store_answer(wire::change_answer answer)
{
    order_.push_back(answer.change_id());
    answers_[answer.change_id()] = std::move(answer);
    if (order_.size() > kept_answers) {
        answers_.erase(order_.front());
        order_.pop_front();
    }
}

std::string root_state::save() const
{
    wire::root_snapshot out;
    *out.mutable_configuration() = accepted_;
    for (const auto& id : order_) {
        *out.add_answers() = answers_.at(id);
    }
    return out.SerializeAsString();
}

bool root_state::restore(const std::string& bytes)
{
    wire::root_snapshot in;
    if (!in.ParseFromString(bytes)) {
        return false;
    }
    root_state next;
    next.accepted_ = in.configuration();
    for (const auto& it : in.answers()) {
        next.store_answer(it);
    }
    *this = std::move(next);
    return true;
}

} // namespace cedarpoint
