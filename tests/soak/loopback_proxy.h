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
    /// What happens to new connections. `hangs`: the kernel drops the opening packets.
    enum class accepting_t { accepts, refuses, hangs };
    void set_accepting(accepting_t accepting);

private:
    struct connection;
    void accept();
    void fill_backlog();
    void relay(const std::shared_ptr<connection>& it, bool from_caller);

    QTcpServer server_;
    endpoint source_address_;
    endpoint target_address_;
    std::vector<std::shared_ptr<connection>> connections_;
    accepting_t accepting_ = accepting_t::accepts;
    /// Connections that fill the kernel's queue while new ones hang.
    std::vector<std::unique_ptr<QTcpSocket>> queue_fillers_;
    bool stalled_ = false;
    bool caller_blocked_ = false;
    int delay_ms_ = 0;
};

} // namespace cedarpoint::testing_support
