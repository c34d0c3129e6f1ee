#pragma once

#include "cedarpoint/core/endpoint.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// What is to be drained or undrained.
struct drain_request {
    std::string kind;
    std::string id;
    bool draining = true;
};

/// One function a subcommand; each returns the process's exit code.
int run_check(const std::string& file);
int run_apply(const endpoint& daemon, const std::string& file, int wait_seconds,
              const std::vector<std::string>& others);
int run_plan(const endpoint& daemon, const std::string& file);
int run_status(const endpoint& daemon, bool as_json);
int run_watch(const endpoint& daemon, int rounds);
int run_drain(const endpoint& daemon, const drain_request& what);
int run_stop(const endpoint& daemon);
int run_explain(const endpoint& daemon, const std::string& request);
int run_fleet(int& argc, char** argv, const std::string& settings_file);
int run_serve(int& argc, char** argv, const std::string& settings_file);

} // namespace cedarpoint
