#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace cedarpoint {

/// One runner of a service with an engine, as placement and staging see it.
struct runner_snapshot {
    const announcement* latest = nullptr; ///< its latest heartbeat; never null
    bool usable = false;                  ///< present, not suspected, not draining
    bool free = false;                    ///< may be ordered to join a group now
    bool staging = false;                 ///< weights are being copied to its host
    const model_id* last_model = nullptr; ///< that it joined a group for last; null if none
    bool settled = false; ///< heard by this leader, and in no group that is formed or ended
    const model_id* kept_for = nullptr; ///< a conversion keeps it for this model; null if none
};

/// What placement and staging decide from: values that one tick takes from the registry, the plan
/// and the reports. Its pointers are valid within that tick.
struct placement_snapshot {
    using model_key = std::pair<service_id, model_id>;
    using free_map = std::map<fabric_domain_id, std::vector<const runner_snapshot*>>;

    const fleet_configuration* configuration = nullptr; ///< never null
    std::vector<runner_snapshot> runners;               ///< by id
    free_map free;                                      ///< the free ones by fabric domain
    std::map<model_id, std::size_t> groups;             ///< that serve or are about to
    /// The same in each fabric domain, and in each failure domain.
    std::map<std::pair<fabric_domain_id, model_id>, std::size_t> groups_by_domain;
    std::map<std::pair<failure_domain_id, model_id>, std::size_t> groups_by_failure_domain;
    std::map<model_key, double> work;         ///< see `work_average.h`
    std::map<model_id, std::size_t> expected; ///< groups that conversions under way will form
    std::size_t joins_loading = 0;            ///< members that read weights from the store
    bool has_traffic = false;                 ///< false before the first request

    [[nodiscard]] std::size_t count_groups(const model_id& model) const;
    [[nodiscard]] std::size_t count_groups_in(const fabric_domain_id& domain,
                                              const model_id& model) const;
    [[nodiscard]] std::size_t count_groups_in(const failure_domain_id& domain,
                                              const model_id& model) const;
    [[nodiscard]] std::size_t count_with_expected(const model_id& model) const;
    [[nodiscard]] double work_of(const fleet_service& service, const engine_model& model) const;
};

/// True if the runner has loaded the model, or can from its host at once: it joins for it within
/// seconds, without the weight store.
[[nodiscard]] bool can_join_soon(const runner_snapshot& runner, const engine_model& model);
[[nodiscard]] bool has_loaded(const runner_snapshot& runner, const engine_model& model);
[[nodiscard]] bool has_staged(const announcement& runner, const model_id& model);

} // namespace cedarpoint
