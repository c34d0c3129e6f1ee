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

/// What one other failure domain's authority last said about itself.
struct remote_domain {
    std::uint64_t version = 0;
    std::vector<group_record> groups;
    drain_marks drains;
    std::map<runner_id, int> in_flight; ///< of groups' first runners
    std::optional<instant> granted;     ///< our clock when we asked for the latest answer
};

/// The other failure domains, as pulled from their authorities.
class remote_domains {
public:
    /// False if the view can't be read.
    bool on_view(instant now, const wire::domain_view& in);
    [[nodiscard]] const std::map<failure_domain_id, remote_domain>& all() const { return all_; }
    [[nodiscard]] std::uint64_t version_of(const failure_domain_id& id) const;

private:
    std::map<failure_domain_id, remote_domain> all_;
};

} // namespace cedarpoint
