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

/// Polls the state of runners and sends them orders over the engines' HTTP interface:
/// GET /engine/state and POST /engine/orders.
class runner_client {
public:
    using report_handler = std::function<void(const runner_id&, const runner_report&)>;

    explicit runner_client(report_handler on_report) : on_report_{std::move(on_report)} {}
    ~runner_client();
    runner_client(const runner_client&) = delete;
    runner_client& operator=(const runner_client&) = delete;

    /// Requests the state of each runner, except of runners whose previous answer is outstanding.
    void poll_states(const std::vector<runner_spec>& runners);
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
    std::map<std::string, std::string> last_failures_; ///< last failure logged for each call
};

/// Parses the body of a state answer; returns nothing if it is not valid.
std::optional<runner_report> parse_runner_report(const std::string& text);

} // namespace cedarpoint
