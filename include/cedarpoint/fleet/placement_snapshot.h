#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace cedarpoint {

/// The state of one runner of a service with an engine, as input to placement, conversion and
/// staging.
struct runner_snapshot {
    const announcement* latest = nullptr; ///< latest heartbeat; never null
    bool usable = false;                  ///< present, not suspected, not draining
    bool free = false;                    ///< may be ordered to join a group now
    bool staging = false;                 ///< weights are being copied to its host
    const model_id* last_model = nullptr; ///< of its latest group; null if none
    bool settled = false; ///< sent a heartbeat to this leader; in no group, or in one that serves
    const model_id* reserved_for = nullptr; ///< by a conversion, for this model; null if none
};

/// The input of placement, conversion and staging: values taken from the registry, the plan and the
/// reports in one tick. Its pointers are valid only within that tick.
struct placement_snapshot {
    using model_key = std::pair<service_id, model_id>;
    using free_map = std::map<fabric_domain_id, std::vector<const runner_snapshot*>>;

    const fleet_configuration* configuration = nullptr; ///< never null
    std::vector<runner_snapshot> runners;               ///< by id
    free_map free;                                      ///< free runners by fabric domain
    std::map<model_id, std::size_t> groups; ///< groups that are joining, opening or serving
    /// The same by fabric domain, and by failure domain.
    std::map<std::pair<fabric_domain_id, model_id>, std::size_t> groups_by_domain;
    std::map<std::pair<failure_domain_id, model_id>, std::size_t> groups_by_failure_domain;
    std::map<model_key, double> work;         ///< see `work_average.h`
    std::map<model_id, std::size_t> expected; ///< groups that conversions in progress will form
    std::size_t joins_loading = 0;            ///< members that load weights from the store
    bool has_traffic = false;                 ///< false before the first request

    [[nodiscard]] std::size_t count_groups(const model_id& model) const;
    [[nodiscard]] std::size_t count_groups_in(const fabric_domain_id& domain,
                                              const model_id& model) const;
    [[nodiscard]] std::size_t count_groups_in(const failure_domain_id& domain,
                                              const model_id& model) const;
    [[nodiscard]] std::size_t count_with_expected(const model_id& model) const;
    [[nodiscard]] double work_of(const fleet_service& service, const engine_model& model) const;
};

/// Returns true if the runner can join for the model within seconds, without the weight store: the
/// model is loaded, or its weights are on the runner's host.
[[nodiscard]] bool can_join_soon(const runner_snapshot& runner, const engine_model& model);
[[nodiscard]] bool has_loaded(const runner_snapshot& runner, const engine_model& model);
[[nodiscard]] bool has_staged(const announcement& runner, const model_id& model);

} // namespace cedarpoint
