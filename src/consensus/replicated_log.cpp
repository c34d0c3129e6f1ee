#include "cedarpoint/consensus/replicated_log.h"

namespace cedarpoint {

std::unique_ptr<replicated_log> replicated_log::open(instant now, options options,
                                                     file_system* files, const std::string& folder,
                                                     replicated_state& state, sender send,
                                                     reason& why)
{
    raft_state loaded;
    std::unique_ptr<log_store> store;
    if (files != nullptr) {
        store = log_store::open(*files, folder, loaded, why);
        if (store == nullptr) {
            return {};
        }
    }
    if (loaded.snapshot.index() > 0 && !state.restore(loaded.snapshot.state())) {
        why = {"restore", folder, "the snapshot's state can't be read by this version"};
        return {};
    }
    return std::unique_ptr<replicated_log>{new replicated_log{
        now, std::move(options), std::move(loaded), std::move(store), state, std::move(send)}};
}

replicated_log::replicated_log(instant now, options options, raft_state loaded,
                               std::unique_ptr<log_store> store, replicated_state& state,
                               sender send)
    : options_{std::move(options)}, raft_{now,
                                          options_.self,
                                          options_.bootstrap,
                                          std::move(loaded),
                                          options_.raft,
                                          options_.seed},
      store_{std::move(store)}, state_{state}, send_{std::move(send)}, applied_{
                                                                           raft_.snapshot().index()}
{
}

void replicated_log::tick(instant now)
{
    raft_.tick(now);
    carry_out();
}

void replicated_log::receive(instant now, const member_id& from, const wire::raft_message& message)
{
    if (failure_) {
        return;
    }
    raft_.receive(now, from, message);
    carry_out();
}

bool replicated_log::propose(instant now, std::string command, answer_handler done)
{
    if (failure_) {
        return false;
    }
    const auto index = raft_.propose(now, std::move(command));
    if (!index) {
        return false;
    }
    pending_[*index] = {raft_.term(), std::move(done)};
    carry_out();
    return true;
}

bool replicated_log::change_membership(instant now, const member_id& member, bool present,
                                       bool voter)
{
    const bool done = !failure_ && raft_.change_membership(now, member, present, voter);
    carry_out();
    return done;
}

void replicated_log::carry_out()
{
    if (busy_ || failure_) {
        return; // reentered from an answer handler; the outer call continues
    }
    busy_ = true;
    for (auto out = raft_.take_output();
         out.has_batch || out.install || !out.messages.empty() || !out.committed.empty();
         out = raft_.take_output()) {
        if (!persist(out)) {
            break;
        }
        for (const auto& it : out.messages) {
            send_(it.to, it.message);
        }
        for (const auto& it : out.committed) {
            apply(it);
        }
    }
    busy_ = false;
    drop_pending(raft_.term());
    compact_if_grown();
}

bool replicated_log::persist(const raft_output& out)
{
    if (out.install) {
        if (!state_.restore(out.install->state())) {
            failure_ = reason{"restore", {}, "the leader's snapshot can't be read by this version"};
            return false;
        }
        applied_ = out.install->index();
        return rewrite(*out.install);
    }
    reason why;
    if (store_ != nullptr && out.has_batch && !store_->append(out.batch, why)) {
        failure_ = why;
        return false;
    }
    return true;
}

bool replicated_log::rewrite(const wire::log_snapshot& snapshot)
{
    if (store_ == nullptr) {
        return true;
    }
    reason why;
    if (!store_->save_snapshot(snapshot, raft_.rest(), why)) {
        failure_ = why;
        return false;
    }
    return true;
}

void replicated_log::apply(const wire::log_entry& entry)
{
    std::string answer;
    if (!entry.command().empty()) {
        answer = state_.apply(entry.command());
    }
    applied_ = entry.index();
    const auto it = pending_.find(entry.index());
    if (it == pending_.end()) {
        return;
    }
    const auto own = it->second.term == entry.term();
    const auto done = std::move(it->second.done);
    pending_.erase(it);
    if (done) {
        done(own ? std::optional{std::move(answer)} : std::nullopt);
    }
}

void replicated_log::drop_pending(std::uint64_t below_term)
{
    std::vector<answer_handler> lost;
    for (auto it = pending_.begin(); it != pending_.end();) {
        if (it->second.term < below_term || !raft_.is_leader()) {
            lost.push_back(std::move(it->second.done));
            it = pending_.erase(it);
        }
        else {
            ++it;
        }
    }
    for (const auto& done : lost) {
        if (done) {
            done({});
        }
    }
}

void replicated_log::compact_if_grown()
{
    const bool grown = store_ != nullptr
                           ? store_->log_bytes() > options_.snapshot_bytes
                           : applied_ - raft_.snapshot().index() > options_.snapshot_entries;
    if (!grown || failure_ || applied_ <= raft_.snapshot().index()) {
        return;
    }
    raft_.compact(applied_, state_.save());
    rewrite(raft_.snapshot());
}

} // namespace cedarpoint
