#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "support/daemon_process.h"

#include <QTemporaryDir>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Runs the daemons of a fleet as processes of the real program on loopback addresses. Daemons are
/// numbered: first the three control daemons, then the entry daemons.
class fleet_processes {
public:
    static constexpr int control_count = 3;
    /// A control daemon counts as lost for this time after its start.
    static constexpr duration catch_up_time = seconds{4};

    struct options {
        int net = 0; ///< addresses are 127.NET.*.*; unique per test, since tests run in parallel
        int entry_daemons = 0;
        std::string log_name; ///< prefix of the log files in the build folder
        /// Control daemons listen at `bind_address` for other daemons, and the test runs proxies at
        /// the advertised `mesh_address`.
        bool behind_proxies = false;
        std::string preload; ///< a library for LD_PRELOAD of each daemon; empty: none
        /// `ratio` of the retry budget; 0: the default.
        double retry_ratio = 0;
        /// Entry daemons are spread over this many failure domains.
        int failure_domains = 1;
        /// Entry daemons connect to runners at `runner_proxy_ip` instead of 127.0.0.1.
        bool behind_runner_proxies = false;
        /// Entry daemons from this number on, as numbered in `entries`, accept no requests of
        /// others, like those of an earlier version.
        int forwarding_entry_daemons = 1000;
    };

    explicit fleet_processes(options options);

    /// Starts a daemon. `first_start`: the whole fleet starts for the first time, with empty data
    /// folders.
    void start(int index, bool first_start);
    void start_all();
    /// Ends a control daemon for good and starts another one without stored state in its place, at
    /// a new address. The settings files of all others name it from then on. Not for fleets behind
    /// proxies.
    void replace_control(int control);
    /// Kills the daemon, and returns once its process has ended.
    void end(int index);
    /// Deletes what the control daemon, which must not run, has stored.
    void lose_disk(int control) const;
    [[nodiscard]] daemon_process& at(int index)
    {
        return *daemons_.at(static_cast<std::size_t>(index));
    }
    [[nodiscard]] int count() const { return static_cast<int>(daemons_.size()); }

    [[nodiscard]] const std::vector<endpoint>& controls() const { return controls_; }
    /// Returns the addresses for callers of the entry daemons.
    [[nodiscard]] std::vector<endpoint> entries() const;
    /// The advertised mesh address of a control daemon, and the one that it binds behind proxies.
    [[nodiscard]] endpoint mesh_address(int control) const;
    [[nodiscard]] endpoint bind_address(int control) const;
    /// Returns the address at which an entry daemon, numbered as in `entries`, reaches runners if
    /// it runs behind runner proxies.
    [[nodiscard]] std::string runner_proxy_ip(int entry) const;
    /// Returns where an entry daemon, numbered as in `entries`, accepts requests of others.
    [[nodiscard]] endpoint forward_address(int entry) const;
    /// Returns the number of the leading control daemon; nothing if none leads.
    [[nodiscard]] std::optional<int> leader() const;
    /// Sends a configuration to the control daemons in turn until one accepts it. Returns whether
    /// one did. `suspended`: a suspended control daemon, which is skipped.
    [[nodiscard]] bool put(const std::string& document, std::optional<int> suspended = {}) const;

    /// Waits until each entry daemon serves a GET of `target`. Returns false on a timeout.
    [[nodiscard]] bool wait_serving(const std::string& target) const;

    /// Returns whether the control daemon has taken the place of the one that it replaced: it has
    /// run for as long as a new daemon counts as lost, and a leader has made it a voter.
    [[nodiscard]] bool has_replaced(int control) const;
    /// Returns, for each control daemon, whether its process runs and the end of its log, for the
    /// message of a failed check.
    [[nodiscard]] std::string describe_controls() const;

private:
    [[nodiscard]] std::string ip_of_entry(int index) const;
    [[nodiscard]] std::string failure_domain_of(int index) const;
    [[nodiscard]] daemon_process::variables variables_of(int index) const;
    [[nodiscard]] std::string log_file_of(int index) const;
    [[nodiscard]] std::string data_folder_of(int control) const;
    /// Writes the daemon's settings with the present control daemons as seeds. Returns the file.
    std::string write_settings(int index, bool first_start);

    options options_;
    int replacements_ = 0;
    std::array<instant, control_count> replaced_at_{};
    std::vector<std::uintmax_t> log_starts_; ///< sizes of earlier runs' log files
    QTemporaryDir folder_;
    std::vector<endpoint> controls_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
};

} // namespace cedarpoint::testing_support
