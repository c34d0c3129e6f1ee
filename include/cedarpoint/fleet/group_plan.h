#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/planned_group.h"

#include <cstddef>
#include <cstdint>
#include <map>
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

    /// The runner has loaded the model, as an earlier leader knew.
    void note_loaded(const runner_id& runner, const model_id& model)
    {
        last_models_[runner] = model;
    }
    /// Adds a group; its members belong to it from now on, even if they belonged to another one.
    planned_group& add(planned_group group);
    /// Adds a group; members that belong to another group stay there.
    planned_group& add_without_rebinding(planned_group group);
    /// A member that had left belongs to the group again.
    void bind(const planned_group& group, const runner_id& member) { bound_[member] = group.name; }
    /// The member has said that it left the group, and may be ordered to join another one. A
    /// heartbeat later than `latest` that names the group again says that it is back: an order to
    /// join may be carried out seconds late, also by a later life of the member.
    void free(const planned_group& group, const runner_id& member, heartbeat_number latest);
    /// The same for a group that was never opened: no report of this life of it counts any more.
    void free_unopened(const planned_group& group, const runner_id& member, birth life);
    /// The runner has begun a new life: it has loaded no model.
    void forget_loaded(const runner_id& runner) { last_models_.erase(runner); }
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
    /// The group that the runner belongs to; null if it belongs to none.
    [[nodiscard]] const planned_group* group_of(const runner_id& runner) const;
    /// True if the runner belongs to this group, as far as the plan knows.
    [[nodiscard]] bool belongs_to(const runner_id& runner, const planned_group& group) const;
    /// True if the runner was freed, in this term, from the group that this heartbeat of it names,
    /// and the heartbeat does not say that it is back.
    [[nodiscard]] bool is_freed(const announcement& runner) const;
    /// The model that the runner joined a group for last; null if it has not joined one.
    [[nodiscard]] const model_id* last_model_of(const runner_id& runner) const;
    /// Groups of each model that serve or are about to.
    [[nodiscard]] std::map<model_id, std::size_t> count_active() const;
    /// Weights that members of joining groups read from the store.
    [[nodiscard]] std::size_t count_loads() const;

private:
    group_map groups_;
    std::map<runner_id, group_id> bound_;
    /// The latest heartbeat of a freed member when it was freed; all for a group never opened.
    std::map<std::pair<group_id, runner_id>, heartbeat_number> freed_;
    std::map<runner_id, model_id> last_models_;
    std::set<group_id> ended_;
};

} // namespace cedarpoint
