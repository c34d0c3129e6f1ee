#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Follows the ids of the events that a caller has got, so that a stream that goes on at another
/// runner repeats none. Ids are numbers that rise. One that is no number can't be compared: its
/// event is passed on.
class event_cursor {
public:
    /// `resume_after`: the id of the last event that the caller says it has; may be empty.
    explicit event_cursor(std::string_view resume_after);

    /// Takes the next event. False if the caller has it already.
    [[nodiscard]] bool advance(std::string_view event);
    /// Where another runner has to go on; empty if no event had an id.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }

private:
    std::string last_id_;
    std::uint64_t last_number_ = 0;
};

} // namespace cedarpoint
