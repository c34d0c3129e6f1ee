#pragma once

#include "cedarpoint/core/time.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace cedarpoint {

/// The figures of an entry daemon.
class entry_metrics {
public:
    entry_metrics();

    /// A request's final answer and what it rests on.
    void count_end(const std::string& outcome, const std::string& cause);
    void count_attempt(const std::string& outcome);
    void observe_first_byte(duration since_arrival);
    void observe_whole(duration since_arrival);
    void observe_pause(duration between_events);
    void set_view(double version, double age_seconds);
    void set_in_flight(double count) { in_flight_.Set(count); }

    /// The text exposition format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& ends_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& whole_;
    prometheus::Histogram& pause_;
    prometheus::Gauge& view_version_;
    prometheus::Gauge& view_age_;
    prometheus::Gauge& in_flight_;
    std::map<std::string, prometheus::Counter*> known_ends_;
    std::map<std::string, prometheus::Counter*> known_attempts_;
};

} // namespace cedarpoint
