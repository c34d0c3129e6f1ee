#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// What is known of the events of one run, which come from one attempt at a runner.
struct event_run {
    bool has_passed = false;                   ///< an event of it was passed on
    std::optional<std::uint64_t> last_skipped; ///< id of its latest event that the caller had
    bool is_disordered = false;                ///< an id did not rise within the run
};

/// Tracks the ids of the events that a caller has received, so that a stream that resumes at
/// another runner repeats no event and loses none.
///
/// Two questions are kept apart. Events at the beginning of a run that the caller has from an
/// earlier run are skipped. Within a run nothing arrives twice by this daemon's doing, so an event
/// whose id does not rise is passed on like any other: its id is wrong, and its content would be
/// lost. Ids rise by steps that are not known, and one that is not a number can't be compared.
class event_cursor {
public:
    enum class decision {
        pass_on,
        skip, ///< the caller has it from an earlier run
        /// The run does not continue where the caller is, so it would lose or repeat an event.
        end_run
    };

    /// `resume_after`: the id of the last event that the caller reports as received; may be empty.
    explicit event_cursor(std::string_view resume_after);

    [[nodiscard]] static bool has_id(std::string_view event);
    /// Decides on the next event of a run.
    [[nodiscard]] decision advance(event_run& run, std::string_view event);
    /// Returns false if the run has ended before the event that the caller has.
    [[nodiscard]] bool reaches_caller(const event_run& run) const;
    /// Returns the id after which another runner has to resume; empty if no event had an id.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    /// Returns false while the latest id contradicts the ones before: another run could not resume
    /// without losing or repeating events.
    [[nodiscard]] bool is_position_certain() const { return is_certain_; }

private:
    std::string last_id_;
    std::optional<std::uint64_t> highest_; ///< of the ids that the caller has, if it is a number
    bool is_certain_ = true;
};

} // namespace cedarpoint
