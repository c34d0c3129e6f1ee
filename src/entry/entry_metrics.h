#pragma once

#include "cedarpoint/core/time.h"
#include "io/labelled_counters.h"
#include "io/metrics_registry.h"

#include <string>

namespace cedarpoint {

/// The metrics of an entry daemon. docs/OPERATIONS.md says which to watch.
class entry_metrics {
public:
    entry_metrics();

    /// Counts a request that has got its final answer. `cause` is a label, so it must be one of a
    /// small set of texts that hold no ids or addresses.
    void count_end(const std::string& outcome, const std::string& cause);
    void count_attempt(const std::string& outcome);
    /// Counts a second attempt beside a stalled one, or why there is none. `result` is a label.
    void count_hedge(const std::string& result);
    /// Counts an attempt of a caller's request through another entry daemon.
    void count_forwarded(const std::string& outcome);
    /// Counts a request that another entry daemon has sent through this one.
    void count_peer_request(const std::string& outcome, const std::string& cause);
    void observe_first_byte(duration since_arrival);
    void observe_request_time(duration since_arrival);
    void observe_pause(duration between_events);
    /// `age`: time since the latest update from the leader.
    void set_view(double version, duration age);
    void set_in_flight(double count) { in_flight_.Set(count); }
    /// Bytes of answers that are not complete yet.
    void set_held_answer_bytes(double bytes) { held_answer_bytes_.Set(bytes); }
    /// Bytes reserved for the bodies of requests, also of those that are read.
    void set_held_request_bytes(double bytes) { held_request_bytes_.Set(bytes); }
    /// Bytes of answers that callers have not taken yet.
    void set_unwritten_answer_bytes(double bytes) { unwritten_answer_bytes_.Set(bytes); }
    /// Requests that wait until there is memory for their bodies.
    void set_requests_awaiting_memory(double count) { requests_awaiting_memory_.Set(count); }
    /// Requests during which runners have crashed, as published by the leader.
    void set_suspected_requests(double count) { suspected_requests_.Set(count); }
    void set_quarantined_requests(double count) { quarantined_requests_.Set(count); }
    /// Counts a runner that crashed while this daemon had requests in flight there.
    void count_runner_end() { runner_ends_.Increment(); }
    void set_rate_limited_runners(double count) { rate_limited_runners_.Set(count); }
    /// Counts a request that is sent to a runner with a rate limit.
    void count_rate_limited_send() { rate_limited_sends_.Increment(); }
    void set_paused_runners(double count) { paused_runners_.Set(count); }
    void set_leaving_runners(double count) { leaving_runners_.Set(count); }
    /// Counts a request that was sent although its runner is paused or leaving.
    void count_held_send() { held_sends_.Increment(); }
    /// `failing`: runners to which connections fail; `cut_off`: this daemon reaches none at all.
    void set_paths(double failing, bool cut_off);
    /// Counts an answer with a runner's signal (rate limit, pause or leave) that can't be parsed.
    void count_unreadable_signal() { unreadable_signals_.Increment(); }
    /// Counts a stream with an event whose id does not rise.
    void count_disordered_stream() { disordered_streams_.Increment(); }
    /// Counts a message of another daemon that can't be read.
    void count_unreadable_message() { unreadable_messages_.Increment(); }

    [[nodiscard]] std::string text() const { return registry_.text(); }

private:
    metrics_registry registry_;
    labelled_counters ends_;
    labelled_counters attempts_;
    labelled_counters hedges_;
    labelled_counters forwarded_;
    labelled_counters peer_requests_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& request_time_;
    prometheus::Histogram& pause_;
    prometheus::Gauge& view_version_;
    prometheus::Gauge& view_age_;
    prometheus::Gauge& in_flight_;
    prometheus::Gauge& held_answer_bytes_;
    prometheus::Gauge& held_request_bytes_;
    prometheus::Gauge& unwritten_answer_bytes_;
    prometheus::Gauge& requests_awaiting_memory_;
    prometheus::Gauge& rate_limited_runners_;
    prometheus::Counter& rate_limited_sends_;
    prometheus::Gauge& paused_runners_;
    prometheus::Gauge& leaving_runners_;
    prometheus::Counter& held_sends_;
    prometheus::Counter& unreadable_signals_;
    prometheus::Counter& unreadable_messages_;
    prometheus::Counter& disordered_streams_;
    prometheus::Gauge& suspected_requests_;
    prometheus::Gauge& quarantined_requests_;
    prometheus::Counter& runner_ends_;
    prometheus::Gauge& failing_paths_;
    prometheus::Gauge& cut_off_;
};

} // namespace cedarpoint
