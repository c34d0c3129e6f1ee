#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace cedarpoint {
namespace {

prometheus::Counter& add_counter(prometheus::Registry& to, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(to).Add({});
}

prometheus::Gauge& add_gauge(prometheus::Registry& to, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(to).Add({});
}

} // namespace

metrics::metrics()
    : refusals_{prometheus::BuildCounter()
                    .Name("cedarpoint_refusals_total")
                    .Help("Requests that got an error from cedarpoint, by code")
                    .Register(registry_)},
      decisions_{prometheus::BuildCounter()
                     .Name("cedarpoint_decisions_total")
                     .Help("Decisions about requests, by step")
                     .Register(registry_)},
      groups_{prometheus::BuildGauge()
                  .Name("cedarpoint_groups")
                  .Help("Groups of this failure domain, by state")
                  .Register(registry_)},
      requests_{add_counter(registry_, "cedarpoint_requests_total", "Requests read whole")},
      events_{add_counter(registry_, "cedarpoint_stream_events_total", "Events passed to callers")},
      in_flight_{
          add_gauge(registry_, "cedarpoint_requests_in_flight", "Requests without a final answer")},
      queued_{add_gauge(registry_, "cedarpoint_requests_queued", "Requests that wait for a slot")},
      connections_{
          add_gauge(registry_, "cedarpoint_caller_connections", "Open connections of callers")},
      sessions_{add_gauge(registry_, "cedarpoint_sessions", "Sessions with a known group")},
      revision_{
          add_gauge(registry_, "cedarpoint_configuration_revision", "Revision in force here")},
      leader_{add_gauge(registry_, "cedarpoint_domain_leader",
                        "1 if this daemon leads its failure domain")},
      grant_age_{add_gauge(registry_, "cedarpoint_grant_age_seconds",
                           "Age of the latest grant; -1: none yet")},
      stranded_{
          add_gauge(registry_, "cedarpoint_stranded_accelerators",
                    "Accelerators of present nodes in no serving group; on the domain's leader")}
{
}

void metrics::count_refusal(error_code code)
{
    refusals_.Add({{"code", std::string{describe(code).name}}}).Increment();
}

void metrics::count_step(const std::string& step)
{
    decisions_.Add({{"step", step}}).Increment();
}

void metrics::set_groups(const std::string& state, double n)
{
    groups_.Add({{"state", state}}).Set(n);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace cedarpoint
