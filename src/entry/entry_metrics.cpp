#include "entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace cedarpoint {
namespace {

constexpr double us_per_second = 1e6;

double to_seconds(duration in)
{
    return static_cast<double>(in.count()) / us_per_second;
}

prometheus::Histogram::BucketBoundaries latency_buckets()
{
    return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8};
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
        {}, latency_buckets());
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

entry_metrics::entry_metrics()
    : ends_{prometheus::BuildCounter()
                .Name("cedarpoint_requests_total")
                .Help("Requests by final answer and its cause")
                .Register(registry_)},
      attempts_{prometheus::BuildCounter()
                    .Name("cedarpoint_attempts_total")
                    .Help("Attempts at runners by outcome")
                    .Register(registry_)},
      first_byte_{histogram(registry_, "cedarpoint_first_byte_seconds",
                            "From arrival to the first event or the whole answer")},
      whole_{histogram(registry_, "cedarpoint_request_seconds", "From arrival to the end")},
      pause_{histogram(registry_, "cedarpoint_event_pause_seconds", "Between two events")},
      view_version_{gauge(registry_, "cedarpoint_view_version", "Version of the view in use")},
      view_age_{gauge(registry_, "cedarpoint_view_age_seconds", "Since the leader was heard")},
      in_flight_{gauge(registry_, "cedarpoint_requests_in_flight", "Requests without an end yet")}
{
}

void entry_metrics::count_end(const std::string& outcome, const std::string& cause)
{
    auto*& counter = known_ends_[outcome + "/" + cause];
    if (counter == nullptr) {
        counter = &ends_.Add({{"outcome", outcome}, {"cause", cause}});
    }
    counter->Increment();
}

void entry_metrics::count_attempt(const std::string& outcome)
{
    auto*& counter = known_attempts_[outcome];
    if (counter == nullptr) {
        counter = &attempts_.Add({{"outcome", outcome}});
    }
    counter->Increment();
}

void entry_metrics::observe_first_byte(duration since_arrival)
{
    first_byte_.Observe(to_seconds(since_arrival));
}

void entry_metrics::observe_whole(duration since_arrival)
{
    whole_.Observe(to_seconds(since_arrival));
}

void entry_metrics::observe_pause(duration between_events)
{
    pause_.Observe(to_seconds(between_events));
}

void entry_metrics::set_view(double version, double age_seconds)
{
    view_version_.Set(version);
    view_age_.Set(age_seconds);
}

std::string entry_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace cedarpoint
