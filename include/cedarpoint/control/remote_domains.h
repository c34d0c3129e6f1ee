#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/groups/group.h"
#include "cedarpoint/groups/group_controller.h"
#include "cedarpoint/groups/group_wire.h"
#include "control.pb.h"

#include <map>
#include <optional>
#include <vector>

namespace cedarpoint {

/// The latest view of another failure domain, as its leader sent it.
struct remote_domain {
    std::uint64_t version = 0; ///< the last applied index of the domain's log
    std::vector<group_record> groups;
    drain_marks drains;
    std::map<runner_id, int> in_flight; ///< requests, by the first runner of each group
    std::optional<instant> granted;     ///< when this daemon sent the pull that the view answers
};

/// The views of the other failure domains.
/// Owns: the latest view of each domain. Relies on: control_plane, which pulls the views.
class remote_domains {
public:
    /// Replaces the stored view of a domain; ignores an answer to an older pull. Returns false and
    /// keeps the stored view if the new one can't be parsed.
    bool on_view(instant now, const wire::domain_view& in);
    [[nodiscard]] const std::map<failure_domain_id, remote_domain>& all() const { return all_; }
    /// Returns the version of the stored view; 0 if there is none.
    [[nodiscard]] std::uint64_t version_of(const failure_domain_id& id) const;

private:
    std::map<failure_domain_id, remote_domain> all_;
};

} // namespace cedarpoint
