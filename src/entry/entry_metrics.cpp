#include "entry/entry_metrics.h"

namespace cedarpoint {
namespace {

/// Bounds in seconds, densest near the users' latency targets: 0.2 to 0.4 s for the first event,
/// 0.2 and 0.3 s for pauses between events.
const std::vector<double> latency_bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                         0.4,   0.6,  1,     2,    4,   8};

} // namespace

entry_metrics::entry_metrics()
    : ends_{registry_.add_counters("cedarpoint_requests_total",
                                   "Requests by final answer and its cause"),
            {"outcome", "cause"}},
      attempts_{
          registry_.add_counters("cedarpoint_attempts_total", "Attempts at runners by outcome"),
          {"outcome"}},
      hedges_{registry_.add_counters("cedarpoint_hedges_total",
                                     "Second attempts beside stalled ones by result"),
              {"result"}},
      forwarded_{registry_.add_counters("cedarpoint_forwarded_attempts_total",
                                        "Attempts through other entry daemons by outcome"),
                 {"outcome"}},
      peer_requests_{
          registry_.add_counters("cedarpoint_peer_requests_total",
                                 "Requests of other entry daemons by final answer and its cause"),
          {"outcome", "cause"}},
      first_byte_{registry_.add_histogram("cedarpoint_first_byte_seconds",
                                          "From arrival to the first event or the whole answer",
                                          latency_bounds)},
      request_time_{registry_.add_histogram("cedarpoint_request_seconds", "From arrival to the end",
                                            latency_bounds)},
      pause_{registry_.add_histogram("cedarpoint_event_pause_seconds", "Between two events",
                                     latency_bounds)},
      view_version_{registry_.add_gauge("cedarpoint_view_version", "Version of the view in use")},
      view_age_{registry_.add_gauge("cedarpoint_view_age_seconds", "Since the leader was heard")},
      in_flight_{
          registry_.add_gauge("cedarpoint_requests_in_flight", "Requests without an end yet")},
      held_answer_bytes_{
          registry_.add_gauge("cedarpoint_held_answer_bytes",
                              "Bytes of answers that are held until they are complete")},
      held_request_bytes_{registry_.add_gauge("cedarpoint_held_request_bytes",
                                              "Bytes reserved for the bodies of requests")},
      unwritten_answer_bytes_{registry_.add_gauge(
          "cedarpoint_unwritten_answer_bytes", "Bytes of answers that callers have not taken yet")},
      requests_awaiting_memory_{
          registry_.add_gauge("cedarpoint_requests_awaiting_memory",
                              "Requests that wait until there is memory for their bodies")},
      rate_limited_runners_{registry_.add_gauge("cedarpoint_rate_limited_runners",
                                                "Runners that have named a rate limit")},
      rate_limited_sends_{registry_
                              .add_counters("cedarpoint_rate_limited_sends_total",
                                            "Requests sent to runners that have named a rate limit")
                              .Add({})},
      paused_runners_{registry_.add_gauge("cedarpoint_paused_runners",
                                          "Runners that have asked this daemon for a pause")},
      leaving_runners_{registry_.add_gauge("cedarpoint_leaving_runners",
                                           "Runners that have told this daemon that they leave")},
      held_sends_{registry_
                      .add_counters("cedarpoint_held_sends_total",
                                    "Requests sent to runners that had asked to be sent nothing")
                      .Add({})},
      unreadable_signals_{
          registry_
              .add_counters("cedarpoint_unreadable_signals_total",
                            "Headers in which a runner says something that can't be read")
              .Add({})},
      unreadable_messages_{registry_.add_counter("cedarpoint_unreadable_messages_total",
                                                 "Messages of other daemons that can't be read")},
      disordered_streams_{registry_.add_counter("cedarpoint_disordered_streams_total",
                                                "Streams with an event whose id does not rise")},
      suspected_requests_{registry_.add_gauge("cedarpoint_suspected_requests",
                                              "Requests under which runners have ended")},
      quarantined_requests_{registry_.add_gauge("cedarpoint_quarantined_requests",
                                                "Requests that are sent to no runner")},
      runner_ends_{registry_
                       .add_counters("cedarpoint_runner_ends_total",
                                     "Runners that ended with requests of this daemon in flight")
                       .Add({})},
      failing_paths_{registry_.add_gauge("cedarpoint_failing_runner_paths",
                                         "Runners to which connections of this daemon fail")},
      cut_off_{registry_.add_gauge("cedarpoint_cut_off_from_runners",
                                   "1 while this daemon reaches no runner")}
{
}

void entry_metrics::count_end(const std::string& outcome, const std::string& cause)
{
    ends_.increment({outcome, cause});
}

void entry_metrics::count_attempt(const std::string& outcome)
{
    attempts_.increment({outcome});
}

void entry_metrics::count_hedge(const std::string& result)
{
    hedges_.increment({result});
}

void entry_metrics::count_forwarded(const std::string& outcome)
{
    forwarded_.increment({outcome});
}

void entry_metrics::count_peer_request(const std::string& outcome, const std::string& cause)
{
    peer_requests_.increment({outcome, cause});
}

void entry_metrics::observe_first_byte(duration since_arrival)
{
    first_byte_.Observe(to_metric_seconds(since_arrival));
}

void entry_metrics::observe_request_time(duration since_arrival)
{
    request_time_.Observe(to_metric_seconds(since_arrival));
}

void entry_metrics::observe_pause(duration between_events)
{
    pause_.Observe(to_metric_seconds(between_events));
}

void entry_metrics::set_paths(double failing, bool cut_off)
{
    failing_paths_.Set(failing);
    cut_off_.Set(cut_off ? 1 : 0);
}

void entry_metrics::set_view(double version, duration age)
{
    view_version_.Set(version);
    view_age_.Set(to_metric_seconds(age));
}

} // namespace cedarpoint
