#include "daemon/daemon_metrics.h"

namespace cedarpoint {

daemon_metrics::daemon_metrics()
    : refusals_{registry_.add_counters("cedarpoint_refusals_total",
                                       "Requests that got an error from cedarpoint, by code")},
      decisions_{registry_.add_counters("cedarpoint_decisions_total",
                                        "Decisions about requests, by step")},
      groups_{registry_.add_gauges("cedarpoint_groups", "Groups of this failure domain, by state")},
      requests_{registry_.add_counter("cedarpoint_requests_total", "Requests read whole")},
      events_{registry_.add_counter("cedarpoint_stream_events_total", "Events passed to callers")},
      unreadable_messages_{registry_.add_counter("cedarpoint_unreadable_messages_total",
                                                 "Messages of other daemons that can't be read")},
      in_flight_{
          registry_.add_gauge("cedarpoint_requests_in_flight", "Requests without a final answer")},
      queued_{registry_.add_gauge("cedarpoint_requests_queued", "Requests that wait for a slot")},
      connections_{
          registry_.add_gauge("cedarpoint_caller_connections", "Open connections of callers")},
      sessions_{registry_.add_gauge("cedarpoint_sessions", "Sessions with a known group")},
      revision_{registry_.add_gauge("cedarpoint_configuration_revision", "Revision in force here")},
      leader_{registry_.add_gauge("cedarpoint_domain_leader",
                                  "1 if this daemon leads its failure domain")},
      grant_age_{registry_.add_gauge("cedarpoint_grant_age_seconds",
                                     "Age of the latest grant; -1: none yet")},
      stranded_{registry_.add_gauge(
          "cedarpoint_stranded_accelerators",
          "Accelerators of present nodes in no serving group; on the domain's leader")}
{
}

void daemon_metrics::count_refusal(error_code code)
{
    refusals_.Add({{"code", std::string{describe(code).name}}}).Increment();
}

void daemon_metrics::count_step(const std::string& step)
{
    decisions_.Add({{"step", step}}).Increment();
}

void daemon_metrics::set_groups(const std::string& state, double n)
{
    groups_.Add({{"state", state}}).Set(n);
}

} // namespace cedarpoint
