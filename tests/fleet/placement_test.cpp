// Which groups placement forms of which runners, and which weights are staged, on snapshots.

#include "cedarpoint/fleet/group_placement.h"
#include "cedarpoint/fleet/group_targets.h"
#include "cedarpoint/fleet/weight_staging.h"
#include "fleet/snapshot_maker.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::large;
using testing_support::small;
using testing_support::snapshot_maker;

constexpr instant start{seconds{100}};

class a_fleet_of_runners : public testing::Test {
protected:
    a_fleet_of_runners() { limiter.set_limits(100, 100); }

    [[nodiscard]] std::optional<proposed_group> propose()
    {
        return group_placement::propose(start, maker.snapshot(), limiter);
    }
    /// Forms groups until none is proposed, and returns the number of groups by fabric domain and
    /// model.
    std::map<std::pair<fabric_domain_id, model_id>, std::size_t> form_all()
    {
        while (const auto next = propose()) {
            maker.form(*next);
        }
        return maker.snapshot().groups_by_domain;
    }
    [[nodiscard]] static std::size_t
    count(const std::map<std::pair<fabric_domain_id, model_id>, std::size_t>& in,
          const model_id& model)
    {
        std::size_t out = 0;
        for (const auto& [key, groups] : in) {
            out += key.second == model ? groups : 0;
        }
        return out;
    }
    /// The `count` runners from `first` on have loaded the model.
    void set_loaded(std::size_t first, std::size_t count, const model_id& model)
    {
        for (auto n = first; n < first + count; ++n) {
            maker.set_loaded(n, model);
        }
    }
    /// Adds a serving group of each model in another domain, so that the load of both can be
    /// measured.
    void add_serving_groups()
    {
        maker.count_group(fabric_domain_id{"other"}, large, 1);
        maker.count_group(fabric_domain_id{"other"}, small, 1);
    }
    [[nodiscard]] std::vector<staging_order> stage()
    {
        return staging.plan(start, maker.snapshot(), limiter);
    }

    snapshot_maker maker;
    weight_load_limiter limiter;
    weight_staging staging;
};

TEST_F(a_fleet_of_runners, gives_each_model_its_share_before_requests_come)
{
    maker.has_traffic = false;
    maker.add("a", 8, {});
    maker.add("b", 8, {});
    EXPECT_EQ(base_groups(maker.snapshot(), maker.pool(), maker.model(large)), 2U);
    EXPECT_EQ(base_groups(maker.snapshot(), maker.pool(), maker.model(small)), 3U)
        << "8 of 16 runners, in groups of 3, rounded";
}

TEST_F(a_fleet_of_runners, gives_each_failure_domain_every_model)
{
    maker.has_traffic = false;
    maker.set_sizes(4, 2);
    for (const auto* domain : {"a0", "a1", "b0", "b1", "c0", "c1"}) {
        maker.add(domain, 8, {});
    }
    const auto formed = form_all();
    EXPECT_EQ(maker.count_free(), 0U);
    const auto by_failure_domain = maker.snapshot().groups_by_failure_domain;
    for (const auto* domain : {"a", "b", "c"}) {
        EXPECT_TRUE(by_failure_domain.contains({failure_domain_id{domain}, large})) << domain;
        EXPECT_TRUE(by_failure_domain.contains({failure_domain_id{domain}, small})) << domain;
    }
    EXPECT_GE(count(formed, large), 6U);
    EXPECT_GE(count(formed, small), 8U);
}

TEST_F(a_fleet_of_runners, keeps_a_fabric_domain_to_one_model_as_far_as_that_goes)
{
    maker.has_traffic = false;
    maker.add("a0", 9, {});
    maker.add("a1", 9, {});
    const auto formed = form_all();
    EXPECT_EQ(formed.size(), 2U) << "one model in each fabric domain";
    EXPECT_EQ(maker.count_free(), 1U)
        << "two groups of four in one domain of nine, three of three in the other";
    EXPECT_EQ(count(formed, large), 2U);
    EXPECT_EQ(count(formed, small), 3U);
}

TEST_F(a_fleet_of_runners, forms_a_group_of_the_runners_that_join_soonest)
{
    add_serving_groups();
    maker.add("a", 3, {small});
    maker.runner(0).id = runner_id{"z"};
    maker.set_work(small, 5);
    maker.set_loaded(0, small);
    const auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->model->name, small);
    EXPECT_EQ(next->members.front(), runner_id{"z"}) << "its weights are loaded: it joins at once";
    EXPECT_EQ(next->loads, 0U);
}

TEST_F(a_fleet_of_runners, waits_for_no_weights_once_there_is_traffic)
{
    add_serving_groups();
    maker.add("a", 4, {});
    maker.set_work(large, 5);
    EXPECT_FALSE(propose());
    maker.has_traffic = false;
    const auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_GT(next->loads, 0U);
    limiter.set_limits(0.1, 100);
    EXPECT_FALSE(propose()) << "the store's rate does not allow them";
}

TEST_F(a_fleet_of_runners, serves_the_model_first_that_is_shortest_of_room)
{
    add_serving_groups();
    maker.add("a", 8, {large, small});
    maker.set_work(small, 5);
    maker.set_work(large, 4);
    EXPECT_EQ(propose()->model->name, small);
    maker.set_work(large, 6);
    EXPECT_EQ(propose()->model->name, large);
    maker.expect_groups(large, 1);
    EXPECT_EQ(propose()->model->name, small) << "a conversion will form a group of the large model";
}

TEST_F(a_fleet_of_runners, lets_runners_change_their_model_only_for_one_much_shorter_of_room)
{
    add_serving_groups();
    maker.add("a", 3, {small});
    set_loaded(0, 3, large);
    maker.set_work(small, 3.9);
    EXPECT_FALSE(propose()) << "0.39 of its slots";
    maker.set_work(small, 4);
    EXPECT_TRUE(propose());
    maker.set_work(large, 2.1);
    EXPECT_FALSE(propose()) << "the model that they hold uses 0.21 of its slots";
    maker.set_work(large, 2);
    EXPECT_TRUE(propose()) << "0.2 of its slots";
    maker.set_work(small, 0);
    set_loaded(0, 3, small);
    EXPECT_TRUE(propose()) << "no runner loses loaded weights";
}

// Guards against runners that stay idle for the weights that they have loaded while requests are
// refused.
TEST_F(a_fleet_of_runners, uses_idle_runners_of_another_model_once_a_model_is_crowded)
{
    add_serving_groups();
    maker.add("a", 3, {small});
    set_loaded(0, 3, large);
    maker.set_work(large, 6);
    maker.set_work(small, 6.9);
    EXPECT_FALSE(propose()) << "0.69 of its slots";
    maker.set_work(small, 7);
    EXPECT_TRUE(propose());
    maker.set_work(large, 7.1);
    EXPECT_FALSE(propose()) << "the model that they hold is shorter of room";
}

TEST_F(a_fleet_of_runners, forms_the_groups_that_lose_no_weights_before_idle_runners_switch)
{
    add_serving_groups();
    maker.add("a", 7, {small});
    set_loaded(0, 7, large);
    maker.set_work(large, 8);
    maker.set_work(small, 9);
    auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->model->name, large);
    maker.form(*next);
    next = propose();
    ASSERT_TRUE(next) << "three runners are left";
    EXPECT_EQ(next->model->name, small);
}

TEST_F(a_fleet_of_runners, tells_runners_that_could_serve_from_those_that_lack_weights)
{
    add_serving_groups();
    maker.add("a", 3, {small});
    maker.add("b", 2, {small});
    maker.add("c", 4, {});
    set_loaded(0, 3, large);
    maker.set_work(small, 3.9);
    ASSERT_FALSE(propose());
    EXPECT_EQ(group_placement::count_withheld(maker.snapshot()), 3U)
        << "two runners are too few, four have no weights";
}

TEST_F(a_fleet_of_runners, takes_runners_that_have_loaded_nothing_before_those_that_change)
{
    add_serving_groups();
    maker.add("a", 4, {small});
    maker.set_loaded(0, large);
    maker.set_work(small, 5);
    const auto next = propose();
    ASSERT_TRUE(next);
    EXPECT_EQ(std::count(next->members.begin(), next->members.end(), maker.runner(0).id), 0);
}

TEST_F(a_fleet_of_runners, leaves_runners_to_the_model_that_a_conversion_keeps_them_for)
{
    add_serving_groups();
    maker.add("a", 4, {large, small});
    maker.set_work(small, 9);
    ASSERT_EQ(propose()->model->name, small);
    for (std::size_t n = 0; n < 4; ++n) {
        maker.reserve_for(n, large);
        maker.set_loaded(n, small);
    }
    EXPECT_EQ(propose()->model->name, large) << "the conversion has decided that they change";
}

TEST_F(a_fleet_of_runners, takes_a_model_without_a_group_for_short_of_room)
{
    maker.add("a", 7, {large, small});
    maker.set_work(small, 50);
    maker.count_group(fabric_domain_id{"other"}, small, 1);
    EXPECT_EQ(propose()->model->name, small) << "load of 5 times its slots";
    maker.set_work(small, 30);
    EXPECT_EQ(propose()->model->name, large) << "its load is not known";
}

TEST_F(a_fleet_of_runners, forms_a_group_of_loaded_runners_while_other_weights_are_copied)
{
    add_serving_groups();
    maker.add("a", 3, {});
    maker.set_work(small, 5);
    for (std::size_t n = 0; n < 3; ++n) {
        maker.set_staging(n);
    }
    EXPECT_FALSE(propose());
    set_loaded(0, 3, small);
    EXPECT_TRUE(propose());
}

TEST_F(a_fleet_of_runners, stages_what_the_next_group_lacks_and_not_more)
{
    add_serving_groups();
    maker.add("a", 3, {large});
    maker.add("a", 1, {});
    maker.set_work(large, 5);
    const auto orders = stage();
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders.front().runner, maker.runner(3).id);
    EXPECT_EQ(orders.front().model, large) << "three of four runners have its weights";
    EXPECT_TRUE(staging.is_under_way(maker.runner(3).id));
    for (const auto& order : stage()) {
        EXPECT_NE(order.runner, maker.runner(3).id);
    }
}

// Guards against runners that are kept for a group that placement declines, and so complete no
// group of the model that they have loaded.
TEST_F(a_fleet_of_runners, keeps_no_runners_for_a_group_that_placement_will_decline)
{
    add_serving_groups();
    maker.set_work(small, 6);
    for (const std::size_t first : {0U, 3U}) {
        const std::string domain = first == 0 ? "a" : "b";
        maker.add(domain, 2, {small});
        maker.add(domain, 1, {});
        set_loaded(first, 3, large);
    }
    ASSERT_EQ(stage().size(), 2U) << "the small model, on the third runner of each domain";
    maker.add("a", 1, {small});
    maker.add("b", 1, {small});
    maker.set_work(large, 9);
    const auto orders = stage();
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(orders[0].runner, maker.runner(6).id);
    EXPECT_EQ(orders[1].runner, maker.runner(7).id);
    EXPECT_EQ(orders[0].model, large);
    EXPECT_EQ(orders[1].model, large);
}

TEST_F(a_fleet_of_runners, stages_first_where_the_fewest_weights_are_missing)
{
    add_serving_groups();
    limiter.set_limits(100, 1); // one load at a time
    maker.add("a", 4, {small});
    maker.add("b", 3, {large});
    maker.add("b", 1, {small});
    maker.set_work(large, 5);
    const auto orders = stage();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().runner, maker.runner(7).id);
}

TEST_F(a_fleet_of_runners, stages_a_second_model_for_runners_that_serve_before_requests_come)
{
    maker.has_traffic = false;
    limiter.set_unmetered(true);
    maker.add("a", 4, {large});
    maker.set_serving({0, 1, 2, 3}, large);
    const auto orders = stage();
    ASSERT_EQ(orders.size(), 4U);
    for (const auto& order : orders) {
        EXPECT_EQ(order.model, small);
    }
}

TEST_F(a_fleet_of_runners, stages_a_second_model_later_only_while_the_store_does_nothing_else)
{
    add_serving_groups();
    maker.add("a", 4, {large});
    maker.set_serving({0, 1, 2, 3}, large);
    EXPECT_EQ(stage().size(), 1U);
    EXPECT_TRUE(stage().empty());
}

TEST_F(a_fleet_of_runners, keeps_a_domain_to_the_model_that_its_runners_hold)
{
    add_serving_groups();
    limiter.set_limits(100, 1); // one load at a time
    maker.add("a", 8, {large});
    maker.set_serving({0, 1, 2, 3}, large);
    maker.set_serving({4, 5, 6, 7}, large);
    maker.add("a", 1, {});
    maker.set_work(small, 9);
    maker.set_work(large, 16);
    const auto orders = stage();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().runner, maker.runner(8).id);
    EXPECT_EQ(orders.front().model, large)
        << "if a group loses a member, the others and this runner form one";
}

TEST_F(a_fleet_of_runners, prepares_runners_that_serve_for_a_model_much_shorter_of_room)
{
    add_serving_groups();
    maker.add("a", 4, {});
    maker.set_serving({0, 1, 2}, small);
    maker.set_loaded(3, large);
    maker.set_work(large, 9);
    maker.set_work(small, 2);
    const auto orders = stage();
    ASSERT_EQ(orders.size(), 3U);
    for (const auto& order : orders) {
        EXPECT_EQ(order.model, large);
    }
}

TEST_F(a_fleet_of_runners, repeats_an_order_to_stage_until_it_is_answered)
{
    add_serving_groups();
    maker.add("a", 4, {});
    maker.set_work(large, 5);
    const auto first = stage();
    ASSERT_EQ(first.size(), 4U);
    staging.on_order_result(start, first[0].runner, large, order_result::unknown);
    staging.on_order_result(start, first[1].runner, large, order_result::taken);
    const auto plan_after = [&](duration passed) {
        return staging.plan(start + passed, maker.snapshot(), limiter);
    };
    EXPECT_TRUE(plan_after(milliseconds{900}).empty());
    const auto repeated = plan_after(seconds{1});
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated.front().runner, first[0].runner);
    EXPECT_TRUE(plan_after(seconds{3}).empty()) << "its answer is under way";
}

TEST_F(a_fleet_of_runners, forgets_a_runner_that_never_answers_an_order_to_stage)
{
    add_serving_groups();
    maker.add("a", 4, {});
    maker.set_work(large, 5);
    runner_registry registry;
    for (std::size_t n = 0; n < 4; ++n) {
        auto each = maker.runner(n);
        each.address = *endpoint::parse(fmt::format("10.0.0.{}:80", n + 1));
        registry.announce(start, each);
    }
    const auto first = stage();
    ASSERT_EQ(first.size(), 4U);
    for (std::size_t n = 1; n < 4; ++n) {
        staging.on_order_result(start, first[n].runner, large, order_result::taken);
    }
    staging.remove_finished(start + seconds{6} - milliseconds{1}, registry);
    EXPECT_EQ(staging.count(), 4U);
    staging.remove_finished(start + seconds{6}, registry);
    EXPECT_EQ(staging.count(), 3U) << "it no longer counts against the store's limit";
}

TEST_F(a_fleet_of_runners, keeps_the_second_model_of_a_runner_that_serves)
{
    add_serving_groups();
    maker.add("a", 4, {small});
    maker.set_serving({0, 1, 2, 3}, large);
    EXPECT_TRUE(stage().empty());
}

TEST_F(a_fleet_of_runners, has_nothing_to_do_for_a_service_without_models)
{
    maker.add("a", 4, {});
    maker.remove_models();
    EXPECT_FALSE(propose());
    EXPECT_TRUE(stage().empty());
}

TEST_F(a_fleet_of_runners, takes_weights_for_lost_after_twice_their_time)
{
    add_serving_groups();
    maker.add("a", 4, {});
    maker.set_work(large, 5);
    runner_registry registry;
    for (std::size_t n = 0; n < 4; ++n) {
        auto each = maker.runner(n);
        each.address = *endpoint::parse("10.0.0.1:80");
        registry.announce(start, each);
    }
    const auto orders = stage();
    ASSERT_FALSE(orders.empty());
    for (const auto& order : orders) {
        staging.on_order_result(start, order.runner, order.model, order_result::taken);
    }
    const auto under_way = staging.count();
    staging.remove_finished(start + seconds{32} - milliseconds{1}, registry);
    EXPECT_EQ(staging.count(), under_way);
    staging.remove_finished(start + seconds{32}, registry);
    EXPECT_EQ(staging.count(), 0U);
}

} // namespace
} // namespace cedarpoint
