#include "cedarpoint/fleet/route_table.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

fleet_route route_at(const std::string& host, const std::string& prefix)
{
    fleet_route out;
    out.name = host + prefix;
    out.host = host;
    out.path_prefix = prefix;
    out.targets = {{service_id{"one"}, 90}, {service_id{"two"}, 10}};
    return out;
}

route_table table()
{
    fleet_configuration in;
    in.routes = {route_at("a.example", "/x/"), route_at("a.example", "/x/y/"),
                 route_at("b.example", "/x/")};
    in.accounts = {{client_account_id{"till"}, {"k1", "k2"}, 1}};
    return route_table{std::move(in)};
}

TEST(a_route, is_the_one_with_the_longest_prefix_of_its_host)
{
    const auto routes = table();
    EXPECT_EQ(routes.find_route("a.example", "/x/y/z")->name, "a.example/x/y/");
    EXPECT_EQ(routes.find_route("A.Example:80", "/x/z")->name, "a.example/x/");
    EXPECT_EQ(routes.find_route("b.example", "/x/y/z")->name, "b.example/x/");
    EXPECT_EQ(routes.find_route("a.example", "/x"), nullptr);
    EXPECT_EQ(routes.find_route("c.example", "/x/"), nullptr);
}

TEST(a_key, finds_its_account_by_each_of_the_accounts_keys)
{
    const auto routes = table();
    ASSERT_NE(routes.find_account("k2"), nullptr);
    EXPECT_EQ(routes.find_account("k2")->name.str(), "till");
    EXPECT_EQ(routes.find_account("k3"), nullptr);
}

TEST(a_route, splits_its_requests_by_weight)
{
    const auto route = route_at("a", "/");
    EXPECT_EQ(route_table::choose_target(route, 0.0).service.str(), "one");
    EXPECT_EQ(route_table::choose_target(route, 0.89).service.str(), "one");
    EXPECT_EQ(route_table::choose_target(route, 0.91).service.str(), "two");
    auto last_weight_zero = route;
    last_weight_zero.targets.back().weight = 0;
    EXPECT_EQ(route_table::choose_target(last_weight_zero, 0.999).service.str(), "one");
}

} // namespace
} // namespace cedarpoint
