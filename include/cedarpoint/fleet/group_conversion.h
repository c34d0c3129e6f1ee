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

/// Groups of one model that are to make room for groups of another one in the same fabric domain.
struct conversion_proposal {
    const fleet_service* service = nullptr;
    const engine_model* to = nullptr;
    const engine_model* from = nullptr;
    fabric_domain_id domain;
    std::vector<const planned_group*> retired;
    std::set<runner_id> runners; ///< that can join for `to`: of the retired groups, and free ones
    std::size_t gained = 0;      ///< groups of `to` that fit
};

/// Moves capacity to the model that is shortest of it. A group of the model with more room is
/// retired (it takes no new requests and ends with its last one), and its runners, which hold the
/// other model's weights on their hosts (`weight_staging`), join for that model within seconds.
///
/// A conversion must lower the higher utilization of the two models by a clear part. With unchanged
/// work it falls with each conversion, so none undoes an earlier one and capacity settles. No
/// failure domain loses its last group of a model: cut off, it could not serve it any more.
///
/// Remembers the runners of each conversion under way, so that placement forms what it is for.
class group_conversion {
public:
    void clear()
    {
        under_way_.clear();
        taken_at_.clear();
    }
    /// The next conversion that is worth its while; empty if there is none. It counts as begun.
    [[nodiscard]] std::optional<conversion_proposal>
    begin_next(instant now, const placement_snapshot& in, const group_plan& plan);
    /// Ends conversions that have formed their groups, can't form them any more, or are overdue.
    /// True if it ended one; what `kept_for` has returned before is not valid any more then.
    bool forget_finished(instant now, const placement_snapshot& in);
    /// A group was formed of these runners.
    void on_formed(const model_id& model, const std::vector<runner_id>& members);

    /// The model that the runner is kept for; null if it may join for any.
    [[nodiscard]] const model_id* kept_for(const runner_id& runner) const;
    /// Groups of each model that conversions under way will form.
    [[nodiscard]] std::map<model_id, std::size_t> count_expected() const;
    [[nodiscard]] std::size_t count() const { return under_way_.size(); }

private:
    struct conversion {
        model_id to;
        std::size_t group_size = 1;
        std::size_t expected = 0; ///< groups that are still to be formed
        std::set<runner_id> runners;
        instant overdue_at;
    };

    /// Models that were given groups lately.
    [[nodiscard]] std::set<model_id> find_resting(instant now) const;
    [[nodiscard]] std::size_t count_runners() const;

    std::vector<conversion> under_way_;
    std::map<model_id, instant> taken_at_;
    instant next_at_;
};

} // namespace cedarpoint
