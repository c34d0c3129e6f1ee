// Choice of a target for a request.

#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/fleet/target_ranking.h"
#include "cedarpoint/fleet/target_set.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

std::map<std::string, wire::fleet_item> two_groups()
{
    std::map<std::string, wire::fleet_item> out;
    for (const std::string head : {"i-1", "i-2"}) {
        wire::fleet_item runner;
        runner.mutable_runner()->set_id(head);
        runner.mutable_runner()->set_service("pool");
        runner.mutable_runner()->set_address("10.0.0.1:80");
        runner.mutable_runner()->set_slots(2);
        runner.mutable_runner()->set_accepting(true);
        out["runner/" + head] = runner;
        wire::fleet_item group;
        group.mutable_group()->set_name("g-" + head);
        group.mutable_group()->set_model("m");
        group.mutable_group()->add_members(head);
        group.mutable_group()->set_accepting(true);
        out["group/" + head] = group;
    }
    return out;
}

TEST(a_target, is_the_one_with_the_fewest_requests_that_is_not_full)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const service_id pool{"pool"};
    targets.on_sent(start, runner_id{"i-1"});
    targets.on_byte(start, runner_id{"i-1"});
    EXPECT_EQ(targets.choose(start, pool, model_id{"m"}, {}).target->runner.str(), "i-2");
    targets.update_loads({{runner_id{"i-2"}, 5}});
    EXPECT_EQ(targets.choose(start, pool, model_id{"m"}, {}).target->runner.str(), "i-1");
    const auto full = targets.choose(start, pool, model_id{"m"}, {runner_id{"i-1"}});
    EXPECT_EQ(full.target, nullptr);
    EXPECT_EQ(full.outcome, target_choice::outcome_t::all_full)
        << "requests from other daemons fill two slots and a short queue";
    const auto none = targets.choose(start, pool, model_id{"other"}, {});
    EXPECT_EQ(none.target, nullptr);
    EXPECT_EQ(none.outcome, target_choice::outcome_t::none_available);
}

// Guards against the leader learning late that a runner is down: requests avoid a target whose path
// fails, so that its failed probes have to count like failed connections of requests.
TEST(a_target, that_probes_do_not_reach_is_reported_and_forgiven_once_one_does)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const runner_id down{"i-1"};
    targets.on_unreachable(start, down, false);
    targets.on_unreachable(start, down, false); // a probe
    EXPECT_EQ(targets.take_observations(start).at(down).failed_connects, 2U);
    EXPECT_EQ(targets.choose(start, service_id{"pool"}, model_id{"m"}, {}).target->runner.str(),
              "i-2");
    targets.on_connected(start, down);
    targets.on_sent(start, runner_id{"i-2"});
    EXPECT_EQ(targets.choose(start, service_id{"pool"}, model_id{"m"}, {}).target->runner.str(),
              "i-1");
    EXPECT_EQ(targets.take_observations(start).count(down), 0U) << "nothing to report";
}

TEST(a_target, that_is_slow_or_suspected_comes_after_the_others)
{
    target_set targets{failure_domain_id{"z"}, 1};
    const auto runner = [](const std::string& id, bool suspected, int slowness) {
        view_runner out;
        out.id = runner_id{id};
        out.service = service_id{"pool"};
        out.address = *endpoint::parse("10.0.0.1:80");
        out.failure_domain = failure_domain_id{"z"};
        out.slots = 20;
        out.suspected = suspected;
        out.slowness = slowness;
        return out;
    };
    const auto update = [&](const std::vector<view_runner>& runners) {
        view_content view;
        for (const auto& each : runners) {
            view.runners[each.id] = each;
        }
        targets.update(start, view);
    };
    update({runner("i-1", false, 4), runner("i-2", false, 0)});
    const auto choose = [&] {
        return targets.choose(start, service_id{"pool"}, {}, {}).target->runner.str();
    };
    for (int sent = 0; sent < 3; ++sent) {
        EXPECT_EQ(choose(), "i-2") << sent;
        targets.on_sent(start, runner_id{"i-2"});
    }
    targets.on_sent(start, runner_id{"i-2"});
    EXPECT_EQ(choose(), "i-1") << "four times slower, but the other target has four requests";
    update({runner("i-1", true, 0), runner("i-2", false, 0)});
    EXPECT_EQ(choose(), "i-2");
    update({runner("i-1", true, 0)});
    EXPECT_EQ(choose(), "i-1") << "a suspected target is chosen if there is no other";
}

TEST(a_target, that_failed_is_avoided_for_a_while)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    targets.on_failure(start, runner_id{"i-1"});
    for (int draw = 0; draw < 20; ++draw) {
        const auto choice = targets.choose(start, service_id{"pool"}, model_id{"m"}, {});
        EXPECT_EQ(choice.target->runner.str(), "i-2");
    }
}

// Guards against treating a pause as a mere preference for other targets: a paused target must not
// be chosen at all.
TEST(a_target, that_has_asked_for_a_pause_is_not_chosen_even_if_there_is_no_other)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const auto choose = [&](instant now) {
        return targets.choose(now, service_id{"pool"}, model_id{"m"}, {});
    };
    targets.holds().on_pause(start, runner_id{"i-1"}, {}, seconds{3});
    EXPECT_EQ(choose(start).target->runner.str(), "i-2");
    targets.holds().on_pause(start, runner_id{"i-2"}, {}, seconds{2});
    const auto none = choose(start + seconds{1});
    EXPECT_EQ(none.target, nullptr);
    EXPECT_EQ(none.outcome, target_choice::outcome_t::paused);
    EXPECT_EQ(none.pause_ends, start + seconds{2}) << "the earliest end";

    // The pause remains while the target is absent from the view and returns.
    targets.update(start + seconds{1}, {});
    targets.update(start + seconds{1}, decode(two_groups()));
    EXPECT_EQ(choose(start + milliseconds{1999}).target, nullptr);
    EXPECT_EQ(choose(start + seconds{2}).target->runner.str(), "i-2");
    EXPECT_EQ(choose(start + seconds{3}).outcome, target_choice::outcome_t::chosen);

    // Leaving targets are excluded and not reported as paused.
    targets.holds().on_leaving(start + seconds{3}, runner_id{"i-1"}, {});
    targets.holds().on_leaving(start + seconds{3}, runner_id{"i-2"}, {});
    EXPECT_EQ(choose(start + seconds{9}).outcome, target_choice::outcome_t::none_available);
}

// Guards against permits for a paused runner: they would take part of its rate from daemons that
// may send to it.
TEST(a_target, that_has_asked_for_a_pause_requests_no_permits)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const runner_id limited{"i-1"};
    targets.permits().on_answer(start, limited,
                                {rate_limit_reading::kind_t::named, request_rate{2}}, start);
    targets.holds().on_pause(start, limited, {}, seconds{3});
    (void)targets.choose(start, service_id{"pool"}, model_id{"m"}, {});
    EXPECT_EQ(targets.permits().take_observations(start).at(limited).wanted, 0U);
}

TEST(a_target, reports_its_waits_once)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const runner_id head{"i-1"};
    EXPECT_TRUE(targets.take_observations(start).empty()) << "nothing has been observed yet";
    targets.on_sent(start, head);
    targets.on_byte(start + milliseconds{10}, head);
    targets.on_wait(head, milliseconds{40});
    const auto now = start + milliseconds{350};
    const auto first = targets.take_observations(now).at(head);
    EXPECT_EQ(first.in_flight, 1);
    EXPECT_EQ(first.silence, milliseconds{340});
    EXPECT_EQ(first.since_byte, milliseconds{340});
    EXPECT_EQ(first.waits, 1U);
    EXPECT_EQ(first.waited, milliseconds{40});
    EXPECT_EQ(targets.take_observations(now).at(head).waits, 0U);
    targets.on_done(head);
    EXPECT_TRUE(targets.take_observations(now).empty());
}

class a_ranked_target : public testing::Test {
protected:
    [[nodiscard]] double cost(double draw = 0) const
    {
        return target_cost(start, target, stats, home, draw);
    }
    failure_domain_id home{"here"};
    fleet_target target = [] {
        fleet_target out;
        out.failure_domain = failure_domain_id{"here"};
        out.slots = 4;
        return out;
    }();
    target_stats stats;
};

TEST_F(a_ranked_target, costs_its_load_times_its_slowness)
{
    EXPECT_DOUBLE_EQ(cost(), 1) << "only the new request";
    stats.waiting_since = start;
    stats.in_flight = 2;
    EXPECT_DOUBLE_EQ(cost(), 3);
    target.slowness = 4;
    EXPECT_DOUBLE_EQ(cost(), 12);
    stats.in_flight_elsewhere = 3;
    EXPECT_DOUBLE_EQ(cost(), 12) << "requests from other daemons don't affect the cost";
}

TEST_F(a_ranked_target, costs_half_a_request_more_in_another_failure_domain)
{
    target.failure_domain = failure_domain_id{"there"};
    EXPECT_DOUBLE_EQ(cost(), 1.5);
    EXPECT_LT(cost(0.999), 2) << "the draw decides only between targets of about equal cost";
}

TEST_F(a_ranked_target, is_full_with_its_slots_and_three_more)
{
    stats.in_flight = 2;
    stats.in_flight_elsewhere = 4;
    EXPECT_FALSE(is_full(target, stats));
    stats.in_flight_elsewhere = 5;
    EXPECT_TRUE(is_full(target, stats));
}

TEST_F(a_ranked_target, is_avoided_while_it_stalls)
{
    stats.in_flight = 1;
    stats.waiting_since = start - milliseconds{250};
    EXPECT_EQ(avoidance_cost(start, target, stats), 0);
    stats.waiting_since = start - milliseconds{251};
    EXPECT_GT(avoidance_cost(start, target, stats), 100);
    stats.in_flight = 0;
    EXPECT_EQ(avoidance_cost(start, target, stats), 0) << "no request is waiting";
}

TEST_F(a_ranked_target, is_avoided_while_it_backs_off)
{
    stats.backoff_until = start + duration{1};
    EXPECT_GT(avoidance_cost(start, target, stats), 100);
    stats.backoff_until = start;
    EXPECT_EQ(avoidance_cost(start, target, stats), 0);
}

TEST(a_backoff, doubles_with_each_failure_up_to_a_bound)
{
    EXPECT_EQ(backoff_after(1), milliseconds{300});
    EXPECT_EQ(backoff_after(2), milliseconds{600});
    EXPECT_EQ(backoff_after(5), milliseconds{4800});
    EXPECT_EQ(backoff_after(6), milliseconds{4800});
}

TEST(a_target, that_has_named_a_rate_limit_is_chosen_with_a_permit_only)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(start, decode(two_groups()));
    const service_id pool{"pool"};
    const model_id model{"m"};
    const runner_id limited{"i-1"};
    rate_limit_reading named;
    named.kind = rate_limit_reading::kind_t::named;
    named.rate = {2};
    ASSERT_TRUE(targets.permits().on_answer(start, limited, named, start));
    EXPECT_EQ(targets.choose(start, pool, model, {}).target->runner.str(), "i-2");
    const auto none = targets.choose(start, pool, model, {runner_id{"i-2"}});
    EXPECT_EQ(none.target, nullptr);
    EXPECT_EQ(none.outcome, target_choice::outcome_t::rate_limited);

    targets.permits().on_grants(start, {{limited, {{2}, 1}}});
    EXPECT_EQ(targets.choose(start, pool, model, {runner_id{"i-2"}}).target->runner, limited);
    targets.on_sent(start, limited);
    EXPECT_EQ(targets.choose(start, pool, model, {runner_id{"i-2"}}).target, nullptr)
        << "the permit is used up";
}

} // namespace
} // namespace cedarpoint
