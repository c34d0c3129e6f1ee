#include "control_daemon/log_membership.h"

#include "io/log_line.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Time between two checks of the membership.
constexpr duration check_interval = milliseconds{500};
/// Time between two readings of the seeds while no leader is known.
constexpr duration seed_interval = seconds{1};

} // namespace

log_membership::log_membership(options options, replicated_log& log, sender send)
    : options_{std::move(options)}, log_{log}, send_{std::move(send)}
{
}

void log_membership::tick(instant now, bool leads)
{
    if (now < next_check_) {
        return;
    }
    next_check_ = now + check_interval;
    if (!leads) {
        ask_to_join(now);
        return;
    }
    if (const auto next = next_membership_change(now, log_.raft(), options_.wanted_voters)) {
        apply(now, *next);
    }
}

void log_membership::apply(instant now, const membership_change& next)
{
    switch (next.kind) {
    case membership_change::kind_t::promote:
        change_member(now, next.member, true, true);
        return;
    case membership_change::kind_t::demote:
        if (log_.raft().has_lost_storage(next.member)) {
            log_line("member_storage_lost").with("member", next.member.str()).write();
        }
        change_member(now, next.member, true, false);
        // Check again at once to promote a learner: until then the log tolerates one loss less.
        next_check_ = now;
        return;
    case membership_change::kind_t::remove:
        change_member(now, next.member, false, false);
        return;
    }
}

void log_membership::change_member(instant now, const member_id& member, bool present, bool voter)
{
    // Fails while an earlier change is not committed; the next check tries again.
    if (log_.change_membership(now, member, present, voter)) {
        log_line("member")
            .with("member", member.str())
            .with("present", present)
            .with("voter", voter)
            .write();
    }
}

void log_membership::ask_to_join(instant now)
{
    // Members ask as well: one that was removed while it was down does not know that.
    if (!log_.raft().leader().empty()) {
        return;
    }
    read_seeds(now);
    for (const auto& seed : options_.seeds) {
        wire::envelope out;
        out.mutable_join()->set_log(options_.log_name);
        out.mutable_join()->set_member(options_.self.str());
        send_(seed, std::move(out));
    }
}

void log_membership::read_seeds(instant now)
{
    // While this daemon was out of contact, all control daemons that it knew may have been
    // replaced.
    if (now < next_seed_read_) {
        return;
    }
    next_seed_read_ = now + seed_interval;
    if (auto present = options_.read_seeds(); !present.empty()) {
        options_.seeds = std::move(present);
    }
}

void log_membership::on_join(instant now, bool leads, const wire::envelope& in)
{
    const member_id member{in.join().member()};
    if (!leads) {
        forward_join(in);
        return;
    }
    // A member's id is its address.
    if (!log_.raft().is_member(member) && endpoint::parse(member.str())) {
        change_member(now, member, true, false);
    }
}

void log_membership::forward_join(const wire::envelope& in)
{
    // A daemon asks the seeds, which need not lead. A forwarded request is not forwarded again:
    // two members that each take the other for the leader would forward it endlessly.
    const daemon_id leader{log_.raft().leader().str()};
    if (leader.empty() || in.from() != in.join().member()) {
        return;
    }
    wire::envelope out;
    *out.mutable_join() = in.join();
    send_(leader, std::move(out));
}

} // namespace cedarpoint
