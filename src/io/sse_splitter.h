#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Cuts a stream of server-sent events into whole events, each with its closing empty line.
class sse_splitter {
public:
    /// Bytes of one event: bounds what a runner can make a daemon keep.
    static constexpr std::size_t max_event = 1 << 20;

    /// Calls `visit` with each event that is whole now. False once an event is too large.
    bool put(std::string_view bytes, const std::function<void(std::string_view)>& visit);
    /// True if part of an event is waiting for its end.
    [[nodiscard]] bool has_rest() const { return !rest_.empty(); }

private:
    std::string rest_;
};

/// True for the event that ends an OpenAI-style stream.
bool is_done_event(std::string_view event);

} // namespace cedarpoint
