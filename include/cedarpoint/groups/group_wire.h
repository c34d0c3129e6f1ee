#pragma once

#include "cedarpoint/groups/group.h"
#include "control.pb.h"

#include <optional>

namespace cedarpoint {

wire::group_entry to_wire(const group_record& it);
/// Returns empty if a field has a value that this version does not know.
std::optional<group_record> from_wire(const wire::group_entry& it);

} // namespace cedarpoint
