#include "entry/forwarded_request.h"

#include "cedarpoint/core/parse_integer.h"
#include "entry/request_bytes.h"
#include "io/header_rules.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cedarpoint {
namespace {

constexpr std::string_view result_field = "Cedarpoint-Forward-Result";
constexpr std::string_view runner_field = "Cedarpoint-Forward-Runner";

constexpr std::array<std::string_view, 5> result_names{"runner", "sent", "not-sent", "unreachable",
                                                       "outdated"};

} // namespace

outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                           const forwarded_request& added, const header_names& names)
{
    http_fields fields;
    fields.add(names.deadline_ms, std::to_string(added.time_left.count()));
    if (!added.resume_after.empty()) {
        fields.add(names.resume_after, added.resume_after);
    }
    std::vector<std::string_view> excluded;
    for (const auto& runner : added.excluded) {
        excluded.emplace_back(runner.str());
    }
    fields.add(std::string{forward_excluded_field}, fmt::format("{}", fmt::join(excluded, ",")));
    fields.add(std::string{forward_sender_field}, added.sender);
    if (added.version > 0) {
        fields.add(std::string{forward_version_field}, std::to_string(added.version));
    }
    const std::array<std::string_view, 5> removed{names.deadline_ms, names.resume_after,
                                                  forward_excluded_field, forward_sender_field,
                                                  forward_version_field};
    return serialize(from, fields, removed);
}

std::set<runner_id> read_excluded(const http_request& in)
{
    std::set<runner_id> out;
    auto rest = in.fields.get(forward_excluded_field);
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        out.emplace(std::string{rest.substr(0, end)});
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::string_view read_sender(const http_request& in)
{
    return in.fields.get(forward_sender_field);
}

std::uint64_t read_version(const http_request& in)
{
    const auto out = parse_integer(in.fields.get(forward_version_field)).value_or(0);
    return static_cast<std::uint64_t>(std::max(out, std::int64_t{0}));
}

void add_forward_fields(http_head& head, forward_result result, const runner_id& runner)
{
    head = without_forward_fields(head); // a runner's answer has none that mean anything
    head.fields.add(std::string{result_field},
                    std::string{result_names.at(static_cast<std::size_t>(result))});
    if (!runner.empty()) {
        head.fields.add(std::string{runner_field}, runner.str());
    }
}

forward_result read_forward_result(const http_head& head)
{
    const auto* const found =
        std::find(result_names.begin(), result_names.end(), head.fields.get(result_field));
    // Without a valid name it is not certain that the request was not sent.
    return found == result_names.end() ? forward_result::sent
                                       : static_cast<forward_result>(found - result_names.begin());
}

bool was_sent_to_none(forward_result result)
{
    return result != forward_result::from_runner && result != forward_result::sent;
}

runner_id read_forward_runner(const http_head& head)
{
    return runner_id{std::string{head.fields.get(runner_field)}};
}

http_head without_forward_fields(const http_head& head)
{
    return without_field(without_field(head, result_field), runner_field);
}

} // namespace cedarpoint
