#include "entry/runner_request.h"

#include "io/header_rules.h"

#include <algorithm>
#include <array>

namespace cedarpoint {
namespace {

/// Returns true for headers that are not copied from the caller: this daemon sets them, or the
/// runner must not see them.
bool is_reserved(const header_names& names, std::string_view name)
{
    const std::array<std::string_view, 6> reserved{names.deadline_ms,  names.priority,
                                                   names.account,      names.expected_runner,
                                                   names.resume_after, "Authorization"};
    return std::any_of(reserved.begin(), reserved.end(),
                       [&](std::string_view each) { return equal_ignoring_case(each, name); });
}

void add(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

bool has_no_body(const http_request& in)
{
    return in.body.empty() && (in.method == "GET" || in.method == "HEAD");
}

} // namespace

std::string serialize(const http_request& from, const runner_request& added,
                      const header_names& names)
{
    std::string out = from.method + " " + from.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : from.fields.all()) {
        if (!is_reserved(names, name) && !is_hop_by_hop(name)) {
            add(out, name, value);
        }
    }
    add(out, names.deadline_ms, std::to_string(added.time_left.count()));
    add(out, names.expected_runner, added.expected_runner.str());
    if (added.account) {
        add(out, names.account, added.account->str());
    }
    if (added.priority) {
        add(out, names.priority, std::to_string(*added.priority));
    }
    if (!added.resume_after.empty()) {
        add(out, names.resume_after, added.resume_after);
    }
    if (!has_no_body(from)) {
        add(out, "Content-Length", std::to_string(from.body.size()));
    }
    return out + "\r\n" + from.body;
}

} // namespace cedarpoint
