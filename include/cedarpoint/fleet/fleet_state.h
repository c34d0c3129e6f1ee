#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/request_fingerprint.h"
#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// A runner's first announcement, as the log keeps it.
struct registered_runner {
    runner_id runner;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain;
    int slots = 0;
    model_id loaded_model; ///< of the latest group that it was ready in; empty before the first
    birth born{};          ///< of this life
};

/// A group whose members were all ready: its head may be open from this entry of the log on.
struct formed_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first
};

/// What the control daemons agree on: the configuration, of which the highest version holds; the
/// runners that have announced themselves and those that are leaving or gone; the groups whose head
/// may be open. A new leader begins with these, before it has heard from anyone. Outlives the
/// process: `save` and `restore` read and write the snapshot, `apply` the commands in the log.
class fleet_state final : public replicated_state {
public:
    std::string apply(const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    bool restore(const std::string& bytes) override;

    [[nodiscard]] std::uint64_t version() const { return configuration_.revision(); }
    /// As it is kept in the log and passed on in the view, packed.
    [[nodiscard]] const wire::accepted_configuration& configuration() const
    {
        return configuration_;
    }
    /// The text of the configuration as the operator sent it; empty if there is none.
    [[nodiscard]] std::string document() const;
    /// True if the latest life of the runner drains or is gone; neither is ever taken back.
    [[nodiscard]] bool is_leaving(const runner_id& runner) const;
    [[nodiscard]] bool is_gone(const runner_id& runner) const;
    [[nodiscard]] const std::map<runner_id, registered_runner>& registrations() const
    {
        return registrations_;
    }
    [[nodiscard]] const std::map<group_id, formed_group>& groups() const { return groups_; }
    /// Requests that are sent to no runner any more, until an operator lifts that.
    [[nodiscard]] const std::set<request_fingerprint>& quarantined() const { return quarantined_; }
    /// The latest of those whose quarantine was lifted.
    [[nodiscard]] const std::set<request_fingerprint>& lifted() const { return lifted_; }
    /// What the log says of a quarantined request; null if it is none.
    [[nodiscard]] const wire::quarantined_request*
    find_quarantined(const request_fingerprint& request) const;

    // Commands for the log.
    [[nodiscard]] static std::string put_configuration(std::uint64_t version,
                                                       const std::string& document);
    /// `gone`: the runner has ended; otherwise it drains.
    [[nodiscard]] static std::string depart(const runner_id& runner, bool gone, birth life = {});
    [[nodiscard]] static std::string add_runner(const registered_runner& runner);
    /// The runner has been silent for so long that it is forgotten.
    [[nodiscard]] static std::string remove_runner(const runner_id& runner);
    [[nodiscard]] static std::string form_group(const formed_group& group);
    /// The group's head is not open any more and will not be again.
    [[nodiscard]] static std::string end_group(const group_id& group);
    [[nodiscard]] static std::string quarantine(const wire::quarantined_request& request);
    [[nodiscard]] static std::string lift_quarantine(const request_fingerprint& request);

private:
    struct departure {
        bool gone = false;
        birth life;
    };

    [[nodiscard]] const departure* find_departure(const runner_id& runner) const;
    void note_registration(registered_runner in);
    void note_formed(formed_group in);
    void note_departure(const wire::departure& in);
    void note_quarantine(const wire::quarantined_request& in);

    /// Departures that are remembered; old ones only take up room.
    static constexpr std::size_t most_departures = 20'000;

    /// The same for quarantines and for lifted ones. A request that is forgotten has to end runners
    /// again before it is known.
    static constexpr std::size_t most_quarantined = 1'000;

    wire::accepted_configuration configuration_;
    std::map<runner_id, departure> departures_;
    std::deque<runner_id> departure_order_;
    std::map<runner_id, registered_runner> registrations_;
    std::map<group_id, formed_group> groups_;
    std::deque<wire::quarantined_request> quarantine_log_; ///< the latest of each, oldest first
    std::set<request_fingerprint> quarantined_;
    std::set<request_fingerprint> lifted_;
};

/// The text of a configuration that came with a view or out of the log; empty if it is damaged.
[[nodiscard]] std::optional<std::string> read_document(const wire::accepted_configuration& in);

} // namespace cedarpoint
