#pragma once

#include "cedarpoint/core/time.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace cedarpoint {

/// Metrics of one daemon, as Prometheus reads them. Names end in their unit.
class metrics_registry {
public:
    prometheus::Counter& add_counter(const char* name, const char* help);
    prometheus::Gauge& add_gauge(const char* name, const char* help);
    /// `bounds`: upper bounds of the buckets, in the metric's unit.
    prometheus::Histogram& add_histogram(const char* name, const char* help,
                                         std::vector<double> bounds);
    /// Counters or gauges that differ by their labels.
    prometheus::Family<prometheus::Counter>& add_counters(const char* name, const char* help);
    prometheus::Family<prometheus::Gauge>& add_gauges(const char* name, const char* help);

    /// The text exposition format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
};

/// The unit of metrics of time.
[[nodiscard]] double to_metric_seconds(duration in);

} // namespace cedarpoint
