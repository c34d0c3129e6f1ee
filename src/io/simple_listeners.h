#pragma once

#include "io/http_listener.h"

#include <functional>
#include <memory>
#include <string>

namespace cedarpoint {

/// Answers every question with 200 or 503.
std::unique_ptr<http_listener> make_ready_listener(std::function<bool()> is_ready);

/// Serves figures as text on /metrics.
std::unique_ptr<http_listener> make_metrics_listener(std::function<std::string()> text);

} // namespace cedarpoint
