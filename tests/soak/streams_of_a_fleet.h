#pragma once

#include "fleet/platform_runner.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Resumable streams at a fixed rate on kept connections to a fleet of real processes, and changes
/// of its configuration. STREAMS_PER_SECOND sets the load of a manual run.
class streams_of_a_fleet : public testing::Test {
protected:
    struct options {
        int net = 0; ///< see fleet_processes::options
        std::string log_name;
        double retry_ratio = 0; ///< see fleet_processes::options
        int runners = 9;
        int group_size = 3;
        int events = 3; ///< of each stream
        milliseconds event_gap{500};
        int slots = 200;             ///< reported by each runner
        milliseconds deadline{2000}; ///< of each stream
        milliseconds timeout{5000};  ///< of the route
        unsigned streams_per_second = 80;
    };
    explicit streams_of_a_fleet(const options& options);

    bool put_next() { return fleet.put(document(++version)); }
    /// Sends the latest configuration again.
    void put_again() const { (void)fleet.put(document(version)); }
    void put_invalid() const;
    /// Returns the streams that began before `until` and have no complete answer.
    [[nodiscard]] std::vector<open_loop_callers::result> cut_before(instant until) const;

    fleet_processes fleet;
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::unique_ptr<open_loop_callers> callers;
    int version = 0;

private:
    [[nodiscard]] std::string document(int version) const;

    int group_size_;
    int slots_;
    milliseconds timeout_;
};

} // namespace cedarpoint::testing_support
