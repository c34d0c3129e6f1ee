#pragma once

#include "cedarpoint/core/endpoint.h"
#include "support/daemon_process.h"

#include <QTemporaryDir>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// The daemons of a fleet as processes of the real program, on addresses of the loopback range:
/// first three control daemons, then the entry daemons.
class fleet_processes {
public:
    static constexpr int control_count = 3;

    struct options {
        int net = 0; ///< addresses are 127.NET.*.*; tests run side by side, each with its own
        int entry_daemons = 0;
        std::string log_name; ///< of the log files beside the build
        /// Control daemons listen to each other and to entry daemons at `bind_address`: the test
        /// puts proxies at the addresses that they are told.
        bool behind_proxies = false;
        std::string preload; ///< a library of the tests, loaded into each daemon; empty: none
        /// Of the requests that come, the part that may be sent to a second runner; 0: the default.
        double retry_ratio = 0;
    };

    explicit fleet_processes(options options);

    /// `first`: with an empty data folder, as the whole fleet starts for the first time.
    void start(int which, bool first);
    void start_all();
    [[nodiscard]] daemon_process& at(int which)
    {
        return *daemons_.at(static_cast<std::size_t>(which));
    }
    [[nodiscard]] int count() const { return static_cast<int>(daemons_.size()); }

    [[nodiscard]] const std::vector<endpoint>& controls() const { return controls_; }
    /// Where entry daemons take callers.
    [[nodiscard]] std::vector<endpoint> entries() const;
    /// The mesh addresses of a control daemon: as the others are told, and as it binds it.
    [[nodiscard]] endpoint mesh_address(int control) const;
    [[nodiscard]] endpoint bind_address(int control) const;
    /// The control daemon that leads; empty if none does now.
    [[nodiscard]] std::optional<int> leader() const;
    /// Offers a configuration to each control daemon until one takes it. True if one did.
    /// `stopped`: one that answers nothing and is not asked.
    [[nodiscard]] bool put(const std::string& document, std::optional<int> stopped = {}) const;

    /// Waits until each entry daemon serves a GET of `target`. False if one does not.
    [[nodiscard]] bool wait_serving(const std::string& target) const;

private:
    [[nodiscard]] std::string ip_of_entry(int which) const;

    options options_;
    QTemporaryDir folder_;
    std::vector<endpoint> controls_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

} // namespace cedarpoint::testing_support
