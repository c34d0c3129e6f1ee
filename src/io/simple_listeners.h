#pragma once

#include "io/http_listener.h"

#include <functional>
#include <memory>
#include <string>

namespace cedarpoint {

/// Returns a listener that answers every request with 200 if ready and with 503 otherwise.
std::unique_ptr<http_listener> make_ready_listener(std::function<bool()> is_ready);

/// Returns a listener that serves the metrics as text at /metrics.
std::unique_ptr<http_listener> make_metrics_listener(std::function<std::string()> text);

} // namespace cedarpoint
