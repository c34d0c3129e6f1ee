// Admission of requests and their routing.

#include "cedarpoint/fleet/request_admission.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

fleet_configuration two_routes()
{
    fleet_configuration out;
    out.requires_keys = true;
    out.accounts = {{client_account_id{"till"}, {"k1"}, 3}};
    fleet_service pool;
    pool.name = service_id{"pool"};
    pool.engine = engine_spec{};
    fleet_service shop;
    shop.name = service_id{"shop"};
    out.services = {pool, shop};
    fleet_route ask;
    ask.name = "ask";
    ask.host = "h";
    ask.path_prefix = "/ask/";
    ask.timeout = milliseconds{5000};
    ask.priority = 1;
    ask.targets = {{service_id{"pool"}, 1}};
    auto open = ask;
    open.name = "open";
    open.path_prefix = "/open/";
    open.is_public = true;
    open.targets = {{service_id{"shop"}, 1}};
    out.routes = {ask, open};
    return out;
}

class a_request : public testing::Test {
protected:
    [[nodiscard]] admission ask(const admission_request& in) const
    {
        return admit(start, &routes, in, 0);
    }
    route_table routes{two_routes()};
};

TEST_F(a_request, is_refused_before_the_first_configuration)
{
    const auto out = admit(start, nullptr, {.host = "h", .target = "/ask/x"}, 0);
    EXPECT_EQ(out.refusal, admission_refusal::no_configuration);
}

TEST_F(a_request, is_refused_without_a_route)
{
    EXPECT_EQ(ask({.host = "h", .target = "/nowhere/x"}).refusal, admission_refusal::no_route);
}

TEST_F(a_request, needs_a_key_that_an_account_has_unless_its_route_is_public)
{
    const admission_request unknown_caller{
        .host = "h", .target = "/ask/x", .authorization = "Bearer nobody"};
    EXPECT_EQ(ask(unknown_caller).refusal, admission_refusal::unknown_key);
    EXPECT_NE(ask(unknown_caller).route, nullptr)
        << "the log contains the route of a refused request";
    EXPECT_EQ(ask({.host = "h", .target = "/ask/x"}).refusal, admission_refusal::unknown_key);
    EXPECT_EQ(ask({.host = "h", .target = "/ask/x", .authorization = "k1"}).refusal,
              admission_refusal::unknown_key);
    EXPECT_EQ(ask({.host = "h", .target = "/open/x"}).refusal, admission_refusal::none);
    const auto known = ask({.host = "h", .target = "/ask/x", .authorization = "Bearer k1"});
    EXPECT_EQ(known.refusal, admission_refusal::none);
    EXPECT_EQ(known.account->name.str(), "till");
}

TEST_F(a_request, asks_for_a_model_only_where_its_service_has_an_engine)
{
    const admission_request engine{
        .host = "h", .target = "/ask/x?q=1", .authorization = "Bearer k1", .model = "small"};
    EXPECT_EQ(ask(engine).model, model_id{"small"});
    EXPECT_EQ(ask(engine).service, service_id{"pool"});
    EXPECT_TRUE(ask({.host = "h", .target = "/open/x", .model = "small"}).model.empty());
}

TEST_F(a_request, has_the_shorter_of_its_routes_and_its_callers_time_limit)
{
    admission_request in{.host = "h", .target = "/open/x"};
    EXPECT_EQ(ask(in).deadline, start + milliseconds{5000});
    in.caller_timeout = milliseconds{4999};
    EXPECT_EQ(ask(in).deadline, start + milliseconds{4999});
    in.caller_timeout = milliseconds{5001};
    EXPECT_EQ(ask(in).deadline, start + milliseconds{5000});
    in.caller_timeout = milliseconds{-1};
    EXPECT_EQ(ask(in).deadline, start);
}

TEST_F(a_request, is_ranked_by_its_account_before_its_route)
{
    const auto& route = routes.configuration().routes.front();
    fleet_account account;
    EXPECT_EQ(engine_priority(route, nullptr), 1);
    account.priority = 3;
    EXPECT_EQ(engine_priority(route, &account), 7);
    account.priority = 5;
    EXPECT_EQ(engine_priority(route, &account), 9) << "the lowest priority of engines";
}

} // namespace
} // namespace cedarpoint
