#pragma once

#include "cedarpoint/groups/group.h"

#include <map>
#include <string>
#include <vector>

namespace cedarpoint {

/// The groups of one failure domain; part of its replicated state. Each change is checked when a
/// replica applies it, so that no proposal of a controller can put a node into two groups.
/// Owns the records and an index from node to group. All replicas must apply the same commands in
/// the same order.
class group_table {
public:
    /// Adds a record with an epoch above `floor` and above all earlier epochs. Returns an empty
    /// string, or the reason for the refusal; the table is then unchanged.
    std::string assign(group_record it, epoch floor);
    /// Changes a group's state if `assignment` is its current epoch. Returns as `assign`.
    std::string advance(const group_id& id, epoch assignment, group_state to);

    /// Returns null if the group has no record.
    [[nodiscard]] const group_record* find(const group_id& id) const;
    /// Returns null if the node is in no group.
    [[nodiscard]] const group_record* find_by_node(const node_id& node) const;
    [[nodiscard]] const std::map<group_id, group_record>& records() const { return records_; }
    [[nodiscard]] epoch last_epoch() const { return last_epoch_; }

    /// Replaces all records by those of a snapshot.
    void restore(std::vector<group_record> all, epoch last);

private:
    std::map<group_id, group_record> records_;
    std::map<node_id, group_id> by_node_;
    epoch last_epoch_;
};

} // namespace cedarpoint
