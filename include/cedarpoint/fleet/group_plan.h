#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/planned_group.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cedarpoint {

/// The groups of the leader's plan, and which runners belong to them. A runner belongs to one group
/// at most. Holds state only: `group_lifecycle` decides on it.
class group_plan {
public:
    using group_map = std::map<group_id, planned_group>;

    /// Empties the plan for a new term. The models that runners joined last stay known.
    void clear();

    /// Adds a group; its members belong to it from now on, even if they belonged to another one.
    planned_group& add(planned_group group);
    /// Adds a group; members that belong to another group stay there.
    planned_group& add_without_rebinding(planned_group group);
    /// The member belongs to the group no more, and may be ordered to join another one.
    void free(instant now, const planned_group& group, const runner_id& member);
    /// The member belongs to the group no more, but is not free: what it reports next counts.
    void forget(const planned_group& group, const runner_id& member);
    /// Marks a group whose members are all free or forgotten. The group itself stays until
    /// `erase_ended`, so that loops over the groups may end them.
    void end(const planned_group& group) { ended_.insert(group.name); }
    void erase_ended();

    [[nodiscard]] group_map& groups() { return groups_; }
    [[nodiscard]] const group_map& groups() const { return groups_; }
    [[nodiscard]] planned_group* find(const group_id& name);
    [[nodiscard]] bool is_bound(const runner_id& runner) const { return bound_.contains(runner); }
    /// True if the runner belongs to this group, as far as the plan knows.
    [[nodiscard]] bool belongs_to(const runner_id& runner, const planned_group& group) const;
    /// When the runner was freed from the group; empty if it was not in this term.
    [[nodiscard]] std::optional<instant> freed_at(const group_id& group,
                                                  const runner_id& runner) const;
    /// The model that the runner joined a group for last; null if it has not joined one.
    [[nodiscard]] const model_id* last_model_of(const runner_id& runner) const;
    /// Groups of each model that serve or are about to.
    [[nodiscard]] std::map<model_id, std::size_t> count_active() const;
    /// Weights that members of joining groups read from the store.
    [[nodiscard]] std::size_t count_loads() const;

private:
    group_map groups_;
    std::map<runner_id, group_id> bound_;
    std::map<std::pair<group_id, runner_id>, instant> freed_;
    std::map<runner_id, model_id> last_models_;
    std::set<group_id> ended_;
};

} // namespace cedarpoint
