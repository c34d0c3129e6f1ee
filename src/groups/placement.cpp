#include "cedarpoint/groups/placement.h"

#include <algorithm>

namespace cedarpoint {
namespace {

int count_formed_groups(const group_table& groups, const pool_id& pool)
{
    const auto& all = groups.records();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const auto& it) {
        return it.second.pool == pool &&
               (it.second.state == group_state::serving || it.second.state == group_state::loading);
    }));
}

/// Returns the fraction of the pool's declared groups that load or serve.
double formed_fraction(const placement_view& view, const pool_spec& pool)
{
    return static_cast<double>(count_formed_groups(view.groups, pool.id)) / pool.count;
}

class best_fit final : public placement_strategy {
public:
    [[nodiscard]] std::vector<placement_choice> place(const placement_view& view) const override
    {
        auto needs = view.needs;
        std::stable_sort(needs.begin(), needs.end(), [&](const auto& a, const auto& b) {
            return formed_fraction(view, *a.pool) < formed_fraction(view, *b.pool);
        });
        auto spare = view.spare;
        std::vector<placement_choice> out;
        for (const auto& need : needs) {
            if (auto nodes = take(view.config, spare, *need.pool); !nodes.empty()) {
                out.push_back({need.group, std::move(nodes)});
            }
        }
        return out;
    }

private:
    static std::vector<node_id> take(const configuration& config, free_nodes& spare,
                                     const pool_spec& pool)
    {
        const auto size = static_cast<std::size_t>(pool.size);
        std::vector<node_id>* best = nullptr;
        for (auto& [fabric, nodes] : spare) {
            const auto* spec = config.find_fabric(fabric);
            const bool fits = spec != nullptr && spec->failure_domain == pool.failure_domain &&
                              nodes.size() >= size;
            if (fits && (best == nullptr || nodes.size() < best->size())) {
                best = &nodes;
            }
        }
        if (best == nullptr) {
            return {};
        }
        const auto end = best->begin() + static_cast<std::ptrdiff_t>(size);
        std::vector<node_id> out(best->begin(), end);
        best->erase(best->begin(), end);
        return out;
    }
};

} // namespace

std::unique_ptr<placement_strategy> make_best_fit_placement()
{
    return std::make_unique<best_fit>();
}

} // namespace cedarpoint
