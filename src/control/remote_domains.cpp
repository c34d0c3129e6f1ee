#include "cedarpoint/control/remote_domains.h"

#include "cedarpoint/groups/drain_wire.h"

namespace cedarpoint {
namespace {

std::optional<std::vector<group_record>> read_groups(const wire::domain_view& in)
{
    std::vector<group_record> out;
    for (const auto& it : in.groups()) {
        auto record = from_wire(it);
        if (!record) {
            return {};
        }
        out.push_back(std::move(*record));
    }
    return out;
}

} // namespace

bool remote_domains::on_view(instant now, const wire::domain_view& in)
{
    const instant stamp{duration{in.stamp()}};
    auto& it = all_[failure_domain_id{in.domain()}];
    if (stamp > now || (it.granted && stamp <= *it.granted)) {
        return true; // the answer to an older pull
    }
    if (in.unchanged()) {
        if (in.version() != it.version) {
            return true;
        }
    }
    else {
        auto groups = read_groups(in);
        if (!groups) {
            return false;
        }
        it.groups = std::move(*groups);
        it.drains = read_drains(in.drains());
        it.version = in.version();
    }
    it.granted = stamp;
    it.in_flight.clear();
    for (const auto& load : in.loads()) {
        it.in_flight[runner_id{load.runner()}] = load.in_flight();
    }
    return true;
}

std::uint64_t remote_domains::version_of(const failure_domain_id& id) const
{
    const auto it = all_.find(id);
    return it == all_.end() ? 0 : it->second.version;
}

} // namespace cedarpoint
