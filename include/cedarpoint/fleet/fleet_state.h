#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/ids.h"
#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cedarpoint {

/// What the control daemons agree on: the configuration, where the highest version holds; the
/// runners that have announced themselves, and those that have said that they leave; the groups
/// whose head may be open. A new leader begins with these, before it has heard anyone.
class fleet_state final : public replicated_state {
public:
    std::string apply(const std::string& command) override;
    [[nodiscard]] std::string save() const override;
    bool restore(const std::string& bytes) override;

    [[nodiscard]] std::uint64_t version() const { return configuration_.revision(); }
    [[nodiscard]] const wire::accepted_configuration& configuration() const
    {
        return configuration_;
    }
    /// The text of the configuration as the operator sent it; empty if there is none.
    [[nodiscard]] std::string document() const;
    [[nodiscard]] bool is_leaving(const runner_id& runner) const;
    [[nodiscard]] bool is_gone(const runner_id& runner) const;
    /// Grows with every change.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }

    [[nodiscard]] const std::map<runner_id, wire::registration>& registrations() const
    {
        return registrations_;
    }
    [[nodiscard]] const std::map<group_id, wire::formed_group>& groups() const { return groups_; }

    static std::string put_configuration(std::uint64_t version, const std::string& document);
    static std::string depart(const runner_id& runner, bool gone);

private:
    void note_registration(const wire::registration& in);
    void note_departure(const wire::departure& in);

    /// Runners have a new id at each start, so old marks only cost room.
    static constexpr std::size_t most_departures = 20'000;

    wire::accepted_configuration configuration_;
    std::map<runner_id, bool> departures_; ///< true: gone
    std::deque<runner_id> departure_order_;
    std::map<runner_id, wire::registration> registrations_;
    std::map<group_id, wire::formed_group> groups_;
    std::uint64_t changes_ = 0;
};

/// The text of a configuration that came with a view or out of the log; empty if it is damaged.
[[nodiscard]] std::optional<std::string> read_document(const wire::accepted_configuration& in);

} // namespace cedarpoint
