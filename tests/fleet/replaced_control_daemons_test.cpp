// Fleets of processes whose control daemons are all replaced, one after the other, by new ones at
// other addresses, and that lose power. Each version of the configuration adds a route, so that an
// entry daemon's answers show which version it has in force.

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/versioned_routes.h"
#include "io/clock.h"
#include "support/fleet_processes.h"

#include <gtest/gtest.h>

#include <string>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::has_in_force;
using testing_support::make_versioned_document;
using testing_support::pass_time;
using testing_support::wait_until;

/// A daemon counts as connected after this time without a fault.
constexpr duration contact_time = seconds{3};
/// An acknowledged change is in force at all connected entry daemons after this time.
constexpr duration apply_time = seconds{2};

class a_fleet_of_replaced_control_daemons : public testing::Test {
protected:
    explicit a_fleet_of_replaced_control_daemons(int net, const std::string& log_name)
        : fleet{{.net = net, .entry_daemons = 2, .log_name = log_name}}
    {
    }
    void SetUp() override
    {
        fleet.start_all();
        change_to(1);
        for (const auto& entry : fleet.entries()) {
            ASSERT_TRUE(wait_until([&] { return has_in_force(entry, 1); }));
        }
    }
    void change_to(int version) { ASSERT_TRUE(fleet.put(make_versioned_document(version))); }
    /// Replaces the control daemons one after the other, each when the one before counts.
    void replace_all()
    {
        for (int control = 0; control < fleet_processes::control_count; ++control) {
            fleet.replace_control(control);
            ASSERT_TRUE(wait_until([&] { return fleet.has_replaced(control); }))
                << fleet.describe_controls();
        }
    }
    void start_again(int index)
    {
        fleet.at(index).signal(SIGKILL);
        fleet.start(index, false);
    }

    fleet_processes fleet;
};

class a_daemon_that_stands_still : public a_fleet_of_replaced_control_daemons {
protected:
    a_daemon_that_stands_still()
        : a_fleet_of_replaced_control_daemons{240, "replaced-controls-stop"}
    {
    }
};

// Guards against an entry daemon that serves by an old configuration for good, because it asks only
// control daemons that are gone.
TEST_F(a_daemon_that_stands_still, finds_control_daemons_that_replaced_all_it_knew)
{
    const int stopped = fleet_processes::control_count;
    const auto entry = fleet.entries().front();
    fleet.at(stopped).signal(SIGSTOP);
    replace_all();
    change_to(2);
    fleet.at(stopped).signal(SIGCONT);
    const auto continued = steady_now();
    EXPECT_TRUE(wait_until([&] { return has_in_force(entry, 2); })) << fleet.describe_controls();
    EXPECT_LT(steady_now() - continued, contact_time + apply_time);
}

class a_fleet_that_loses_power : public a_fleet_of_replaced_control_daemons {
protected:
    a_fleet_that_loses_power() : a_fleet_of_replaced_control_daemons{241, "replaced-controls-power"}
    {
    }
};

// Guards against entry daemons that serve, until there is a leader, by what a control daemon's log
// held for certain before the latest acknowledged change.
TEST_F(a_fleet_that_loses_power, shows_no_older_configuration_than_the_acknowledged_one)
{
    for (int version = 2; version < 5; ++version) {
        change_to(version);
        pass_time(apply_time);
        for (int index = 0; index < fleet.count(); ++index) {
            fleet.at(index).signal(SIGKILL);
        }
        for (int index = 0; index < fleet.count(); ++index) {
            start_again(index);
        }
        for (const auto& entry : fleet.entries()) {
            EXPECT_TRUE(wait_until([&] {
                EXPECT_NE(testing_support::status_by_version(entry, version),
                          http_status::not_found)
                    << "version " << version;
                return has_in_force(entry, version) || HasFailure();
            }));
        }
    }
}

} // namespace
} // namespace cedarpoint
