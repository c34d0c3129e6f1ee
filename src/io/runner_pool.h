#pragma once

#include "io/runner_connection.h"

#include <QTimer>

#include <map>
#include <memory>
#include <vector>

namespace cedarpoint {

/// How long kept connections may have rested before they are used again.
struct pool_options {
    milliseconds longest_rest{4000};      ///< where the runner does not say
    milliseconds keep_alive_margin{1200}; ///< less than what the runner says
};

/// Connections to runners, kept for the next request.
class runner_pool {
public:
    runner_pool();
    explicit runner_pool(pool_options options);
    ~runner_pool();
    runner_pool(const runner_pool&) = delete;
    runner_pool& operator=(const runner_pool&) = delete;

    /// A connection for one exchange: one that has rested no longer than `longest_rest`, or a new
    /// one. It belongs to the pool; give it back when the exchange has ended.
    runner_connection* take(const endpoint& to, milliseconds longest_rest);
    runner_connection* take(const endpoint& to) { return take(to, options_.longest_rest); }
    void give_back(runner_connection* connection);
    /// Connections to one address, busy and idle.
    [[nodiscard]] std::size_t count(const endpoint& to) const;
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    struct place {
        std::vector<std::unique_ptr<runner_connection>> idle;
        std::map<runner_connection*, std::unique_ptr<runner_connection>> busy;
    };
    [[nodiscard]] bool is_usable(const runner_connection& connection, instant now,
                                 milliseconds longest_rest) const;
    void sweep();

    pool_options options_;
    std::map<endpoint, place> places_;
    QTimer sweeper_;
    std::uint64_t opened_ = 0;
};

} // namespace cedarpoint
