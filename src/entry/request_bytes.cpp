#include "entry/request_bytes.h"

#include "io/header_rules.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

void add(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

bool has_no_body(const http_request& in)
{
    return in.body.empty() && (in.method == "GET" || in.method == "HEAD");
}

} // namespace

outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                           const http_fields& added, std::span<const std::string_view> removed)
{
    std::string out = from->method + " " + from->target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : from->fields.all()) {
        const bool is_removed =
            std::any_of(removed.begin(), removed.end(), [&name = name](std::string_view each) {
                return equal_ignoring_case(each, name);
            });
        if (!is_removed && !is_hop_by_hop(name)) {
            add(out, name, value);
        }
    }
    for (const auto& [name, value] : added.all()) {
        add(out, name, value);
    }
    if (!has_no_body(*from)) {
        add(out, "Content-Length", std::to_string(from->body.size()));
    }
    out += "\r\n";
    return {std::move(out), std::shared_ptr<const std::string>{from, &from->body}};
}

} // namespace cedarpoint
