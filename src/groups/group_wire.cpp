#include "cedarpoint/groups/group_wire.h"

namespace cedarpoint {

wire::group_entry to_wire(const group_record& it)
{
    wire::group_entry out;
    out.set_id(it.id.str());
    out.set_pool(it.pool.str());
    out.set_model(it.model.str());
    out.set_version(it.version);
    for (const auto& name : it.adapters) {
        out.add_adapters(name);
    }
    out.set_role(static_cast<std::uint32_t>(it.role));
    out.set_state(static_cast<std::uint32_t>(it.state));
    out.set_epoch(it.assignment.value);
    for (const auto& node : it.nodes) {
        out.add_nodes(node.str());
    }
    return out;
}

std::optional<group_record> from_wire(const wire::group_entry& it)
{
    const auto state = parse_group_state(it.state());
    if (!state || it.role() > static_cast<std::uint32_t>(group_role::decode)) {
        return {};
    }
    group_record out;
    out.id = group_id{it.id()};
    out.pool = pool_id{it.pool()};
    out.model = model_id{it.model()};
    out.version = it.version();
    out.adapters.assign(it.adapters().begin(), it.adapters().end());
    out.role = static_cast<group_role>(it.role());
    out.state = *state;
    out.assignment = {it.epoch()};
    for (const auto& node : it.nodes()) {
        out.nodes.emplace_back(node);
    }
    return out;
}

} // namespace cedarpoint
