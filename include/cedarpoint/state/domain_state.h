#pragma once

#include "cedarpoint/claims/claim_table.h"
#include "cedarpoint/config/configuration.h"
#include "cedarpoint/groups/group_controller.h"
#include "cedarpoint/groups/group_table.h"
#include "cedarpoint/groups/group_wire.h"
#include "control.pb.h"

#include <memory>
#include <string>

namespace cedarpoint {

/// The result of applying one command.
struct domain_answer {
    std::string refused; ///< why the command was refused; empty if applied
    claim_verdict verdict = claim_verdict::unavailable; ///< the result of claim_begin
};

/// The replicated state machine of one failure domain.
/// Owns: the configuration in force, the group table, the claims and the operators' drain marks.
/// Relies on: its log, which delivers the same commands in the same order to every replica.
class domain_state {
public:
    domain_answer apply(const wire::command& command);

    /// Returns the configuration in force; an empty configuration, never null, before the first.
    [[nodiscard]] const std::shared_ptr<const configuration>& config() const { return config_; }
    [[nodiscard]] const wire::accepted_configuration& accepted() const { return accepted_; }
    /// Returns the revision in force; 0 before the first configuration.
    [[nodiscard]] revision in_force() const { return {accepted_.revision()}; }
    [[nodiscard]] const group_table& groups() const { return groups_; }
    [[nodiscard]] const claim_table& claims() const { return claims_; }
    [[nodiscard]] const drain_marks& drains() const { return drains_; }

    [[nodiscard]] std::string save() const;
    /// Returns false and changes nothing if `bytes` are not a saved state.
    bool restore(const std::string& bytes);

private:
    domain_answer apply_copy(const wire::accepted_configuration& in);
    domain_answer apply_group(const wire::group_change& in);
    domain_answer apply_drain(const wire::drain_change& in);
    domain_answer apply_claim(const wire::claim_begin& in);
    domain_answer apply_finish(const wire::claim_finish& in);

    wire::accepted_configuration accepted_;
    std::shared_ptr<const configuration> config_ = std::make_shared<configuration>();
    group_table groups_;
    claim_table claims_;
    drain_marks drains_;
};

} // namespace cedarpoint
