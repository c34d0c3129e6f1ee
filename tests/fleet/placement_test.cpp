// Which groups are formed of which runners, and which weights are staged, on plain snapshots.

#include "cedarpoint/fleet/group_placement.h"
#include "cedarpoint/fleet/group_targets.h"
#include "cedarpoint/fleet/weight_staging.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <deque>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
const model_id large{"large"};
const model_id small{"small"};

fleet_configuration one_service()
{
    engine_model first;
    first.name = large;
    first.group_size = 4;
    first.share = 0.5;
    first.load_time = seconds{16};
    first.warm_time = milliseconds{1600};
    auto second = first;
    second.name = small;
    second.group_size = 3;
    second.load_time = seconds{12};
    second.warm_time = milliseconds{1100};
    fleet_service pool;
    pool.name = service_id{"pool"};
    pool.engine = engine_spec{};
    pool.engine->slots = 10;
    pool.engine->models = {first, second};
    fleet_configuration out;
    out.services = {pool};
    return out;
}

class a_fleet_of_runners : public testing::Test {
protected:
    a_fleet_of_runners()
    {
        limiter.set_limits(100, 100);
        in.configuration = &configuration;
        in.has_traffic = true;
    }
    /// Free runners of one fabric domain, all with the same weights on their hosts.
    void add(const std::string& domain, int count, const std::vector<model_id>& staged)
    {
        for (int made = 0; made < count; ++made) {
            announcement next;
            next.id = runner_id{fmt::format("{}-{}", domain, made)};
            next.service = service_id{"pool"};
            next.failure_domain = failure_domain_id{"z"};
            next.fabric_domain = fabric_domain_id{domain};
            next.staged = staged;
            announced.push_back(next);
        }
    }
    /// What placement is given, once all runners were added.
    const placement_snapshot& snapshot()
    {
        std::vector<runner_place> places;
        for (const auto& each : announced) {
            in.runners.push_back({&each, true, true, false, nullptr});
            places.push_back({each.service, each.failure_domain, each.fabric_domain});
        }
        for (const auto& each : in.runners) {
            in.free[each.latest->fabric_domain].push_back(&each);
        }
        in.preferred = preferred_models::assign(configuration, places);
        for (const auto& model : pool().engine->models) {
            in.loads[{pool().name, model.name}];
            in.base_groups[{pool().name, model.name}] = base_groups(in, pool(), model);
        }
        return in;
    }
    [[nodiscard]] const fleet_service& pool() const { return configuration.services.front(); }
    [[nodiscard]] const engine_model& model(const model_id& name) const
    {
        return *configuration.find_model(pool().name, name);
    }
    [[nodiscard]] std::optional<proposed_group> propose() const
    {
        return group_placement::propose(start, in, limiter);
    }
    fleet_configuration configuration = one_service();
    std::deque<announcement> announced; ///< the snapshot points into it
    placement_snapshot in;
    load_limiter limiter;
};

TEST_F(a_fleet_of_runners, gives_each_domain_a_model_of_its_own_where_there_are_enough)
{
    add("a", 9, {});
    EXPECT_TRUE(snapshot().preferred.empty()) << "two models share one domain";
    add("b", 9, {});
    in = {};
    in.configuration = &configuration;
    const auto& preferred = snapshot().preferred;
    EXPECT_TRUE(preferred.allows(fabric_domain_id{"a"}, large)) << "it needs more runners";
    EXPECT_FALSE(preferred.allows(fabric_domain_id{"a"}, small));
    EXPECT_TRUE(preferred.allows(fabric_domain_id{"b"}, small));
}

TEST_F(a_fleet_of_runners, wants_every_group_that_fits_into_a_models_domains)
{
    add("a", 9, {});
    add("b", 11, {});
    snapshot();
    EXPECT_EQ(wanted_groups(in, pool(), model(large)), 2U);
    EXPECT_EQ(wanted_groups(in, pool(), model(small)), 3U);
}

TEST_F(a_fleet_of_runners, keeps_spares_where_models_share_a_domain)
{
    add("a", 26, {});
    snapshot();
    EXPECT_EQ(wanted_groups(in, pool(), model(large)), 3U) << "four fifths of 26, by 7";
    EXPECT_EQ(wanted_groups(in, pool(), model(small)), 3U);
}

TEST_F(a_fleet_of_runners, wants_one_group_more_once_those_there_are_half_full)
{
    add("a", 9, {});
    snapshot();
    auto& load = in.loads[{pool().name, large}];
    load.slots = 10;
    load.in_flight = 5;
    in.groups[large] = 1;
    EXPECT_EQ(wanted_groups(in, pool(), model(large)), 1U);
    load.rejections_per_s = 0.1;
    EXPECT_EQ(wanted_groups(in, pool(), model(large)), 2U);
    in.groups[large] = 0;
    EXPECT_EQ(wanted_groups(in, pool(), model(large)), 1U) << "those that are missing come first";
}

TEST_F(a_fleet_of_runners, forms_a_group_of_the_runners_that_join_soonest)
{
    add("a", 3, {small});
    announced[0].id = runner_id{"z"};
    snapshot();
    in.runners[0].last_model = &small;
    const auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->model->name, small);
    EXPECT_EQ(next->members.front(), runner_id{"z"}) << "its weights are loaded: it joins at once";
    EXPECT_EQ(next->loads, 0U);
}

TEST_F(a_fleet_of_runners, waits_for_no_weights_once_there_is_traffic)
{
    add("a", 4, {});
    snapshot();
    EXPECT_FALSE(propose());
    in.has_traffic = false;
    const auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_GT(next->loads, 0U);
    limiter.set_limits(0.1, 100);
    EXPECT_FALSE(propose()) << "the store's rate does not allow them";
}

TEST_F(a_fleet_of_runners, serves_the_model_first_that_is_shortest_of_room)
{
    add("a", 8, {large, small});
    snapshot();
    EXPECT_EQ(propose()->model->name, small) << "it joins sooner";
    auto& load = in.loads[{pool().name, large}];
    load.slots = 10;
    load.in_flight = 1;
    EXPECT_EQ(propose()->model->name, large);
}

TEST_F(a_fleet_of_runners, stages_what_a_missing_group_lacks_and_not_more)
{
    add("a", 3, {large});
    announced.push_back(announced.front());
    announced.back().id = runner_id{"empty"};
    announced.back().staged.clear();
    snapshot();
    weight_staging staging;
    const auto orders = staging.plan(start, in, limiter);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.front().runner, runner_id{"empty"});
    EXPECT_EQ(orders.front().model, large) << "three of four have it";
    EXPECT_TRUE(staging.is_under_way(runner_id{"empty"}));
    const auto again = staging.plan(start, in, limiter);
    for (const auto& order : again) {
        EXPECT_NE(order.runner, runner_id{"empty"});
    }
}

TEST_F(a_fleet_of_runners, takes_weights_for_lost_after_twice_their_time)
{
    add("a", 4, {});
    snapshot();
    runner_registry registry;
    for (auto each : announced) {
        each.address = *endpoint::parse("10.0.0.1:80");
        registry.announce(start, each);
    }
    weight_staging staging;
    ASSERT_FALSE(staging.plan(start, in, limiter).empty());
    const auto under_way = staging.count();
    staging.forget_finished(start + seconds{32} - milliseconds{1}, registry);
    EXPECT_EQ(staging.count(), under_way);
    staging.forget_finished(start + seconds{32}, registry);
    EXPECT_EQ(staging.count(), 0U);
}

} // namespace
} // namespace cedarpoint
