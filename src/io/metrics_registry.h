#pragma once

#include "cedarpoint/core/time.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace cedarpoint {

/// The Prometheus metrics of one daemon. Names end in their unit.
class metrics_registry {
public:
    prometheus::Counter& add_counter(const char* name, const char* help);
    prometheus::Gauge& add_gauge(const char* name, const char* help);
    /// `bounds`: upper bounds of the buckets, in the metric's unit.
    prometheus::Histogram& add_histogram(const char* name, const char* help,
                                         std::vector<double> bounds);
    /// Adds a family of counters or gauges that differ in their labels.
    prometheus::Family<prometheus::Counter>& add_counters(const char* name, const char* help);
    prometheus::Family<prometheus::Gauge>& add_gauges(const char* name, const char* help);

    /// Returns all metrics in the text exposition format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
};

/// Converts to seconds, the unit of all time metrics.
[[nodiscard]] double to_metric_seconds(duration in);

} // namespace cedarpoint
