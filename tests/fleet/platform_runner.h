#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "io/http_listener.h"
#include "io/runner_pool.h"

#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Between two heartbeats of each runner of the tests.
inline constexpr milliseconds runner_heartbeat{150};

/// A runner that speaks the platform's words: announces itself, takes orders, answers requests
/// with three events or a plain text.
class platform_runner {
public:
    /// `born`: of its life, 0 if it does not tell; `sequence`: of the heartbeat before its first.
    platform_runner(std::string id, std::string service, std::vector<endpoint> controls,
                    std::uint64_t born = 0, std::uint64_t sequence = 0);
    platform_runner(const platform_runner&) = delete;
    platform_runner& operator=(const platform_runner&) = delete;
    ~platform_runner() = default;

    [[nodiscard]] int served() const { return served_; }
    [[nodiscard]] bool is_open() const { return state_ == "open"; }
    [[nodiscard]] const std::string& id() const { return id_; }
    void drain();
    [[nodiscard]] bool drain_acknowledged() const { return drain_acknowledged_; }
    int fail_next = 0;                 ///< plain requests that are answered with 500
    bool cut_stream = false;           ///< the next stream breaks off after its first event
    std::vector<std::string> accounts; ///< that requests were passed on for
    std::string rate_limit;            ///< named in each answer unless it is empty
    bool leaving = false;              ///< each answer says that it leaves
    /// Asked for each request, by its id. Empty: it is served; otherwise it is turned away with
    /// this Retry-After, without one if it is empty.
    std::function<std::optional<std::string>(const std::string&)> turn_away;
    bool disclaims = true; ///< what it turns away: it says that it has not run it
    /// Ends its heartbeats, or begins them anew; it serves on.
    void be_silent(bool silent);
    milliseconds answer_time{0};  ///< of a plain request
    int slots = 4;                ///< as its heartbeats tell
    std::string ended_by;         ///< a request whose body holds this ends the runner
    milliseconds time_to_end{40}; ///< such a request runs before the runner ends
    milliseconds time_away{2500}; ///< until it is back as a new life under its id
    std::vector<instant> ends;    ///< of its lives
    /// Its supervisor keeps the listening socket: what connects while it is away is cut.
    bool port_is_kept = false;
    /// Ends at once, as a process that crashes, and comes back after `time_away`.
    void crash();
    struct arrival {
        instant at;
        std::string request;
        std::string body;
        bool told = false; ///< the answer names a rate limit
    };
    std::vector<arrival> arrivals; ///< requests that were run

private:
    void on_request(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void take_order(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void stream(const http_request& request, const std::shared_ptr<http_reply>& reply);
    /// The head of an answer to the request, with what the runner says of itself.
    [[nodiscard]] http_head make_head(const http_request& request) const;
    [[nodiscard]] bool is_turned_away(const http_request& request,
                                      const std::shared_ptr<http_reply>& reply);
    void announce();
    void begin_life();
    /// The address takes connections, and ends each one that brings a request.
    void keep_port();
    [[nodiscard]] std::string announcement_text();

    std::string id_;
    std::string service_;
    std::vector<endpoint> controls_;
    std::size_t control_ = 0;
    std::unique_ptr<http_listener> listener_; ///< null while the runner is away
    bool is_away_ = false;
    endpoint address_{"127.0.0.1", 0}; ///< the same in each life
    runner_pool pool_;
    QTimer timer_;
    bool announcing_ = false;
    bool draining_ = false;
    bool drain_acknowledged_ = false;
    std::uint64_t born_;
    std::uint64_t sequence_;
    int served_ = 0;
    std::string group_;
    std::uint64_t epoch_ = 0;
    std::size_t rank_ = 0;
    std::string state_;
};

} // namespace cedarpoint::testing_support
