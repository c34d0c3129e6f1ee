#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "io/connect_probe.h"

#include <functional>
#include <map>
#include <memory>

namespace cedarpoint {

/// Tries to connect to runners and reports how each attempt ended. Sends no data.
class runner_prober {
public:
    using result_handler = std::function<void(const runner_id&, connect_probe::result)>;

    explicit runner_prober(result_handler on_result) : on_result_{std::move(on_result)} {}
    runner_prober(const runner_prober&) = delete;
    runner_prober& operator=(const runner_prober&) = delete;
    ~runner_prober() = default;

    /// Starts a probe after a delay. Replaces one of the same runner that has not ended.
    void probe(const runner_id& runner, const endpoint& address,
               milliseconds delay = milliseconds{0});
    /// Removes the probes that have ended. Must not be called from within `on_result`.
    void clean_up();

private:
    result_handler on_result_;
    std::map<runner_id, std::unique_ptr<connect_probe>> probes_;
};

} // namespace cedarpoint
