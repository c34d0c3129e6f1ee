#pragma once

#include "cedarpoint/groups/group_table.h"

#include <map>
#include <set>
#include <string>

namespace cedarpoint::testing_support {

/// Checks the invariants of a group table through its public accessors: each node is in at most one
/// record, and the index by node agrees with the records. Owns the lists of nodes and groups to
/// query.
class group_invariants {
public:
    /// Adds a node or group that a command may contain, including rejected commands. Those in
    /// records are added by `check`.
    void expect_node(const node_id& node) { nodes_.insert(node); }
    void expect_group(const group_id& group) { groups_.insert(group); }

    /// Returns a description of the first violated invariant; empty if there is none.
    std::string check(const group_table& table)
    {
        std::map<node_id, group_id> group_by_node;
        for (const auto& [id, it] : table.records()) {
            groups_.insert(id);
            for (const auto& node : it.nodes) {
                nodes_.insert(node);
                if (!group_by_node.emplace(node, id).second) {
                    return "node " + node.str() + " is in two groups";
                }
            }
        }
        if (auto violation = compare(table, group_by_node); !violation.empty()) {
            return violation;
        }
        // The accessors do not show an index entry whose group has no record. Adding records for
        // all missing groups to a copy of the table would make such entries visible.
        if (groups_.size() == table.records().size()) {
            return {};
        }
        auto probe = table;
        for (const auto& id : groups_) {
            if (table.find(id) == nullptr) {
                group_record it;
                it.id = id;
                it.nodes = {node_id{"probe of " + id.str()}};
                probe.assign(std::move(it), {});
            }
        }
        return compare(probe, group_by_node);
    }

private:
    /// Compares the index by node with `group_by_node`, the group of each node that is in a record.
    [[nodiscard]] std::string compare(const group_table& table,
                                      const std::map<node_id, group_id>& group_by_node) const
    {
        for (const auto& node : nodes_) {
            const auto* indexed = table.find_by_node(node);
            const auto found = group_by_node.find(node);
            const bool matches = found == group_by_node.end()
                                     ? indexed == nullptr
                                     : indexed != nullptr && indexed->id == found->second;
            if (!matches) {
                return "the index by node disagrees with the records for node " + node.str();
            }
        }
        return {};
    }

    std::set<node_id> nodes_;
    std::set<group_id> groups_;
};

} // namespace cedarpoint::testing_support
