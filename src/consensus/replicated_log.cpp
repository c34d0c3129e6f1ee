#include "cedarpoint/consensus/replicated_log.h"

#include <utility>

namespace cedarpoint {
namespace {

/// The interval between retries of a failed write. A failed attempt costs one system call.
constexpr duration write_retry_interval = milliseconds{100};

/// The interval between retries of a failed snapshot write, on which no operation waits.
constexpr duration compaction_retry_interval = seconds{1};

} // namespace

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
    if (failure_ || !retry_unwritten_output(now)) {
        return;
    }
    raft_.tick(now);
    process_output();
    compact_if_grown(now);
}

void replicated_log::receive(instant now, const member_id& from, const wire::raft_message& message)
{
    if (is_stopped()) {
        return;
    }
    raft_.receive(now, from, message);
    process_output();
}

bool replicated_log::propose(instant now, std::string command, answer_handler done)
{
    if (is_stopped()) {
        return false;
    }
    const auto index = raft_.propose(now, std::move(command));
    if (!index) {
        return false;
    }
    pending_[*index] = {raft_.term(), std::move(done)};
    process_output();
    return true;
}

bool replicated_log::change_membership(instant now, const member_id& member, bool present,
                                       bool voter)
{
    const bool done = !is_stopped() && raft_.change_membership(now, member, present, voter);
    process_output();
    return done;
}

void replicated_log::process_output()
{
    if (processing_output_ || is_stopped()) {
        return; // called from an answer handler: the outer call processes the new output
    }
    processing_output_ = true;
    for (auto out = raft_.take_output();
         out.has_batch || out.install || !out.messages.empty() || !out.committed.empty();
         out = raft_.take_output()) {
        if (!process_output(out)) {
            break;
        }
    }
    processing_output_ = false;
    drop_pending(raft_.term());
}

bool replicated_log::process_output(const raft_output& out)
{
    if (!persist_timed(out)) {
        unwritten_output_ = out;
        return false;
    }
    for (const auto& it : out.messages) {
        send_(it.to, it.message);
    }
    for (const auto& it : out.committed) {
        apply(it);
    }
    return true;
}

bool replicated_log::retry_unwritten_output(instant now)
{
    if (!unwritten_output_) {
        return true;
    }
    if (now < write_retry_at_) {
        return false;
    }
    write_retry_at_ = now + write_retry_interval;
    const auto out = *std::exchange(unwritten_output_, std::nullopt);
    processing_output_ = true;
    const bool written = process_output(out);
    processing_output_ = false;
    return written;
}

bool replicated_log::persist_timed(const raft_output& out)
{
    const bool writes = store_ != nullptr && (out.install || out.has_batch);
    if (!options_.clock || !writes) {
        return persist(out);
    }
    const auto began = options_.clock();
    const bool done = persist(out);
    const auto ended = options_.clock();
    raft_.note_write(ended, ended - began);
    return done;
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
    if (store_ == nullptr || !out.has_batch) {
        return true;
    }
    reason why;
    if (!store_->append(out.batch, why)) {
        write_failure_ = why;
        return false;
    }
    write_failure_.reset();
    return true;
}

bool replicated_log::rewrite(const wire::log_snapshot& snapshot)
{
    if (store_ == nullptr) {
        snapshot_unsaved_ = false;
        return true;
    }
    reason why;
    if (!store_->save_snapshot(snapshot, raft_.rest(), why)) {
        write_failure_ = why;
        return false;
    }
    write_failure_.reset();
    snapshot_unsaved_ = false;
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

void replicated_log::compact_if_grown(instant now)
{
    if (is_stopped() || now < compaction_retry_at_) {
        return;
    }
    const bool grown = store_ != nullptr
                           ? store_->log_bytes() > options_.snapshot_bytes
                           : applied_ - raft_.snapshot().index() > options_.snapshot_entries;
    if (grown && applied_ > raft_.snapshot().index()) {
        raft_.compact(applied_, state_.save());
        snapshot_unsaved_ = true;
    }
    // A failed write is retried later: until then the stored log still holds all entries that the
    // snapshot covers.
    if (snapshot_unsaved_ && !rewrite(raft_.snapshot())) {
        compaction_retry_at_ = now + compaction_retry_interval;
    }
}

} // namespace cedarpoint
