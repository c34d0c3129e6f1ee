#pragma once

#include "cedarpoint/groups/group_controller.h"
#include "control.pb.h"

#include <string>

namespace cedarpoint {

using drain_entries = google::protobuf::RepeatedPtrField<wire::drain_entry>;

/// Sets or clears the drain mark of a "node", "group" or "runner". Returns false for other kinds.
bool mark_drain(drain_marks& marks, const std::string& kind, const std::string& id, bool draining);

void write_drains(const drain_marks& from, drain_entries& to);
/// Ignores entries of a kind that this version does not know.
drain_marks read_drains(const drain_entries& from);

} // namespace cedarpoint
