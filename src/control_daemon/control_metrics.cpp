#include "control_daemon/control_metrics.h"

#include <prometheus/text_serializer.h>

namespace cedarpoint {
namespace {

constexpr double us_per_second = 1e6;

} // namespace

control_metrics::control_metrics()
    : calls_{prometheus::BuildCounter()
                 .Name("cedarpoint_control_calls_total")
                 .Help("Calls of operators and runners, by call and status")
                 .Register(registry_)},
      orders_{prometheus::BuildCounter()
                  .Name("cedarpoint_orders_total")
                  .Help("Orders to runners, by kind and result")
                  .Register(registry_)},
      groups_{prometheus::BuildGauge()
                  .Name("cedarpoint_planned_groups")
                  .Help("Groups in the leader's plan, by phase")
                  .Register(registry_)},
      runners_{prometheus::BuildGauge()
                   .Name("cedarpoint_runners")
                   .Help("Runners that announce themselves, by use")
                   .Register(registry_)},
      commit_{prometheus::BuildHistogram()
                  .Name("cedarpoint_commit_seconds")
                  .Help("From a proposal to its commit")
                  .Register(registry_)
                  .Add({}, prometheus::Histogram::BucketBoundaries{0.002, 0.005, 0.01, 0.025, 0.05,
                                                                   0.1, 0.25, 0.5, 1, 2, 4})},
      leader_{prometheus::BuildGauge()
                  .Name("cedarpoint_leader")
                  .Help("1 while this daemon leads")
                  .Register(registry_)
                  .Add({})},
      version_{prometheus::BuildGauge()
                   .Name("cedarpoint_configuration_version")
                   .Help("Version of the configuration that is committed here")
                   .Register(registry_)
                   .Add({})}
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
    commit_.Observe(static_cast<double>(since_proposal.count()) / us_per_second);
}

void control_metrics::set_groups(const std::string& phase, double count)
{
    groups_.Add({{"phase", phase}}).Set(count);
}

void control_metrics::set_runners(double present, double free)
{
    runners_.Add({{"use", "present"}}).Set(present);
    runners_.Add({{"use", "in no group"}}).Set(free);
}

std::string control_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

} // namespace cedarpoint
