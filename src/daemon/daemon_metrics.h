#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/request/refusal.h"

#include "io/metrics_registry.h"

#include <string>

namespace cedarpoint {

/// The metrics of a daemon with a list of peers.
class daemon_metrics {
public:
    daemon_metrics();

    void count_request() { requests_.Increment(); }
    void count_refusal(error_code code);
    void count_step(const std::string& step);
    void count_event() { events_.Increment(); }
    /// Counts a message of another daemon that can't be read.
    void count_unreadable_message() { unreadable_messages_.Increment(); }
    void set_in_flight(double n) { in_flight_.Set(n); }
    void set_queued(double n) { queued_.Set(n); }
    void set_connections(double n) { connections_.Set(n); }
    void set_sessions(double n) { sessions_.Set(n); }
    void set_revision(double n) { revision_.Set(n); }
    void set_leader(bool it) { leader_.Set(it ? 1 : 0); }
    void set_grant_age(double seconds) { grant_age_.Set(seconds); }
    void set_groups(const std::string& state, double n);
    void set_stranded(double accelerators) { stranded_.Set(accelerators); }

    [[nodiscard]] std::string text() const { return registry_.text(); }

private:
    metrics_registry registry_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& decisions_;
    prometheus::Family<prometheus::Gauge>& groups_;
    prometheus::Counter& requests_;
    prometheus::Counter& events_;
    prometheus::Counter& unreadable_messages_;
    prometheus::Gauge& in_flight_;
    prometheus::Gauge& queued_;
    prometheus::Gauge& connections_;
    prometheus::Gauge& sessions_;
    prometheus::Gauge& revision_;
    prometheus::Gauge& leader_;
    prometheus::Gauge& grant_age_;
    prometheus::Gauge& stranded_;
};

} // namespace cedarpoint
