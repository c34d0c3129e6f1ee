#pragma once

#include "cedarpoint/config/fault.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cedarpoint {

/// The result of a configuration change.
enum class change_verdict { accepted, conflict, reused_id, invalid };

/// The answer to a configuration change. A resent change gets the verdict and revisions of the
/// first answer for as long as that is kept; a resent invalid change is checked again.
struct change_outcome {
    change_verdict verdict = change_verdict::invalid;
    revision accepted_as;   ///< the revision of an accepted change
    revision conflict_with; ///< the revision in force at a conflict, or of the change that has this
                            ///< id already
    change_id conflict_change; ///< the change that made that revision; empty in an answer to a
                               ///< resent change
    faults found;
};

/// The replicated state machine of the root, which orders the configuration changes.
/// Owns: the configuration in force and the answers to the latest changes.
/// Relies on: its log, which delivers the same changes in the same order to every replica.
class root_state {
public:
    /// The number of changes whose answers are kept: those of more than a day at 27,000 changes a
    /// day, the target in docs/CAPACITY.md.
    static constexpr std::size_t kept_answers = 50'000;

    change_outcome apply(const wire::config_change& change);
    /// Returns the answer already given to this change; null if none is kept.
    [[nodiscard]] const wire::change_answer* answer_of(const std::string& change) const;

    [[nodiscard]] const wire::accepted_configuration& accepted() const { return accepted_; }
    [[nodiscard]] revision in_force() const { return {accepted_.revision()}; }

    [[nodiscard]] std::string save() const;
    /// Returns false and changes nothing if `bytes` are not a saved state.
    bool restore(const std::string& bytes);

private:
    change_outcome answer_resend(const wire::change_answer& first, std::uint64_t hash) const;
    void store_answer(wire::change_answer answer);

    wire::accepted_configuration accepted_;
    std::map<std::string, wire::change_answer> answers_;
    std::deque<std::string> order_;
};

} // namespace cedarpoint
