#pragma once

namespace cedarpoint::bench {

/// Each benchmark prints one JSON line per figure.
void run_relay_bench();
void run_failover_bench();

} // namespace cedarpoint::bench
