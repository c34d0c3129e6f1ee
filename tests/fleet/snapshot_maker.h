#pragma once

#include "cedarpoint/fleet/group_placement.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

inline const model_id large{"large"};
inline const model_id small{"small"};

/// Builds the input snapshots of placement, staging and conversion: one service with the models
/// `large` (groups of 4) and `small` (groups of 3) and 10 slots per group. Runners are indexed in
/// the order in which they were added.
class snapshot_maker {
public:
    snapshot_maker();

    void remove_models() { configuration_.services.front().engine->models.clear(); }
    void set_sizes(std::size_t large_size, std::size_t small_size);
    /// Adds free runners to one fabric domain, all with the same weights on their hosts. The
    /// failure domain is the first letter of the fabric domain.
    void add(const std::string& domain, int count, const std::vector<model_id>& staged);
    [[nodiscard]] announcement& runner(std::size_t n) { return announced_.at(n); }
    void set_loaded(std::size_t n, const model_id& model) { loaded_[n] = model; }
    void set_staging(std::size_t n) { staging_.push_back(n); }
    void reserve_for(std::size_t n, const model_id& model) { reserved_for_[n] = model; }
    /// Makes the runners serve in a group of the model.
    void set_serving(const std::vector<std::size_t>& runners, const model_id& model);
    /// Forms the proposed group.
    void form(const proposed_group& group);
    /// Changes the number of the model's groups in the domain; runners are not changed.
    void count_group(const fabric_domain_id& domain, const model_id& model, int change);
    /// Sets the model's load: requests in service and rejected, as `work_average` reports them.
    void set_work(const model_id& model, double requests);
    /// Sets the number of groups that conversions will still form.
    void expect_groups(const model_id& model, std::size_t groups) { expected_[model] = groups; }

    /// Returns the snapshot, valid until the next call of any member function.
    [[nodiscard]] const placement_snapshot& snapshot();
    [[nodiscard]] std::size_t count_free();
    [[nodiscard]] const fleet_service& pool() const { return configuration_.services.front(); }
    [[nodiscard]] const engine_model& model(const model_id& name) const;

    bool has_traffic = true;

private:
    fleet_configuration configuration_;
    std::deque<announcement> announced_; ///< snapshots point into it
    std::map<std::size_t, model_id> loaded_;
    std::map<std::size_t, model_id> reserved_for_;
    std::map<std::size_t, bool> serving_;
    std::vector<std::size_t> staging_;
    std::map<model_id, double> work_;
    std::map<model_id, std::size_t> expected_;
    std::map<std::pair<fabric_domain_id, model_id>, std::size_t> groups_;
    std::map<fabric_domain_id, failure_domain_id> failure_domains_;
    placement_snapshot snapshot_;
};

} // namespace cedarpoint::testing_support
