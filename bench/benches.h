#pragma once

namespace cedarpoint::bench {

/// Each prints its figures, one JSON line each.
void run_relay_bench();
void run_failover_bench();

} // namespace cedarpoint::bench
