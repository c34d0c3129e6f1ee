#pragma once

#include "cedarpoint/core/endpoint.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// The target of a drain or undrain.
struct drain_request {
    std::string kind; ///< "node", "group" or "runner"
    std::string id;
    bool draining = true;
};

// One function per subcommand. Each prints its result, errors on standard error, and returns the
// process's exit code (exit_code.h).

int run_check(const std::string& file);
/// Waits at most `wait_seconds` (0: does not wait) until `daemon` and `other_daemons`, each
/// "ip:port", have the new revision in force.
int run_apply(const endpoint& daemon, const std::string& file, int wait_seconds,
              const std::vector<std::string>& other_daemons);
int run_plan(const endpoint& daemon, const std::string& file);
int run_status(const endpoint& daemon, bool as_json);
/// Shows the status and refreshes it every second, `rounds` times (0: until the process is
/// terminated). Ends early if the daemon does not answer.
int run_top(const endpoint& daemon, int rounds);
int run_drain(const endpoint& daemon, const drain_request& request);
int run_stop(const endpoint& daemon);
int run_explain(const endpoint& daemon, const std::string& request);
/// Runs a control or entry daemon until it is stopped.
int run_fleet(int& argc, char** argv, const std::string& settings_file);
/// Runs a daemon with a fixed list of peers until it is stopped.
int run_serve(int& argc, char** argv, const std::string& settings_file);

} // namespace cedarpoint
