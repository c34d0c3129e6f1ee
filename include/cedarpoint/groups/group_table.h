#pragma once

#include "cedarpoint/groups/group.h"

#include <map>
#include <string>
#include <vector>

namespace cedarpoint {

/// The groups of one failure domain, part of its replicated state. Each change is checked when a
/// replica applies it, so no node is in two groups whatever a controller proposes.
/// Owns: the records and an index from node to group. Relies on: all replicas applying the same
/// commands in the same order.
class group_table {
public:
    /// Adds a record with an epoch above `floor` and above all earlier ones. Empty text on success,
    /// else why it was refused; nothing is changed then.
    std::string assign(group_record it, epoch floor);
    /// Changes a group's state if `assignment` is its current epoch. The result is as in `assign`.
    std::string advance(const group_id& id, epoch assignment, group_state to);

    /// Null if the group has no record.
    [[nodiscard]] const group_record* find(const group_id& id) const;
    /// Null if the node is in no group.
    [[nodiscard]] const group_record* find_by_node(const node_id& node) const;
    [[nodiscard]] const std::map<group_id, group_record>& records() const { return records_; }
    [[nodiscard]] epoch last_epoch() const { return last_epoch_; }

    /// Replaces everything by a snapshot's records.
    void restore(std::vector<group_record> all, epoch last);

private:
    std::map<group_id, group_record> records_;
    std::map<node_id, group_id> by_node_;
    epoch last_epoch_;
};

} // namespace cedarpoint
