#include "io/runner_prober.h"

namespace cedarpoint {

void runner_prober::probe(const runner_id& runner, const endpoint& address, milliseconds delay)
{
    auto& next = probes_[runner];
    next = std::make_unique<connect_probe>(
        address, [this, runner](connect_probe::result how) { on_result_(runner, how); });
    next->start(delay);
}

void runner_prober::clean_up()
{
    std::erase_if(probes_, [](const auto& each) { return each.second->is_done(); });
}

} // namespace cedarpoint
