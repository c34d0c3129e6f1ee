#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/consensus/membership_policy.h"
#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "control.pb.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cedarpoint {

/// Manages this control daemon's part in the membership of the log. The leader applies the changes
/// that `membership_policy` decides; a daemon that knows no leader asks the seeds to join.
class log_membership {
public:
    struct options {
        daemon_id self;
        std::vector<daemon_id> seeds; ///< control daemons that are asked to join
        std::string log_name;
        std::size_t wanted_voters = 3;
        seed_reader read_seeds; ///< called every second while no leader is known
    };
    using sender = std::function<void(const daemon_id&, wire::envelope)>;

    log_membership(options options, replicated_log& log, sender send);

    /// Applies the next change, or asks to join. `leads`: this daemon holds the leader's lease.
    void tick(instant now, bool leads);
    /// Handles a request to join, sent by the daemon itself or forwarded by another member.
    void on_join(instant now, bool leads, const wire::envelope& in);

private:
    void apply(instant now, const membership_change& change);
    void change_member(instant now, const member_id& member, bool present, bool voter);
    void ask_to_join(instant now);
    void read_seeds(instant now);
    void forward_join(const wire::envelope& in);

    options options_;
    replicated_log& log_;
    sender send_;
    instant next_check_;
    instant next_seed_read_;
};

} // namespace cedarpoint
