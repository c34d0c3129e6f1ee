#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <memory>
#include <vector>

namespace cedarpoint::testing_support {

/// Passes connections on from one loopback address to another, and harms them on request.
class loopback_proxy {
public:
    loopback_proxy(const endpoint& from, endpoint to);
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    ~loopback_proxy();

    /// Nothing passes any more, and nobody is told; new connections are taken and stay silent.
    void set_silent(bool silent);
    /// Only what comes from the caller's side is held back.
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
