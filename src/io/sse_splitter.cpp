#include "io/sse_splitter.h"

namespace cedarpoint {
namespace {

/// Returns the length of the first event in `text` with its empty line, or 0 if it is incomplete.
std::size_t event_length(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return 0;
}

} // namespace

bool sse_splitter::put(std::string_view bytes, const std::function<void(std::string_view)>& visit)
{
    rest_.append(bytes);
    std::string_view text{rest_};
    for (auto n = event_length(text); n != 0; n = event_length(text)) {
        visit(text.substr(0, n));
        text.remove_prefix(n);
    }
    rest_.erase(0, rest_.size() - text.size());
    if (rest_.empty()) {
        rest_ = {}; // a stream that pauses keeps no buffer
    }
    return rest_.size() <= max_event;
}

bool is_done_event(std::string_view event)
{
    return event.starts_with("data: [DONE]") || event.starts_with("data:[DONE]");
}

} // namespace cedarpoint
