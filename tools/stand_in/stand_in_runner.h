#pragma once

#include "io/http_listener.h"

#include <QTimer>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cedarpoint {

/// The stage at which a stand-in runner fails a request.
enum class fault_stage {
    none,
    after_request,
    after_head,
    mid_answer,
    before_end,
    server_error,
    stall
};

/// A simulated model engine on one address, for the demo, the tests and the benchmarks: executes
/// fenced orders, reports its state, streams answers token by token, resumes and cancels streams,
/// and injects faults. Owns its listener, its streams and a record of the requests and orders that
/// it received. Needs a running Qt event loop.
class stand_in_runner {
public:
    struct options {
        int tokens = 8;           ///< in an answer to a request without `max_tokens`
        int token_ms = 5;         ///< time between two tokens
        int load_ms = 20;         ///< time from the order "load" to the phase "ready"
        bool checks_epoch = true; ///< rejects orders with an older and requests with another epoch
    };

    explicit stand_in_runner(options options);
    ~stand_in_runner();
    stand_in_runner(const stand_in_runner&) = delete;
    stand_in_runner& operator=(const stand_in_runner&) = delete;

    bool start(const endpoint& at, reason& why);
    [[nodiscard]] endpoint address() const { return listener_->address(); }
    /// Makes the next `times` requests fail at `stage`; orders and state queries are not affected.
    void fail_next(fault_stage stage, int times)
    {
        fault_stage_ = stage;
        remaining_faults_ = times;
    }
    void set_leaving(bool it) { leaving_ = it; }
    /// Returns the number of requests received, by body (by path if the body is empty). Tests use
    /// it to detect duplicates.
    [[nodiscard]] const std::map<std::string, int>& arrivals() const { return arrivals_; }
    [[nodiscard]] int served() const { return served_; }
    [[nodiscard]] int in_flight() const { return static_cast<int>(streams_.size()); }
    [[nodiscard]] int cancelled() const { return cancelled_; }
    [[nodiscard]] const std::vector<std::string>& orders() const { return orders_; }
    [[nodiscard]] const std::vector<http_request>& requests() const { return requests_; }
    options& behaviour() { return options_; }

private:
    struct stream {
        std::shared_ptr<http_reply> reply;
        int next = 0;
        int end = 0;
        fault_stage fault = fault_stage::none;
        std::unique_ptr<QTimer> timer;
        bool chat = true;
    };

    void on_request(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void send_state(http_reply& reply) const;
    void execute_order(const http_request& request, http_reply& reply);
    void serve(const http_request& request, const std::shared_ptr<http_reply>& reply);
    void serve_service_request(const http_request& request, http_reply& reply);
    void send_next_token(std::uint64_t id);
    fault_stage take_fault();

    options options_;
    std::unique_ptr<http_listener> listener_;
    std::map<std::uint64_t, stream> streams_;
    std::uint64_t last_stream_id_ = 0;
    std::map<std::string, int> arrivals_;
    std::vector<std::string> orders_;
    std::vector<http_request> requests_;
    std::string phase_ = "idle";
    std::string group_;
    std::uint64_t epoch_ = 0;
    int served_ = 0;
    int cancelled_ = 0;
    bool leaving_ = false;
    fault_stage fault_stage_ = fault_stage::none;
    int remaining_faults_ = 0;
    QTimer load_timer_;
};

} // namespace cedarpoint
