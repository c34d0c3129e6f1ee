#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Tracks the ids of the events that a caller has received, so that a stream that resumes at
/// another runner repeats no event. Ids are increasing numbers. An id that is not a number can't be
/// compared, so its event is always forwarded.
class event_cursor {
public:
    /// `resume_after`: the id of the last event that the caller reports as received; may be empty.
    explicit event_cursor(std::string_view resume_after);

    [[nodiscard]] static bool has_id(std::string_view event);
    /// Records the next event. Returns false if the caller has it already.
    [[nodiscard]] bool advance(std::string_view event);
    /// Returns the id after which another runner has to resume; empty if no event had an id.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }

private:
    std::string last_id_;
    std::uint64_t last_number_ = 0;
};

} // namespace cedarpoint
