#pragma once

#include "fleet/fleet_site.h"
#include "runner_paths/cuttable_paths.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <memory>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// A fleet of processes with stand-in runners, whose paths to the runners can be cut for each entry
/// daemon. Serves streams at /ask/, requests that may be repeated at /safe/, and requests that may
/// run once at /once/.
class cuttable_fleet {
public:
    struct options {
        int net = 0; ///< loopback net of this test, since tests run in parallel
        std::string log_name;
        int entry_daemons = 0;
        int failure_domains = 1;
        int forwarding_entry_daemons = 1000; ///< see `fleet_processes::options`
        int groups = 1;                      ///< of three runners that serve the model "small"
        int plain_runners = 3;
    };

    explicit cuttable_fleet(const options& options);

    /// Starts all processes and waits until all groups and plain runners are in use.
    [[nodiscard]] bool start();

    /// Makes a runner silent for all daemons, or lets it go on.
    void set_silent(std::size_t runner, bool silent);

    [[nodiscard]] int count_open() const;

    /// Returns the runs at all runners, by request id.
    [[nodiscard]] std::map<std::string, int> count_runs() const;
    /// Checks that none of these requests that may run once ran twice, or ran although it was
    /// refused.
    void expect_at_most_once(const open_loop_callers& callers) const;

    fleet_processes fleet;
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::vector<std::unique_ptr<cuttable_paths>> paths; ///< by entry daemon

private:
    int groups_;
};

} // namespace cedarpoint::testing_support
