#pragma once

#include "io/runner_connection.h"

#include <QTimer>

#include <map>
#include <memory>
#include <vector>

namespace cedarpoint {

/// How long a connection may be idle and still be reused.
struct pool_options {
    milliseconds max_idle{4000};          ///< upper bound for the idle time
    milliseconds keep_alive_margin{1200}; ///< subtracted from the runner's Keep-Alive timeout
};

/// A pool of persistent connections to runners.
class runner_pool {
public:
    runner_pool();
    explicit runner_pool(pool_options options);
    ~runner_pool();
    runner_pool(const runner_pool&) = delete;
    runner_pool& operator=(const runner_pool&) = delete;

    /// Returns a connection for one exchange: one that was idle for less than `max_idle`, or a
    /// new one. The pool owns the connection; pass it to `release` after the exchange.
    runner_connection* take(const endpoint& to, milliseconds max_idle);
    runner_connection* take(const endpoint& to) { return take(to, options_.max_idle); }
    void release(runner_connection* connection);
    /// Returns the number of connections to one address, busy and idle.
    [[nodiscard]] std::size_t count(const endpoint& to) const;
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    struct endpoint_connections {
        std::vector<std::unique_ptr<runner_connection>> idle;
        std::map<runner_connection*, std::unique_ptr<runner_connection>> busy;
    };
    [[nodiscard]] bool is_usable(const runner_connection& connection, instant now,
                                 milliseconds max_idle) const;
    void sweep();

    pool_options options_;
    std::map<endpoint, endpoint_connections> connections_;
    QTimer sweeper_;
    std::uint64_t opened_ = 0;
};

} // namespace cedarpoint
