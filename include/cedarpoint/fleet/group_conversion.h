#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cedarpoint {

/// A proposal to retire groups of one model so that their runners can form groups of another model
/// in the same fabric domain.
struct conversion_proposal {
    const fleet_service* service = nullptr;
    const engine_model* to = nullptr;
    const engine_model* from = nullptr;
    fabric_domain_id domain;
    std::vector<const planned_group*> retired;
    std::set<runner_id> runners; ///< runners that can join for `to`: members of the retired groups,
                                 ///< and free runners
    std::size_t gained = 0;      ///< groups of `to` that these runners can form
};

/// Moves capacity to the model with the highest utilization. A group of a less utilized model is
/// retired: it accepts no new requests and ends when its last request has ended. Its runners
/// already have the other model's weights on their hosts (see `weight_staging`), so they join for
/// that model within seconds.
///
/// A conversion must clearly lower the higher utilization of the two models. Under constant load
/// that utilization falls with each conversion, so no conversion undoes an earlier one and the
/// allocation converges. No failure domain loses its last group of a model: during a network
/// partition it could no longer serve that model.
///
/// Reserves the runners of each conversion in progress, so that placement uses them only for the
/// model that they were converted for.
class group_conversion {
public:
    void clear()
    {
        under_way_.clear();
        received_at_.clear();
    }
    /// Returns the next worthwhile conversion and records it as in progress; empty if there is
    /// none.
    [[nodiscard]] std::optional<conversion_proposal>
    begin_next(instant now, const placement_snapshot& in, const group_plan& plan);
    /// Removes conversions that have formed their groups, can no longer form them, or are overdue.
    /// Returns true if it removed any; pointers that `reserved_for` returned earlier are then
    /// invalid.
    bool remove_finished(instant now, const placement_snapshot& in);
    /// Records that these runners have formed a group of the model.
    void on_formed(const model_id& model, const std::vector<runner_id>& members);

    /// Returns the model that the runner is reserved for; null if it may join for any model.
    [[nodiscard]] const model_id* reserved_for(const runner_id& runner) const;
    /// Returns, for each model, the number of groups that conversions in progress will still form.
    [[nodiscard]] std::map<model_id, std::size_t> count_expected() const;
    [[nodiscard]] std::size_t count() const { return under_way_.size(); }

private:
    struct conversion {
        model_id to;
        std::size_t group_size = 1;
        std::size_t expected = 0; ///< groups not formed yet
        std::set<runner_id> runners;
        instant overdue_at;
    };

    /// Returns the models that received groups recently and therefore give none now.
    [[nodiscard]] std::set<model_id> find_cooling_down(instant now) const;
    [[nodiscard]] std::size_t count_runners() const;

    std::vector<conversion> under_way_;
    std::map<model_id, instant> received_at_;
    instant next_at_;
};

} // namespace cedarpoint
