#include "cedarpoint/groups/group_table.h"

#include <algorithm>
#include <set>

namespace cedarpoint {

std::string group_table::assign(group_record it, epoch floor)
{
    if (records_.contains(it.id)) {
        return "group " + it.id.str() + " already has nodes";
    }
    const std::set<node_id> distinct(it.nodes.begin(), it.nodes.end());
    if (it.nodes.empty() || distinct.size() != it.nodes.size()) {
        return "a group needs at least one node and each node only once";
    }
    for (const auto& node : it.nodes) {
        if (const auto* other = find_by_node(node)) {
            return "node " + node.str() + " is in group " + other->id.str();
        }
    }
    last_epoch_.value = std::max(last_epoch_.value, floor.value) + 1;
    it.assignment = last_epoch_;
    it.state = group_state::loading;
    for (const auto& node : it.nodes) {
        by_node_[node] = it.id;
    }
    const auto id = it.id;
    records_[id] = std::move(it);
    return {};
}

std::string group_table::advance(const group_id& id, epoch assignment, group_state to)
{
    const auto it = records_.find(id);
    if (it == records_.end()) {
        return "group " + id.str() + " has no nodes";
    }
    auto& record = it->second;
    if (record.assignment != assignment) {
        return "group " + id.str() + " has a different epoch";
    }
    if (!is_legal_step(record.state, to)) {
        return std::string{"a "} + std::string{name_of(record.state)} + " group can't become " +
               std::string{name_of(to)};
    }
    if (to != group_state::released) {
        record.state = to;
        return {};
    }
    for (const auto& node : record.nodes) {
        by_node_.erase(node);
    }
    records_.erase(it);
    return {};
}

const group_record* group_table::find(const group_id& id) const
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

const group_record* group_table::find_by_node(const node_id& node) const
{
    const auto it = by_node_.find(node);
    return it == by_node_.end() ? nullptr : find(it->second);
}

void group_table::restore(std::vector<group_record> all, epoch last)
{
    records_.clear();
    by_node_.clear();
    for (auto& it : all) {
        for (const auto& node : it.nodes) {
            by_node_[node] = it.id;
        }
        const auto id = it.id;
        records_[id] = std::move(it);
    }
    last_epoch_ = last;
}

} // namespace cedarpoint
