#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"
#include "io/http_message.h"
#include "io/http_parser.h"
#include "io/stream_socket.h"

#include <QTimer>

#include <functional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// How a call to a runner ended.
enum class call_end {
    complete, ///< the whole answer arrived
    unsent,   ///< the connection was not established and no byte was written
    cut       ///< any other end
};

/// Time limits of one call.
struct call_options {
    milliseconds connect_timeout{2000};
    milliseconds idle_timeout{120'000}; ///< between bytes from the runner
};

/// One request on a new connection. The request is written at most once: connections are not
/// reused, so a stale connection can't make a retry necessary. `on_end` is the last callback.
class upstream_call final : public QObject {
public:
    struct handlers {
        std::function<void()> on_sending; ///< bytes are about to be written
        std::function<void(const http_head&)> on_head;
        std::function<void(std::string)> on_body;
        std::function<void(call_end, const reason&)> on_end;
    };

    upstream_call(endpoint to, const http_request& request, call_options options,
                  handlers handlers);

    ~upstream_call() override;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;

    void start();
    /// Stops reading, so that TCP flow control slows the runner down.
    void pause();
    void resume();
    /// Aborts the call without calling `on_end`.
    void cancel();

private:
    void on_connected();
    void on_timeout();
    void start_idle_timer();
    void read(std::string_view fresh);
    void on_closed(socket_end how);
    void end(call_end how, const char* step, const std::string& text);

    endpoint to_;
    std::string bytes_;
    call_options options_;
    handlers handlers_;
    stream_socket socket_;
    QTimer timer_;
    http_response_parser parser_;
    bool sending_ = false;
    bool head_seen_ = false;
    bool paused_ = false;
    bool ended_ = false;
    int expired_half_timeouts_ = 0; ///< half idle timeouts since the last byte
};

} // namespace cedarpoint
