#include "cedarpoint/fleet/failure_detector.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

/// Consecutive unanswered probes after which a runner counts as unresponsive. One alone may be a
/// lost packet. At the probe interval of 400 ms this takes about 0.7 s.
constexpr int probes_to_unresponsive = 2;

/// Consecutive unanswered probes after which a member of a serving group counts as failed, if its
/// streams have stalled or it is idle. At the probe interval of 400 ms this takes 1.5 s: a sound
/// runner may be silent for about a second, and the end of its group ends all its streams.
constexpr int probes_to_failed = 4;

/// A silent, unresponsive member of a group without traffic counts as failed when the head's
/// streams have carried no bytes for this long.
constexpr duration idle_grace = seconds{2};

/// Returns true if the runner reports to be in this group, under the group's epoch.
bool reports_membership(const runner_record& record, const planned_group& group)
{
    const auto& membership = record.latest.membership;
    return membership && membership->group == group.name &&
           membership->assignment == group.assignment;
}

} // namespace

failure_detector::failure_detector(planner_options options, const runner_registry& registry,
                                   const health_reports& reports, const fleet_state& state)
    : options_{options}, registry_{registry}, reports_{reports}, state_{state}
{
}

void failure_detector::on_probe_failed(const runner_id& runner, bool refused)
{
    // A refusal is an immediate answer, so a second probe would add nothing. It does not prove that
    // the runner has ended: a network partition can refuse connections as well.
    missed_probes_[runner] += refused ? probes_to_failed : 1;
}

bool failure_detector::has_missed(const runner_id& runner, int probes) const
{
    const auto found = missed_probes_.find(runner);
    return found != missed_probes_.end() && found->second >= probes;
}

bool failure_detector::is_suspected(const runner_id& runner) const
{
    return has_missed(runner, 1);
}

bool failure_detector::is_unresponsive(const runner_id& runner) const
{
    return has_missed(runner, probes_to_unresponsive);
}

bool failure_detector::is_silent(instant now, const runner_record& record) const
{
    // Half an interval is added for transmission delays.
    return now - record.last_contact > options_.heartbeat * 3 / 2;
}

member_state failure_detector::state_of(instant now, const planned_group& group,
                                        const runner_id& member) const
{
    const auto* record = registry_.find(member);
    if (record == nullptr || !registry_.is_present(*record)) {
        return member_state::lost;
    }
    // While a group forms, some members have not accepted the order to join yet.
    if (group.phase != plan_phase::joining && !reports_membership(*record, group)) {
        return member_state::lost;
    }
    if (record->latest.draining || state_.is_leaving(member)) {
        return member_state::draining;
    }
    return is_silent(now, *record) ? member_state::silent : member_state::present;
}

std::string failure_detector::describe_loss(instant now, const runner_id& member) const
{
    const auto* record = registry_.find(member);
    if (record == nullptr) {
        return "no heartbeat in this term";
    }
    if (record->dead) {
        return "another runner answered at its address";
    }
    if (!registry_.is_present(*record)) {
        return "another runner announced itself at its address";
    }
    const auto& membership = record->latest.membership;
    const auto where = membership ? "group " + membership->group.str() : std::string{"no group"};
    if (record->assumed) {
        return fmt::format("the log has it in {}, no heartbeat in this term", where);
    }
    return fmt::format("reports {} in heartbeat {}, last contact {} ms ago", where,
                       record->latest.sequence, to_ms(now - record->last_contact));
}

bool failure_detector::is_in_phase(const planned_group& group, const runner_id& member,
                                   member_phase phase) const
{
    const auto* record = registry_.find(member);
    return record != nullptr && reports_membership(*record, group) &&
           record->latest.membership->phase == phase;
}

bool failure_detector::has_failed(instant now, const planned_group& group, const runner_id& member,
                                  const runner_health& head) const
{
    if (!has_missed(member, probes_to_failed)) {
        return false;
    }
    // A group whose streams progress has all its members, even if the leader gets no heartbeat from
    // them. Where none wait, the member must be silent as well.
    return head.stalled ||
           (head.since_byte > idle_grace && state_of(now, group, member) == member_state::silent);
}

bool failure_detector::is_head_unreachable(instant now, const planned_group& group) const
{
    // Members that are unreachable together with their head may be behind a network partition,
    // where the group continues to serve. So a connection check counts only if it began after the
    // latest answer of a member, which shows that the group was reachable at that time.
    if (group.answered.empty()) {
        return false;
    }
    instant since = group.since;
    for (const auto& [member, at] : group.answered) {
        since = std::max(since, at);
    }
    return reports_.is_unreachable_from_all(now, since, group.head());
}

} // namespace cedarpoint
