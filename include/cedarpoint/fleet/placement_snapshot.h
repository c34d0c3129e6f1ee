#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/preferred_models.h"

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
};

/// How much a model is used.
struct model_load {
    int in_flight = 0;           ///< requests at the heads of its serving groups
    int slots = 0;               ///< requests that these groups can serve at a time
    double rejections_per_s = 0; ///< requests turned away

    /// Requests per slot: above 1 requests are turned away.
    [[nodiscard]] double utilization() const;
};

/// What placement and staging decide from: values that one tick takes from the registry, the plan
/// and the reports. Its pointers are valid within that tick.
struct placement_snapshot {
    using model_key = std::pair<service_id, model_id>;
    using free_map = std::map<fabric_domain_id, std::vector<const runner_snapshot*>>;

    const fleet_configuration* configuration = nullptr; ///< never null
    std::vector<runner_snapshot> runners;               ///< by id
    free_map free;                                      ///< the free ones by fabric domain
    preferred_models preferred;
    std::map<model_id, std::size_t> groups; ///< that serve or are about to
    std::map<model_key, model_load> loads;
    std::map<model_key, std::size_t> base_groups; ///< see `group_targets.h`
    std::size_t joins_loading = 0;                ///< members that read weights from the store
    bool has_traffic = false;                     ///< false before the first request

    [[nodiscard]] std::size_t count_groups(const model_id& model) const;
    [[nodiscard]] const model_load& load_of(const fleet_service& service,
                                            const engine_model& model) const;
};

[[nodiscard]] bool has_staged(const announcement& runner, const model_id& model);

} // namespace cedarpoint
