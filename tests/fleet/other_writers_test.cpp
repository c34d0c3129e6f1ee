// Heartbeats that another writer sends under a runner's id.

#include "fleet/planner_world.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::planner_world;

/// Two models, and a service without groups.
constexpr auto document = R"({"version":1,"routes":[{"name":"r","host":"h.example",
    "pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"service":"pool"}],
    "services":[{"name":"plain"},{"name":"pool","engine":{"slots":26,"loadsPerS":4.5,
    "loads_at_once":6,"formMs":300,"models":[
    {"name":"large","size":4,"share":0.5,"loadS":16,"warmS":1.6},
    {"name":"small","size":3,"share":0.5,"loadS":12,"warmS":1.1}]}}]})";

class a_fleet_with_another_writer : public testing::TestWithParam<const char*> {
protected:
    a_fleet_with_another_writer()
    {
        world.add_runners("a-0", 9);
        world.add_runners("b-0", 9);
        world.run(seconds{12});
    }
    planner_world world{{.document = document}};
};

// Guards against a leader that ends, or ends a group, by a heartbeat under the id of the group's
// head with another service.
TEST_P(a_fleet_with_another_writer, plans_on_and_keeps_its_groups)
{
    const auto large = world.members_of_some_group("large");
    const auto small = world.members_of_some_group("small");
    ASSERT_EQ(large.size(), 4U);
    ASSERT_EQ(small.size(), 3U);
    const auto group = world.group_of(large.front());
    world.work = {{"large", 100}, {"small", 0}};
    for (int n = 0; n < 20; ++n) {
        world.deliver_others_heartbeat(large.front(), service_id{GetParam()});
        world.deliver_others_heartbeat(small.front(), service_id{GetParam()});
        world.run(seconds{1});
    }
    EXPECT_EQ(world.group_of(large.front()).str(), group.str());
    EXPECT_GE(world.serving_groups("large"), 2U) << "a group was converted for the work";
    EXPECT_EQ(join_lines(world.violations()), "");
}

INSTANTIATE_TEST_SUITE_P(services, a_fleet_with_another_writer, testing::Values("nobody", "plain"));

} // namespace
} // namespace cedarpoint
