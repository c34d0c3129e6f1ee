#pragma once

#include "cedarpoint/groups/group.h"

#include <map>
#include <string>
#include <vector>

namespace cedarpoint {

/// The groups of one failure domain. Each change is checked here, at the place where all replicas
/// apply it, so that no node is ever in two groups whatever a controller proposes.
class group_table {
public:
    /// Gives a new group its nodes. Empty text on success, else why it was refused.
    std::string assign(group_record it, epoch floor);
    /// Moves a group on, if `assignment` is still the one in force.
    std::string advance(const group_id& id, epoch assignment, group_state to);

    [[nodiscard]] const group_record* find(const group_id& id) const;
    [[nodiscard]] const group_record* find_by_node(const node_id& node) const;
    [[nodiscard]] const std::map<group_id, group_record>& records() const { return records_; }
    [[nodiscard]] epoch last_epoch() const { return last_epoch_; }

    /// From a snapshot.
    void restore(std::vector<group_record> all, epoch last);

private:
    std::map<group_id, group_record> records_;
    std::map<node_id, group_id> by_node_;
    epoch last_epoch_;
};

} // namespace cedarpoint
