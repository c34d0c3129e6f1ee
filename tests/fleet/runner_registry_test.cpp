#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/target_set.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

announcement heartbeat_of(const std::string& id, const std::string& address, std::uint64_t sequence)
{
    announcement out;
    out.id = runner_id{id};
    out.address = *endpoint::parse(address);
    out.sequence = sequence;
    return out;
}

bool is_present(const runner_registry& registry, const std::string& id)
{
    const auto* record = registry.find(runner_id{id});
    return record != nullptr && registry.is_present(*record);
}

TEST(a_heartbeat, that_comes_late_is_not_taken)
{
    runner_registry registry;
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 4)));
    EXPECT_FALSE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 3)));
    EXPECT_FALSE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 4)));
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 5)));
}

TEST(an_address, goes_to_the_runner_that_began_there_last)
{
    runner_registry registry;
    registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 40));
    registry.announce(start + seconds{1}, heartbeat_of("i-2", "10.0.0.1:80", 1));
    EXPECT_FALSE(is_present(registry, "i-1"));
    EXPECT_TRUE(is_present(registry, "i-2"));
    registry.announce(start + seconds{2}, heartbeat_of("i-1", "10.0.0.1:80", 41));
    EXPECT_TRUE(is_present(registry, "i-2")) << "the old one's heartbeat was held up on its way";
}

TEST(an_address, is_not_taken_by_an_old_runner_that_a_new_leader_has_not_met)
{
    runner_registry registry;
    registry.announce(start, heartbeat_of("i-2", "10.0.0.1:80", 2));
    registry.announce(start + seconds{1}, heartbeat_of("i-1", "10.0.0.1:80", 41));
    EXPECT_TRUE(is_present(registry, "i-2"));
    EXPECT_FALSE(is_present(registry, "i-1"));
}

TEST(a_runner_from_the_log, counts_as_heard_until_it_falls_silent)
{
    runner_registry registry;
    registry.expect(start, heartbeat_of("i-1", "10.0.0.1:80", 0));
    EXPECT_TRUE(is_present(registry, "i-1"));
    EXPECT_TRUE(registry.find(runner_id{"i-1"})->assumed);
    EXPECT_TRUE(registry.announce(start, heartbeat_of("i-1", "10.0.0.1:80", 1)));
    EXPECT_FALSE(registry.find(runner_id{"i-1"})->assumed);
    EXPECT_EQ(registry.forget_silent(start + seconds{61}, seconds{60}).size(), 1U);
    EXPECT_EQ(registry.find(runner_id{"i-1"}), nullptr);
}

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
    targets.update(two_groups());
    auto lack = target_set::lack::none;
    const service_id pool{"pool"};
    targets.on_sent(start, runner_id{"i-1"});
    targets.on_byte(start, runner_id{"i-1"});
    EXPECT_EQ(targets.choose(start, pool, model_id{"m"}, {}, lack)->runner.str(), "i-2");
    wire::fleet_update told;
    auto* load = told.add_loads();
    load->set_runner("i-2");
    load->set_in_flight(5);
    targets.update_loads(told);
    EXPECT_EQ(targets.choose(start, pool, model_id{"m"}, {}, lack)->runner.str(), "i-1");
    EXPECT_EQ(targets.choose(start, pool, model_id{"m"}, {runner_id{"i-1"}}, lack), nullptr);
    EXPECT_EQ(lack, target_set::lack::full) << "two slots and a short queue are taken by others";
    EXPECT_EQ(targets.choose(start, pool, model_id{"other"}, {}, lack), nullptr);
    EXPECT_EQ(lack, target_set::lack::absent);
}

TEST(a_target, that_is_slow_or_stands_still_comes_after_the_others)
{
    target_set targets{failure_domain_id{"z"}, 1};
    const auto item = [](const std::string& id, bool doubted, std::uint32_t slowness) {
        wire::fleet_item out;
        out.mutable_runner()->set_id(id);
        out.mutable_runner()->set_service("pool");
        out.mutable_runner()->set_address("10.0.0.1:80");
        out.mutable_runner()->set_failure_domain("z");
        out.mutable_runner()->set_slots(20);
        out.mutable_runner()->set_accepting(true);
        out.mutable_runner()->set_doubted(doubted);
        out.mutable_runner()->set_slowness(slowness);
        return out;
    };
    targets.update({{"1", item("i-1", false, 4)}, {"2", item("i-2", false, 0)}});
    const auto choose = [&] {
        auto why = target_set::lack::none;
        return targets.choose(start, service_id{"pool"}, {}, {}, why)->runner.str();
    };
    for (int sent = 0; sent < 3; ++sent) {
        EXPECT_EQ(choose(), "i-2") << sent;
        targets.on_sent(start, runner_id{"i-2"});
    }
    targets.on_sent(start, runner_id{"i-2"});
    EXPECT_EQ(choose(), "i-1") << "four times slower, but the other has four already";
    targets.update({{"1", item("i-1", true, 0)}, {"2", item("i-2", false, 0)}});
    EXPECT_EQ(choose(), "i-2");
    targets.update({{"1", item("i-1", true, 0)}});
    EXPECT_EQ(choose(), "i-1") << "better than none";
}

TEST(a_target, that_failed_is_avoided_for_a_while)
{
    target_set targets{failure_domain_id{"zone"}, 1};
    targets.update(two_groups());
    auto lack = target_set::lack::none;
    targets.on_failure(start, runner_id{"i-1"});
    for (int draw = 0; draw < 20; ++draw) {
        EXPECT_EQ(targets.choose(start, service_id{"pool"}, model_id{"m"}, {}, lack)->runner.str(),
                  "i-2");
    }
}

} // namespace
} // namespace cedarpoint
