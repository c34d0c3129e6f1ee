#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "fleet/runner_front.h"
#include "io/http_listener.h"
#include "io/runner_pool.h"

#include <QTimer>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Interval between heartbeats of the tests' runners.
inline constexpr milliseconds runner_heartbeat{150};

/// Returns the body of a complete heartbeat of a runner at an address that nobody listens at.
[[nodiscard]] std::string complete_heartbeat(const std::string& service);

/// A runner that speaks the platform's protocol: sends heartbeats, accepts orders and answers
/// requests with three events or a plain text.
class platform_runner {
public:
    /// `start_ms`: start time in its heartbeats in Unix milliseconds, 0 if they have none.
    /// `sequence`: sequence number before its first heartbeat.
    platform_runner(std::string id, std::string service, std::vector<endpoint> controls,
                    std::uint64_t start_ms = 0, std::uint64_t sequence = 0);
    platform_runner(const platform_runner&) = delete;
    platform_runner& operator=(const platform_runner&) = delete;
    ~platform_runner() = default;

    [[nodiscard]] int served() const { return served_; }
    [[nodiscard]] bool is_open() const { return state_ == "open"; }
    [[nodiscard]] const std::string& id() const { return id_; }
    /// Returns the group that it is in; empty if it is in none.
    [[nodiscard]] const std::string& group() const { return group_; }
    [[nodiscard]] const endpoint& address() const { return address_; }
    void drain();
    [[nodiscard]] bool drain_acknowledged() const { return drain_acknowledged_; }
    int fail_next = 0;                 ///< number of plain requests to answer with 500
    bool cut_stream = false;           ///< the next stream is aborted after its first event
    std::vector<std::string> accounts; ///< accounts of the requests received
    std::string rate_limit;            ///< in each answer, unless it is empty
    bool leaving = false;              ///< each answer states that the runner leaves
    /// Called with each request's id. If it returns nothing, the request is served; otherwise it is
    /// refused with this Retry-After, or without one if the string is empty.
    std::function<std::optional<std::string>(const std::string&)> refuse_request;
    bool reports_not_executed = true; ///< refusals state that the request was not run
    /// Stops or restarts heartbeats. Requests are served all the time.
    void set_heartbeats_stopped(bool stopped);
    milliseconds answer_time{0}; ///< time to answer a plain request
    milliseconds event_gap{0};   ///< time between two events of a stream
    int abandoned = 0;           ///< requests whose sender disconnected before the answer
    int events = 3;              ///< of each stream
    /// Ids of the events of a fast stream that are not their numbers.
    std::map<int, std::string> wrong_event_ids;
    /// A fast stream is aborted after this event, within the next one; 0: it is not.
    int cut_after_event = 0;
    std::size_t event_bytes = 0;         ///< added to the data of each event of a fast stream
    std::size_t answer_bytes = 0;        ///< added to each plain answer
    bool comments_before_events = false; ///< a slow stream sends a comment, its events later
    int slots = 4;                       ///< reported in its heartbeats
    milliseconds join_time{0};           ///< from an order to join until it is ready
    milliseconds open_time{0};           ///< from an order to open until it is open
    /// Called with the body of each order. If it returns true, the order gets no answer; the test
    /// may carry it out later.
    std::function<bool(const std::string&)> hold_order;
    /// Called with the name of the group before it joins.
    std::function<void(const std::string&)> on_joining;
    /// Carries out an order and returns the status of the answer.
    int carry_out(const std::string& body);
    /// Streams that it runs at a time; more are refused as not executed.
    std::size_t max_streams = std::numeric_limits<std::size_t>::max();
    std::string crash_trigger; ///< a request with this text in its body crashes the runner
    std::vector<std::string> crash_parts; ///< so does one with such a part in its prompt
    milliseconds crash_delay{40};         ///< from the start of such a request to the crash
    milliseconds restart_delay{2500};     ///< from a crash to the restart under the same id
    std::vector<instant> ends;            ///< times of its crashes
    /// True if a supervisor keeps the listening socket open: connections that send a request while
    /// the runner is down are aborted.
    bool keeps_port_open = false;
    /// True if another process takes its place after a crash, with an id and an address of its own.
    bool is_replaced = false;
    /// Changes all answers from now on. Connections that are open end.
    void change_answers(runner_front::options how);
    /// Stops at once, like a crashed process, and restarts after `restart_delay`.
    void crash();
    /// Sends nothing on any connection for `time`, heartbeats included, then goes on. Connections
    /// are accepted meanwhile, and what arrives is handled afterwards.
    void fall_silent(milliseconds time);
    [[nodiscard]] bool is_silent() const { return is_silent_; }
    /// How far an answer gets before a request crashes the runner.
    enum class crash_stage {
        before_head,
        in_stream ///< after the first event
    };
    crash_stage stage = crash_stage::before_head;
    struct arrival {
        instant at;
        std::string request;
        std::string body;
        std::string prompt_parts;
        bool has_rate_limit = false; ///< the answer contains a rate limit
        int time_left_ms = 0;        ///< as the request says
        std::string resume_after;    ///< id of the event after which a stream is to continue
    };
    std::vector<arrival> arrivals; ///< requests that ran

private:
    void on_request(const http_request& request, const std::shared_ptr<http_reply>& reply);
    /// Return the status of the answer to an order.
    int join(const nlohmann::json& order);
    int change_state(const nlohmann::json& order);
    /// Sets the state to `now`, and to `then` after `time` unless the group has changed.
    void change_state_after(milliseconds time, const std::string& now, const std::string& then);
    void stream(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void send_plain(const std::shared_ptr<http_reply>& reply, http_head head,
                    const std::string& body) const;
    void stream_slowly(int event, const std::shared_ptr<http_reply>& reply);
    /// Runs `step` now, or once the runner is not silent any more.
    void run_unless_silent(std::function<void()> step);
    [[nodiscard]] bool is_crashed_by(const http_request& request) const;
    /// Answers as far as `stage` says, then crashes.
    void crash_under(const http_request& request, const std::shared_ptr<http_reply>& reply);
    /// Returns the head of an answer to the request, with the runner's rate limit and state.
    [[nodiscard]] http_head make_head(const http_request& request) const;
    /// Refuses the request if `refuse_request` asks for it. Returns whether it was refused.
    [[nodiscard]] bool try_refuse(const http_request& request,
                                  const std::shared_ptr<http_reply>& reply);
    void announce();
    void begin_incarnation();
    /// Accepts connections at the address and aborts each one that sends a request.
    void keep_port_open();
    [[nodiscard]] std::string announcement_text();
    [[nodiscard]] std::string report_text() const;
    /// Adds what its heartbeats and reports have in common.
    void add_state(nlohmann::json& out) const;

    std::string id_;
    int crashes_ = 0;
    std::string service_;
    std::vector<endpoint> controls_;
    std::size_t control_index_ = 0; ///< of the control daemon that receives the heartbeats
    std::unique_ptr<http_listener> listener_; ///< null while down, unless `keeps_port_open`
    std::optional<runner_front::options> front_options_; ///< empty: answers are not changed
    std::unique_ptr<runner_front> front_;                ///< null while answers are not changed
    bool is_down_ = false;
    bool is_silent_ = false;
    std::vector<std::function<void()>> deferred_; ///< steps that wait for the end of the silence
    endpoint address_{"127.0.0.1", 0};            ///< kept across restarts
    runner_pool pool_;
    QTimer timer_;
    bool announcing_ = false;
    bool heartbeats_stopped_ = false;
    bool draining_ = false;
    bool drain_acknowledged_ = false;
    std::uint64_t start_ms_;
    std::uint64_t sequence_;
    int served_ = 0;
    std::vector<std::shared_ptr<http_reply>> open_streams_;
    std::uint64_t orders_ = 0; ///< begun by this incarnation
    std::string group_;
    std::uint64_t epoch_ = 0;
    std::uint64_t highest_epoch_ = 0; ///< of the joins that this incarnation has begun
    std::size_t rank_ = 0;
    std::string state_;
};

} // namespace cedarpoint::testing_support
