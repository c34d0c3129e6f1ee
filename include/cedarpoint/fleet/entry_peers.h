#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cedarpoint {

/// An entry daemon that sends requests on for other entry daemons.
struct entry_peer {
    endpoint address; ///< where it accepts them
    failure_domain_id failure_domain;
    bool cut_off = false; ///< it has reported that it reaches no runner itself
};

/// The other entry daemons, through which this one can send requests to runners that it can't reach
/// itself. The list comes from the leader's view. Whether a peer reaches the runners is known for
/// certain only by its answers, so that a list of any age can be used while there is no leader.
class entry_peers {
public:
    /// `own_address`: where this daemon accepts requests of others; not a peer.
    entry_peers(endpoint own_address, failure_domain_id own_domain);

    /// Replaces the list. A peer that is missing from it is still used for a while, since a new
    /// leader learns of the entry daemons one by one.
    void update(instant now, const std::vector<entry_peer>& peers);

    /// Returns the peer to send a request through, or null if there is none: the one with the
    /// fewest requests of this daemon in flight, in the own failure domain if it has not many more,
    /// and equal ones in turn. Excludes those in `tried`, those that are cut off themselves, those
    /// that are not reached, and those that have failed recently.
    [[nodiscard]] const entry_peer* choose(instant now, const std::set<endpoint>& tried) const;

    /// Returns the peers that were not reached and are to be probed now. Records them as probed.
    [[nodiscard]] std::vector<endpoint> take_due_probes(instant now);

    void on_sent(const endpoint& peer);
    void on_done(const endpoint& peer);
    void on_success(const endpoint& peer);
    /// Records that the peer gave no valid answer, or reaches no runner either. Requests that fail
    /// at the same time count once.
    void on_failure(instant now, const endpoint& peer);
    /// Records that a connection to the peer was established.
    void on_reached(const endpoint& peer);
    /// Records that a connection to the peer failed. It is used again once one is established.
    void on_unreachable(instant now, const endpoint& peer);

private:
    struct state {
        entry_peer peer;
        std::optional<instant> unlisted_since; ///< set if the leader's list lacks it
        int in_flight = 0;
        int failures = 0; ///< consecutive
        instant backoff_until;
        std::optional<instant> next_probe; ///< set while the peer is not reached
    };
    [[nodiscard]] static bool is_listed(instant now, const state& in);
    [[nodiscard]] static bool is_usable(instant now, const state& in);
    /// Returns null if the peer is not known, or not any more.
    [[nodiscard]] state* find(const endpoint& peer);
    [[nodiscard]] double cost_of(const state& in) const;

    endpoint own_address_;
    failure_domain_id own_domain_;
    std::map<endpoint, state> peers_;
    endpoint latest_sent_to_;
};

} // namespace cedarpoint
