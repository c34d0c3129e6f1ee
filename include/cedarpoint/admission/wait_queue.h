#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cedarpoint {

/// A request that waits for a free slot.
struct waiting {
    request_id request;
    client_account_id account;
    int weight = 1;
    priority_class priority = priority_class::normal;
    instant since;
    instant expires_at; ///< the deadline, or the end of the longest wait
};

/// Queue of the requests with the same routes that wait for a slot. Owns their order:
///   class    alarm, then normal, then bulk; a request that has waited `promote_after` counts as
///            one class higher, which prevents starvation
///   account  within a class, the account with the least service for its weight (start-time fair
///            queueing; a request costs 1 / weight)
///   arrival  within an account and class, first come, first served
/// The user must remove each request that it serves or refuses.
class wait_queue {
public:
    /// Maximum number of requests over all classes and accounts.
    static constexpr std::size_t max_length = 2048;
    static constexpr duration promote_after = seconds{20};

    /// Adds a request. Returns false if the queue is full; `find_victim` then returns a request
    /// that can be displaced.
    [[nodiscard]] bool push(const waiting& it);
    /// Returns the request to displace in favour of one of class `priority`: the newest request of
    /// the lowest class that has any. Empty if no request of a lower class than `priority` waits.
    [[nodiscard]] std::optional<request_id> find_victim(priority_class priority);
    /// Returns the next request to run, which stays queued until `remove`. Empty if none waits.
    [[nodiscard]] std::optional<request_id> next(instant now) const;
    /// Removes a request; does nothing if it is not queued. If `served`, the request counts towards
    /// its account's share.
    void remove(const request_id& request, bool served);
    /// Removes and returns all requests whose `expires_at` time has come.
    [[nodiscard]] std::vector<request_id> expire(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    static constexpr std::size_t class_count = 3;

    /// One account's requests of one class.
    struct account_queue {
        std::deque<waiting> requests;
        double virtual_time = 0; ///< sum of 1 / weight over the requests served so far
    };
    using account_queues = std::map<client_account_id, account_queue>;

    /// Indexed by `priority_class`; the first is the highest.
    std::array<account_queues, class_count> by_class_;
    /// Highest virtual time at which a request of the class was served.
    std::array<double, class_count> clock_{};
    std::size_t size_ = 0;
};

} // namespace cedarpoint
