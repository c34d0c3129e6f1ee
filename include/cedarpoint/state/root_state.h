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

/// How a change of configuration ended.
enum class change_verdict { accepted, conflict, reused_id, invalid };

/// The answer to a change; a resend of the same change gets the same one.
struct change_outcome {
    change_verdict verdict = change_verdict::invalid;
    revision accepted_as;      ///< of an accepted change
    revision conflict_with;    ///< the revision in force when it was refused
    change_id conflict_change; ///< the change that made that revision
    faults found;
};

/// The replicated state machine of the root, which orders the changes of configuration.
/// Owns: the one configuration in force and the answers to the latest changes.
/// Relies on: its log, which gives every replica the same changes in the same order.
class root_state {
public:
    /// Answers are kept for this many changes: over a day at 27,000 a day, the target in
    /// docs/CAPACITY.md.
    static constexpr std::size_t kept_answers = 50'000;

    change_outcome apply(const wire::config_change& change);
    /// The answer already given to this change; null if none is kept.
    [[nodiscard]] const wire::change_answer* answer_of(const std::string& change) const;

    [[nodiscard]] const wire::accepted_configuration& accepted() const { return accepted_; }
    [[nodiscard]] revision in_force() const { return {accepted_.revision()}; }

    [[nodiscard]] std::string save() const;
    /// False if `bytes` are not a saved state; nothing is changed then.
    bool restore(const std::string& bytes);

private:
    change_outcome repeat(const wire::change_answer& first, std::uint64_t hash) const;
    void remember(wire::change_answer answer);

    wire::accepted_configuration accepted_;
    std::map<std::string, wire::change_answer> answers_;
    std::deque<std::string> order_;
};

} // namespace cedarpoint
