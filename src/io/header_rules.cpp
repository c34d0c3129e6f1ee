#include "io/header_rules.h"

#include <algorithm>
#include <array>

namespace cedarpoint {
namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE", "Trailer", "Upgrade",
    "Expect",     "Transfer-Encoding", "Content-Length"};

} // namespace

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                       [&](std::string_view each) { return equal_ignoring_case(each, name); });
}

http_head without_hop_by_hop(const http_head& head)
{
    http_head out{head.status, {}};
    for (const auto& [name, value] : head.fields.all()) {
        if (!is_hop_by_hop(name)) {
            out.fields.add(name, value);
        }
    }
    return out;
}

http_head without_field(const http_head& head, std::string_view name)
{
    http_head out{head.status, {}};
    for (const auto& [each, value] : head.fields.all()) {
        if (!equal_ignoring_case(each, name)) {
            out.fields.add(each, value);
        }
    }
    return out;
}

bool is_event_stream(const http_head& head)
{
    return head.fields.get("Content-Type").starts_with("text/event-stream");
}

} // namespace cedarpoint
