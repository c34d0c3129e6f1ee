// The storage ids of voters: which one a member has, and which one the log lists for a voter.

#include "consensus/raft_node_priv.h"

namespace cedarpoint {

bool raft_node::is_first_start() const
{
    return options_.start == start_mode::first && hard_.term() == 0 && last_index() == 0;
}

void raft_node::choose_storage(std::uint64_t seed)
{
    if (is_first_start()) {
        hard_.set_storage(static_cast<std::uint64_t>(first_storage));
        hard_.set_whole(true);
        save_hard_state();
        return;
    }
    const bool may_have_lost_state = !hard_.whole() && own_storage() == first_storage;
    if (!may_have_lost_state) {
        return;
    }
    std::mt19937_64 source{~seed}; // separate from the generator of the timeouts
    std::uniform_int_distribution<std::uint64_t> any{1};
    hard_.set_storage(any(source));
    save_hard_state();
}

std::optional<storage_id> raft_node::admitted_storage(const member_id& voter) const
{
    for (const auto& it : members_.members()) {
        if (it.id() == voter.str() && it.voter()) {
            return storage_id{it.storage()};
        }
    }
    return {};
}

storage_id raft_node::latest_storage(const member_id& member) const
{
    const auto found = progress_.find(member);
    const auto answered = found == progress_.end() ? std::nullopt : found->second.storage;
    return answered ? *answered : admitted_storage(member).value_or(first_storage);
}

bool raft_node::is_admitted() const
{
    return admitted_storage(self_) == own_storage();
}

bool raft_node::has_lost_storage(const member_id& voter) const
{
    const auto admitted = admitted_storage(voter);
    const auto found = progress_.find(voter);
    return admitted && found != progress_.end() && found->second.storage &&
           found->second.storage != admitted;
}

const raft_node::progress* raft_node::admitted_progress(const wire::member& voter) const
{
    const auto found = progress_.find(member_id{voter.id()});
    const bool counts =
        found != progress_.end() && found->second.storage == storage_id{voter.storage()};
    return counts ? &found->second : nullptr;
}

void raft_node::note_admission()
{
    if (!hard_.whole() && is_admitted()) {
        hard_.set_whole(true);
        save_hard_state();
    }
}

} // namespace cedarpoint
