#pragma once

#include "cedarpoint/groups/group_controller.h"
#include "cedarpoint/groups/runner_watch.h"
#include "io/upstream_call.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cedarpoint {

/// Looks at runners and gives them orders, over the engines' HTTP interface:
/// GET /engine/state and POST /engine/orders.
class runner_client {
public:
    using report_handler = std::function<void(const runner_id&, const runner_report&)>;

    explicit runner_client(report_handler on_report) : on_report_{std::move(on_report)} {}
    ~runner_client();
    runner_client(const runner_client&) = delete;
    runner_client& operator=(const runner_client&) = delete;

    /// Asks each runner for its state; one that has not answered yet is not asked again.
    void look(const std::vector<runner_spec>& runners);
    void order(const runner_order& it);

private:
    struct pending {
        std::unique_ptr<upstream_call> call;
        std::string body;
        int status = 0;
    };

    void begin(const std::string& key, const runner_id& runner, const endpoint& to,
               const http_request& request);
    void end(const std::string& key, const runner_id& runner, call_end how, const reason& why);

    report_handler on_report_;
    std::map<std::string, pending> pending_;
    std::map<std::string, std::string> unclear_; ///< what was logged of each call, to log it once
};

/// Reads a state answer; empty if it is not one.
std::optional<runner_report> parse_runner_report(const std::string& text);

} // namespace cedarpoint
