#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <vector>

namespace cedarpoint::testing_support {

/// TCP proxy from one loopback address to another with injected faults.
class loopback_proxy {
public:
    loopback_proxy(const endpoint& source, endpoint target);
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    ~loopback_proxy();

    /// Stops forwarding without closing connections; new ones are accepted and receive no data.
    void set_stalled(bool stalled);
    /// Stops forwarding from the caller only.
    void set_caller_blocked(bool caller_blocked) { caller_blocked_ = caller_blocked; }
    void set_delay(int milliseconds) { delay_ms_ = milliseconds; }
    void reset_connections();

private:
    struct connection;
    void accept();
    void relay(const std::shared_ptr<connection>& it, bool from_caller);

    QTcpServer server_;
    endpoint target_address_;
    std::vector<std::shared_ptr<connection>> connections_;
    bool stalled_ = false;
    bool caller_blocked_ = false;
    int delay_ms_ = 0;
};

} // namespace cedarpoint::testing_support
