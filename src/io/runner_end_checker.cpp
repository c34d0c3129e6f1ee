#include "io/runner_end_checker.h"

namespace cedarpoint {
namespace {

/// Delay before the check. A process that ends closes its sockets one after the other, and the
/// listener may be the last.
constexpr milliseconds listener_close_delay{20};

} // namespace

runner_end_checker::runner_end_checker(const result_handler& on_result)
    : prober_{[on_result](const runner_id& runner, connect_probe::result how) {
          on_result(runner, how == connect_probe::result::refused);
      }}
{
}

void runner_end_checker::check(const runner_id& runner, const endpoint& address)
{
    prober_.probe(runner, address, listener_close_delay);
}

} // namespace cedarpoint
