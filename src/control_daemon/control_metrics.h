#pragma once

#include "cedarpoint/core/time.h"
#include "io/metrics_registry.h"

#include <string>

namespace cedarpoint {

/// The metrics of a control daemon. docs/OPERATIONS.md says which to watch.
class control_metrics {
public:
    control_metrics();

    void count_call(const std::string& call, int status);
    void count_order(const std::string& kind, const std::string& result);
    /// Counts a message of another daemon that can't be read.
    void count_unreadable_message() { unreadable_messages_.Increment(); }
    void observe_commit(duration since_proposal);
    void set_leader(bool leads) { leader_.Set(leads ? 1 : 0); }
    void set_disk_refuses(bool refuses) { disk_refuses_.Set(refuses ? 1 : 0); }
    void set_version(double version) { version_.Set(version); }
    void set_groups(const std::string& phase, double count);

    [[nodiscard]] std::string text() const { return registry_.text(); }

private:
    metrics_registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Counter>& orders_;
    prometheus::Family<prometheus::Gauge>& groups_;
    prometheus::Counter& unreadable_messages_;
    prometheus::Histogram& commit_;
    prometheus::Gauge& leader_;
    prometheus::Gauge& version_;
    prometheus::Gauge& disk_refuses_;
};

} // namespace cedarpoint
