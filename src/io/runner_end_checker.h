#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "io/address_prober.h"

#include <functional>

namespace cedarpoint {

/// Checks whether the process of a runner that closed a connection without an answer has ended.
/// Connections to its address are refused in that case.
class runner_end_checker {
public:
    using result_handler = std::function<void(const runner_id&, bool refused)>;

    explicit runner_end_checker(const result_handler& on_result);

    void check(const runner_id& runner, const endpoint& address);
    /// Removes completed checks.
    void clean_up() { prober_.clean_up(); }

private:
    address_prober<runner_id> prober_;
};

} // namespace cedarpoint
