#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "io/connect_probe.h"

#include <functional>
#include <map>
#include <memory>

namespace cedarpoint {

/// Checks whether the process of a runner that closed a connection without an answer has ended.
/// Connections to its address are refused in that case.
class runner_end_checker {
public:
    using result_handler = std::function<void(const runner_id&, bool refused)>;

    explicit runner_end_checker(result_handler on_result) : on_result_{std::move(on_result)} {}
    runner_end_checker(const runner_end_checker&) = delete;
    runner_end_checker& operator=(const runner_end_checker&) = delete;
    ~runner_end_checker() = default;

    void check(const runner_id& runner, const endpoint& address);
    /// Removes completed checks.
    void clean_up();

private:
    result_handler on_result_;
    std::map<runner_id, std::unique_ptr<connect_probe>> probes_;
};

} // namespace cedarpoint
