#pragma once

#include "cedarpoint/fleet/attempt_policy.h"
#include "entry/entry_context.h"
#include "io/http_listener.h"
#include "io/sse_splitter.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cedarpoint {

/// One caller's request from its arrival to its final answer: finds the route, the account and a
/// runner, sends it, and passes the answer on; decides after each failure what may still be done.
class relay final : public std::enable_shared_from_this<relay> {
public:
    relay(entry_context& context, http_request request, std::shared_ptr<http_reply> reply,
          std::function<void(const std::shared_ptr<relay>&)> on_end);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void start();
    /// A group that takes no more requests has ended: what runs there does not move any more.
    void on_targets_changed();

private:
    /// An answer of this daemon's own.
    struct own_answer {
        int status = 0;
        const char* cause = "";
        bool come_back = false; ///< say when to try again
    };

    bool admit();
    void attempt();
    void send_to(const fleet_target& target);
    [[nodiscard]] std::string serialize_for(const fleet_target& target, milliseconds left) const;
    void on_head(const http_head& head);
    void on_body(const std::string& bytes);
    void on_event(std::string_view event);
    void on_attempt_end(exchange_end how, const reason& why);
    void judge_answer();
    void judge_stream_end();
    void after(attempt_outcome outcome, const std::string& why);
    void deliver();
    void refuse(const own_answer& answer, const std::string& why);
    void give_up(const std::string& why);
    void abandon_attempt();
    void release_attempt();
    void on_caller_gone();
    void on_deadline();
    void on_silence();
    void arm_silence(milliseconds limit);
    void finish(const char* outcome, const std::string& cause);
    void log_attempt(const char* outcome, const std::string& why) const;
    [[nodiscard]] bool is_stream() const;
    [[nodiscard]] bool is_own_answer(const http_head& head) const;

    entry_context& context_;
    http_request request_;
    std::shared_ptr<http_reply> reply_;
    std::function<void(const std::shared_ptr<relay>&)> on_end_;
    std::shared_ptr<const route_table> routes_;
    const fleet_route* route_ = nullptr;
    const fleet_account* account_ = nullptr;
    service_id service_;
    model_id model_;
    std::string id_;
    instant arrived_;
    instant deadline_;
    attempt_facts facts_;
    std::set<runner_id> tried_;

    runner_connection* connection_ = nullptr; ///< of the attempt under way
    runner_id runner_;
    group_id group_;
    bool sent_ = false;
    instant sent_at_;
    bool event_of_runner_ = false; ///< the latest event came from the present attempt
    std::optional<http_head> head_;
    std::string body_;
    sse_splitter events_;
    bool streaming_ = false; ///< the answer under way is passed on event by event
    bool begun_ = false;     ///< the caller has got a stream's head
    std::string last_event_;
    std::uint64_t last_event_number_ = 0;
    instant last_event_at_;
    std::optional<http_head> failure_; ///< a runner's whole answer that says that it failed
    std::string failure_body_;
    QTimer deadline_timer_;
    QTimer silence_timer_;
    bool ended_ = false;
};

} // namespace cedarpoint
