#include "control_daemon/control_metrics.h"

namespace cedarpoint {
namespace {

/// Bounds in seconds, from a sync on a fast disk to the time of an election.
const std::vector<double> commit_bounds{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4};

} // namespace

control_metrics::control_metrics()
    : calls_{registry_.add_counters("cedarpoint_control_calls_total",
                                    "Calls of operators and runners, by call and status")},
      orders_{registry_.add_counters("cedarpoint_orders_total",
                                     "Orders to runners, by kind and result")},
      groups_{registry_.add_gauges("cedarpoint_planned_groups",
                                   "Groups in the leader's plan, by phase")},
      unreadable_messages_{registry_.add_counter("cedarpoint_unreadable_messages_total",
                                                 "Messages of other daemons that can't be read")},
      commit_{registry_.add_histogram("cedarpoint_commit_seconds", "From a proposal to its commit",
                                      commit_bounds)},
      leader_{registry_.add_gauge("cedarpoint_leader", "1 while this daemon leads")},
      version_{registry_.add_gauge("cedarpoint_configuration_version",
                                   "Version of the configuration that is committed here")},
      disk_refuses_{registry_.add_gauge("cedarpoint_disk_refuses_writes",
                                        "1 while the disk refuses writes and the daemon waits")}
{
}

void control_metrics::count_call(const std::string& call, int status)
{
    calls_.Add({{"call", call}, {"status", std::to_string(status)}}).Increment();
}

void control_metrics::count_order(const std::string& kind, const std::string& result)
{
    orders_.Add({{"kind", kind}, {"result", result}}).Increment();
}

void control_metrics::observe_commit(duration since_proposal)
{
    commit_.Observe(to_metric_seconds(since_proposal));
}

void control_metrics::set_groups(const std::string& phase, double count)
{
    groups_.Add({{"phase", phase}}).Set(count);
}

} // namespace cedarpoint
