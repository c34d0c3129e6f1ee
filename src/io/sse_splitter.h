#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Splits a stream of server-sent events into complete events, each with its final empty line.
class sse_splitter {
public:
    /// Largest size of an incomplete event in bytes. Bounds the memory that a runner can make a
    /// daemon use.
    static constexpr std::size_t max_event = 1 << 20;

    /// Calls `visit` with each event that is now complete. Returns false if the incomplete event
    /// exceeds `max_event`.
    bool put(std::string_view bytes, const std::function<void(std::string_view)>& visit);
    /// Returns true if the last event is incomplete.
    [[nodiscard]] bool has_partial_event() const { return !rest_.empty(); }
    /// Returns the size of the incomplete event in bytes.
    [[nodiscard]] std::size_t partial_size() const { return rest_.size(); }

private:
    std::string rest_;
};

/// Returns true for the event that ends an OpenAI-style stream.
bool is_done_event(std::string_view event);

} // namespace cedarpoint
