#pragma once

#include "control_daemon/control_daemon.h"
#include "entry/entry_daemon.h"
#include "fleet/platform_runner.h"
#include "io/runner_connection.h"

#include <QTemporaryDir>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// An answer as received by a caller.
struct http_answer {
    exchange_end end = exchange_end::cut;
    http_head head;
    std::string body;
};

/// Sends one request to `to` and runs the event loop until it has ended.
http_answer call(const endpoint& to, const std::string& method, const std::string& target,
                 const std::string& headers, const std::string& body);

/// Three control daemons and an entry daemon in this process, on addresses of the loopback range.
class fleet_site {
public:
    fleet_site();
    ~fleet_site();
    fleet_site(const fleet_site&) = delete;
    fleet_site& operator=(const fleet_site&) = delete;

    [[nodiscard]] const std::vector<endpoint>& controls() const { return controls_; }
    [[nodiscard]] endpoint callers() const { return *entry_settings_.callers; }
    [[nodiscard]] endpoint ready() const { return *entry_settings_.ready; }
    /// Returns the address of the entry daemon's metrics.
    [[nodiscard]] endpoint metrics() const { return *entry_settings_.metrics; }
    /// Sends a configuration document to the current leader and returns the last status.
    int put(const std::string& document);
    /// Returns the configuration from the leader; empty while there is none.
    std::string get();
    [[nodiscard]] std::optional<std::size_t> leader();
    void stop_control(std::size_t n);
    void start_control(std::size_t n, bool first_start);
    [[nodiscard]] bool is_ready();
    /// Returns the concatenated metrics of all control daemons.
    [[nodiscard]] std::string control_metrics();
    entry_daemon& entry() { return *entry_; }

private:
    http_answer call_leader(const std::string& method, const std::string& target,
                            const std::string& body);

    QTemporaryDir folder_;
    std::vector<endpoint> controls_;
    std::vector<fleet_settings> settings_;
    std::vector<std::unique_ptr<control_daemon>> daemons_;
    fleet_settings entry_settings_;
    std::unique_ptr<entry_daemon> entry_;
};

} // namespace cedarpoint::testing_support
