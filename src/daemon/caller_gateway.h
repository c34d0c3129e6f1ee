#pragma once

#include "cedarpoint/request/dispatcher.h"
#include "daemon/daemon_metrics.h"
#include "daemon/decision_log.h"
#include "daemon/request_reader.h"
#include "io/http_listener.h"
#include "io/sse_splitter.h"
#include "io/upstream_call.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// Connects the callers' listener, the dispatcher and the calls to runners. All decisions are made
/// by the dispatcher.
class caller_gateway {
public:
    struct hooks {
        std::function<bool()> is_ready;
        std::function<void(const ask_claim&)> begin_claim;
        std::function<void(const end_claim&)> finish_claim;
        std::function<void(const check_runner&)> check_runner_end;
    };

    caller_gateway(const settings& daemon_settings, dispatcher& request_dispatcher,
                   decision_log& decisions, daemon_metrics& metrics, hooks hooks);
    ~caller_gateway();
    caller_gateway(const caller_gateway&) = delete;
    caller_gateway& operator=(const caller_gateway&) = delete;

    bool start(const endpoint& at, reason& why);
    /// Stops accepting connections. Open connections close after their current answer.
    void stop_listening();
    void perform(const actions& all);
    /// Ends all attempts on upstreams for which `is_gone` returns true, without waiting until their
    /// connections end.
    void cut_attempts(const std::function<bool(const runner_id&)>& is_gone);
    [[nodiscard]] std::size_t connections() const { return listener_.connections(); }
    [[nodiscard]] endpoint address() const { return listener_.address(); }
    [[nodiscard]] bool is_idle() const { return exchanges_.empty(); }

private:
    struct exchange {
        http_request request;
        std::shared_ptr<http_reply> reply;
        bool streamed = false;
        attempt_id attempt;
    };
    struct attempt {
        request_id request;
        runner_id upstream;
        std::unique_ptr<upstream_call> call;
        std::unique_ptr<sse_splitter> events; ///< set if the answer is an event stream
        http_head head;
        std::string buffered_body; ///< of an answer that is sent only when complete
        bool relaying = false;     ///< part of a plain body was sent to the caller
        bool finished = false;     ///< the last event was forwarded
    };

    void on_request(http_request request, std::shared_ptr<http_reply> reply);
    [[nodiscard]] std::optional<request_fingerprint>
    make_fingerprint(const http_request& request, const request_facts& facts) const;
    void record_signals(attempt_id id, const attempt& it);
    void answer_models(const http_request& request, http_reply& reply);
    void send_refusal(http_reply& reply, const refusal& error, const std::string& request);
    void do_start(const start_attempt& it);
    void do_cancel(const cancel_attempt& it);
    void do_refuse(const refuse& it);
    void do_log(const decision& it);
    void on_head(attempt_id id, const http_head& head);
    void on_body(attempt_id id, std::string bytes);
    void on_end(attempt_id id, call_end how, const reason& why);
    void relay_events(attempt_id id, attempt& it, exchange& to, const std::string& bytes);
    void relay_plain(attempt_id id, attempt& it, exchange& to, std::string bytes);
    void begin_answer(attempt_id id, const attempt& it, exchange& to);
    /// Stops reading from the runner while too many bytes are buffered for the caller.
    void apply_backpressure(attempt& it, const exchange& to);
    void finish(attempt_id id, attempt& it);
    /// Forgets an attempt that has ended.
    void retire(attempt_id id);
    [[nodiscard]] http_request make_upstream_request(const start_attempt& it,
                                                     const exchange& from) const;

    const settings& settings_;
    dispatcher& dispatcher_;
    decision_log& decisions_;
    daemon_metrics& metrics_;
    hooks hooks_;
    http_listener listener_;
    std::unordered_map<request_id, exchange> exchanges_;
    std::unordered_map<std::uint64_t, attempt> attempts_;
    std::uint64_t last_request_ = 0;
    std::string request_prefix_;
};

} // namespace cedarpoint
