#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/planned_group.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace cedarpoint {

/// The groups of the leader's plan and the runners that belong to them. A runner belongs to at most
/// one group. Holds state only; `group_lifecycle` makes the decisions.
class group_plan {
public:
    using group_map = std::map<group_id, planned_group>;

    /// Clears the plan for a new term. Keeps the model that each runner joined last.
    void clear();

    /// Records the model that the runner has loaded, as an earlier leader logged it.
    void note_loaded(const runner_id& runner, const model_id& model)
    {
        last_models_[runner] = model;
    }
    /// Adds a group. Its members now belong to it, even if they belonged to another group.
    planned_group& add(planned_group group);
    /// Adds a group. Members that belong to another group remain in that one.
    planned_group& add_without_rebinding(planned_group group);
    /// Assigns a member that had left to the group again.
    void bind(const planned_group& group, const runner_id& member) { bound_[member] = group.name; }
    /// Frees a member that has confirmed that it left the group; it may be ordered to join another
    /// one. A heartbeat later than `latest` that names the group means that the member has rejoined
    /// it: an order to join may be carried out seconds late, even by a later incarnation of the
    /// member.
    void free(const planned_group& group, const runner_id& member, heartbeat_number latest);
    /// Frees a member of a group that was never opened: all reports of this incarnation of the
    /// member that name the group are ignored.
    void free_unopened(const planned_group& group, const runner_id& member,
                       incarnation its_incarnation);
    /// Keeps the runner out of new groups until `until`.
    void set_aside(const runner_id& runner, instant until) { set_aside_[runner] = until; }
    /// Clears the runner's loaded model, because a new incarnation of it has loaded none.
    void clear_loaded(const runner_id& runner) { last_models_.erase(runner); }
    /// Removes the member from the group without freeing it: later reports that name the group
    /// still count.
    void unbind(const planned_group& group, const runner_id& member);
    /// Marks a group whose members are all freed or removed as ended. It stays in the plan until
    /// `erase_ended`, so that groups can be ended during iteration.
    void end(const planned_group& group) { ended_.insert(group.name); }
    void erase_ended();
    [[nodiscard]] bool has_ended(const planned_group& group) const
    {
        return ended_.contains(group.name);
    }

    [[nodiscard]] group_map& groups() { return groups_; }
    [[nodiscard]] const group_map& groups() const { return groups_; }
    [[nodiscard]] planned_group* find(const group_id& name);
    [[nodiscard]] bool is_bound(const runner_id& runner) const { return bound_.contains(runner); }
    [[nodiscard]] bool is_set_aside(instant now, const runner_id& runner) const;
    /// Returns the group that the runner belongs to; null if there is none.
    [[nodiscard]] const planned_group* group_of(const runner_id& runner) const;
    /// Returns true if the plan assigns the runner to this group.
    [[nodiscard]] bool belongs_to(const runner_id& runner, const planned_group& group) const;
    /// Returns true if the runner was freed in this term from the group that this heartbeat names,
    /// and the heartbeat is no later than that.
    [[nodiscard]] bool is_freed(const announcement& runner) const;
    /// Returns the model of the latest group that the runner joined; null if it has joined none.
    [[nodiscard]] const model_id* last_model_of(const runner_id& runner) const;
    /// Returns the number of groups of each model that are joining, opening or serving.
    [[nodiscard]] std::map<model_id, std::size_t> count_active() const;
    /// Returns the number of members of joining groups that load weights from the store.
    [[nodiscard]] std::size_t count_loads() const;

private:
    group_map groups_;
    std::map<runner_id, group_id> bound_;
    /// The latest heartbeat of each freed member when it was freed; the highest number if its group
    /// was never opened.
    std::map<std::pair<group_id, runner_id>, heartbeat_number> freed_;
    std::map<runner_id, model_id> last_models_;
    std::map<runner_id, instant> set_aside_; ///< until when, by runner
    std::set<group_id> ended_;
};

} // namespace cedarpoint
