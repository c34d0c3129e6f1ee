#include "entry/runner_request.h"

#include "entry/forwarded_request.h"
#include "entry/request_bytes.h"

#include <array>

namespace cedarpoint {

outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                           const runner_request& added, const header_names& names)
{
    http_fields fields;
    fields.add(names.deadline_ms, std::to_string(added.time_left.count()));
    fields.add(names.expected_runner, added.expected_runner.str());
    if (added.account) {
        fields.add(names.account, added.account->str());
    }
    if (added.priority) {
        fields.add(names.priority, std::to_string(*added.priority));
    }
    if (!added.resume_after.empty()) {
        fields.add(names.resume_after, added.resume_after);
    }
    // Set by this daemon, or not for runners to see.
    const std::array<std::string_view, 9> removed{
        names.deadline_ms,      names.priority,       names.account,
        names.expected_runner,  names.resume_after,   "Authorization",
        forward_excluded_field, forward_sender_field, forward_version_field};
    return serialize(from, fields, removed);
}

} // namespace cedarpoint
