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
    instant give_up; ///< the deadline, or the longest wait
};

/// Requests of one model or service that wait for a slot. Alarms first, then normal, then bulk;
/// a request that has waited `promote_after` moves up a class, so that nothing starves.
/// Within a class accounts share by weight. Bounded in length.
class wait_queue {
public:
    static constexpr std::size_t max_length = 2048;
    static constexpr duration promote_after = seconds{20};

    /// False if the queue is full. An alarm is let in as long as a lower class waits: see `shed`.
    [[nodiscard]] bool push(const waiting& it);
    /// The request to give up so that one of `priority` can be let in: the newest of the lowest
    /// class.
    std::optional<request_id> shed(priority_class priority);
    /// The next request that should run; it stays queued until `remove`.
    [[nodiscard]] std::optional<request_id> next(instant now) const;
    void remove(const request_id& request, bool served);
    /// Takes out every request whose time to give up has come.
    std::vector<request_id> expire(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    static constexpr std::size_t classes = 3;

    struct lane {
        std::deque<waiting> requests;
        double virtual_time = 0; ///< service received so far, over weight
    };
    using lanes = std::map<client_account_id, lane>;

    std::array<lanes, classes> by_class_;
    std::array<double, classes> clock_{}; ///< virtual time of the latest request served
    std::size_t size_ = 0;
};

} // namespace cedarpoint
