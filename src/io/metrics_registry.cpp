#include "io/metrics_registry.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <utility>

namespace cedarpoint {

prometheus::Counter& metrics_registry::add_counter(const char* name, const char* help)
{
    return add_counters(name, help).Add({});
}

prometheus::Gauge& metrics_registry::add_gauge(const char* name, const char* help)
{
    return add_gauges(name, help).Add({});
}

prometheus::Histogram& metrics_registry::add_histogram(const char* name, const char* help,
                                                       std::vector<double> bounds)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(
        {}, prometheus::Histogram::BucketBoundaries{std::move(bounds)});
}

prometheus::Family<prometheus::Counter>& metrics_registry::add_counters(const char* name,
                                                                        const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
}

prometheus::Family<prometheus::Gauge>& metrics_registry::add_gauges(const char* name,
                                                                    const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
}

std::string metrics_registry::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

double to_metric_seconds(duration in)
{
    return std::chrono::duration<double>(in).count();
}

} // namespace cedarpoint
