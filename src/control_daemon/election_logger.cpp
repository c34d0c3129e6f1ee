#include "control_daemon/election_logger.h"

#include "io/log_line.h"

#include <fmt/format.h>

#include <string>

namespace cedarpoint {
namespace {

constexpr duration line_interval = seconds{1};

std::string describe(instant now, const election_status::peer& in, int sent, int dropped)
{
    const auto& contact = in.contact;
    const auto heard =
        contact.heard ? fmt::format("{} ms ago", to_ms(now - *contact.heard)) : "never";
    return fmt::format("{}{}: last message {}, sent {}, dropped without connection {}, votes "
                       "requested {} granted {} refused {}, requested by peer {} latest reply {}",
                       in.member.str(), in.voter ? "" : " (learner)", heard, sent, dropped,
                       contact.votes_requested, contact.votes_granted, contact.votes_refused,
                       contact.votes_requested_by_peer, name_of(contact.latest_answer));
}

} // namespace

void election_logger::on_message(const member_id& to, bool sent)
{
    auto& traffic_to_peer = traffic_[to];
    ++(sent ? traffic_to_peer.sent : traffic_to_peer.dropped);
}

void election_logger::write_if_due(instant now, const election_status& status)
{
    if (!leaderless_since_) {
        leaderless_since_ = now;
        next_line_ = now + line_interval;
        traffic_.clear();
    }
    if (now < next_line_) {
        return;
    }
    next_line_ = now + line_interval;
    std::string peers;
    for (const auto& each : status.peers) {
        const auto& traffic_to_peer = traffic_[each.member];
        peers += (peers.empty() ? "" : "; ") +
                 describe(now, each, traffic_to_peer.sent, traffic_to_peer.dropped);
    }
    traffic_.clear();
    log_line("no_leader")
        .with("ms", to_ms(now - *leaderless_since_))
        .with("role", status.role)
        .with("term", status.term)
        .with("last_term", status.last_term)
        .with("last_index", status.last_index)
        .with("whole", status.whole)
        .with("voter", status.voter)
        .with("until_election_ms", to_ms(status.until_election))
        .with("until_vote_ms", to_ms(status.until_vote))
        .with("peers", peers)
        .write();
}

} // namespace cedarpoint
