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
    loopback_proxy(const endpoint& from, endpoint to);
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    ~loopback_proxy();

    /// Stops forwarding without closing connections; new ones are accepted and stay silent.
    void set_silent(bool silent);
    /// Stops forwarding from the caller only.
    void set_one_way(bool one_way) { one_way_ = one_way; }
    void set_delay(int milliseconds) { delay_ms_ = milliseconds; }
    void reset_all();

private:
    struct link;
    void accept();
    void pass(const std::shared_ptr<link>& each, bool from_caller);

    QTcpServer server_;
    endpoint to_;
    std::vector<std::shared_ptr<link>> links_;
    bool silent_ = false;
    bool one_way_ = false;
    int delay_ms_ = 0;
};

} // namespace cedarpoint::testing_support
