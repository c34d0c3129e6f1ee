#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// A runner's first announcement in an incarnation, as stored in the log.
struct registered_runner {
    runner_id runner;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain;
    int slots = 0;
    model_id loaded_model; ///< of the latest group that was formed with it; empty before the first
    incarnation born{};    ///< of this incarnation
};

/// A group whose members were all ready. Its head may be open from this log entry on.
struct formed_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first
};

/// The replicated state of the control daemons: the configuration with the highest version, the
/// registered runners, the runners that are leaving or gone, the groups whose head may be open, and
/// the quarantined causes of crashes. A new leader starts from it before it has received any
/// heartbeat. Persistent: `save` and `restore` write and read the snapshot, `apply` applies the
/// commands in the log.
class fleet_state final : public replicated_state {
public:
    std::string apply(const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    bool restore(const std::string& bytes) override;

    [[nodiscard]] std::uint64_t version() const { return configuration_.revision(); }
    /// Returns the configuration as stored in the log and sent in the view, packed.
    [[nodiscard]] const wire::accepted_configuration& configuration() const
    {
        return configuration_;
    }
    /// Returns the text of the configuration as the operator sent it; empty if there is none.
    [[nodiscard]] std::string document() const;
    /// Returns true if the latest incarnation of the runner drains or is gone; neither is ever
    /// revoked.
    [[nodiscard]] bool is_leaving(const runner_id& runner) const;
    [[nodiscard]] bool is_gone(const runner_id& runner) const;
    [[nodiscard]] const std::map<runner_id, registered_runner>& registrations() const
    {
        return registrations_;
    }
    [[nodiscard]] const std::map<group_id, formed_group>& groups() const { return groups_; }
    /// Returns the causes of crashes: requests with one of them are sent to no runner until an
    /// operator lifts its quarantine.
    [[nodiscard]] const std::set<crash_cause>& quarantined() const { return quarantined_; }
    /// Returns the causes whose quarantine was lifted most recently.
    [[nodiscard]] const std::set<crash_cause>& lifted() const { return lifted_; }
    /// Returns the log record of a quarantined cause; null if it is not quarantined.
    [[nodiscard]] const wire::quarantined_request* find_quarantined(const crash_cause& cause) const;

    // Commands for the log.
    [[nodiscard]] static std::string put_configuration(std::uint64_t version,
                                                       const std::string& document);
    /// If `gone`, the runner has ended; otherwise it drains.
    [[nodiscard]] static std::string depart(const runner_id& runner, bool gone,
                                            incarnation its_incarnation = {});
    [[nodiscard]] static std::string add_runner(const registered_runner& runner);
    /// Removes a runner that has sent no heartbeat for a long time.
    [[nodiscard]] static std::string remove_runner(const runner_id& runner);
    [[nodiscard]] static std::string form_group(const formed_group& group);
    /// Removes a group whose head is not open and will not open again.
    [[nodiscard]] static std::string end_group(const group_id& group);
    [[nodiscard]] static std::string quarantine(const wire::quarantined_request& request);
    [[nodiscard]] static std::string lift_quarantine(const crash_cause& cause);

private:
    struct departure {
        bool gone = false;
        incarnation its_incarnation;
    };

    [[nodiscard]] const departure* find_departure(const runner_id& runner) const;
    void note_registration(registered_runner in);
    void note_formed(formed_group in);
    void note_departure(const wire::departure& in);
    void note_quarantine(const wire::quarantined_request& in);

    /// Maximum number of departures kept; the oldest are dropped to bound memory.
    static constexpr std::size_t max_departures = 20'000;

    /// Maximum number of quarantined and lifted causes together. The oldest are dropped. A dropped
    /// cause is quarantined again only after it has crashed runners again.
    static constexpr std::size_t max_quarantined = 1'000;

    wire::accepted_configuration configuration_;
    std::map<runner_id, departure> departures_;
    std::deque<runner_id> departure_order_;
    std::map<runner_id, registered_runner> registrations_;
    std::map<group_id, formed_group> groups_;
    std::deque<wire::quarantined_request> quarantine_log_; ///< latest of each, oldest first
    std::set<crash_cause> quarantined_;
    std::set<crash_cause> lifted_;
};

/// Returns the text of a configuration from a view or from the log; empty if it is corrupt.
[[nodiscard]] std::optional<std::string> read_document(const wire::accepted_configuration& in);

} // namespace cedarpoint
