#include "io/runner_end_checker.h"

#include <utility>

namespace cedarpoint {
namespace {

/// Delay before the check. A process that ends closes its sockets one after the other, and the
/// listener may be the last.
constexpr milliseconds listener_close_delay{20};

} // namespace

void runner_end_checker::check(const runner_id& runner, const endpoint& address)
{
    const auto on_end = [this, runner](connect_probe::result how) {
        on_result_(runner, how == connect_probe::result::refused);
    };
    auto& probe = probes_[runner];
    probe = std::make_unique<connect_probe>(address, on_end);
    probe->start(listener_close_delay);
}

void runner_end_checker::clean_up()
{
    std::erase_if(probes_, [](const auto& each) { return each.second->is_done(); });
}

} // namespace cedarpoint
