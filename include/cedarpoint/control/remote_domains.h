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

/// The last view of one other failure domain, as its leader sent it.
struct remote_domain {
    std::uint64_t version = 0; ///< index that the domain's log had applied
    std::vector<group_record> groups;
    drain_marks drains;
    std::map<runner_id, int> in_flight; ///< of groups' first runners
    std::optional<instant> granted;     ///< this daemon's clock when it sent the answered pull
};

/// The views of the other failure domains.
/// Owns: the last view of each domain. Relies on: control_plane, which pulls the views.
class remote_domains {
public:
    /// False if the view can't be parsed; nothing is changed then. An older view than the one held
    /// is ignored.
    bool on_view(instant now, const wire::domain_view& in);
    [[nodiscard]] const std::map<failure_domain_id, remote_domain>& all() const { return all_; }
    /// 0 without a view.
    [[nodiscard]] std::uint64_t version_of(const failure_domain_id& id) const;

private:
    std::map<failure_domain_id, remote_domain> all_;
};

} // namespace cedarpoint
