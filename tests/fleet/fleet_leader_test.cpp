// Updates from the leading control daemon to its followers, without sockets.

#include "cedarpoint/core/packing.h"
#include "cedarpoint/fleet/fleet_leader.h"
#include "cedarpoint/fleet/fleet_messages.h"
#include "entry/fleet_follower.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

std::string document(int version, int routes)
{
    std::string out =
        fmt::format(R"({{"version":{},"services":[{{"name":"shop"}}],"routes":[)", version);
    for (int number = 0; number < routes; ++number) {
        out += fmt::format(R"({}{{"name":"r-{}","host":"h.example","pathPrefix":"/p{}/",)"
                           R"("kind":"safe","timeoutMs":2000,"service":"shop"}})",
                           number == 0 ? "" : ",", number, number);
    }
    return out + "]}";
}

TEST(a_document, is_the_same_after_it_was_packed)
{
    const auto text = document(1, 500);
    const auto packed = pack(text);
    EXPECT_LT(packed.size(), text.size() / 5);
    EXPECT_EQ(unpack(packed, text.size()), text);
    EXPECT_EQ(unpack(pack(""), 0), "");
    EXPECT_FALSE(unpack(packed, text.size() - 1)) << "larger than allowed";
    EXPECT_FALSE(unpack(packed.substr(0, packed.size() / 2), text.size())) << "truncated";
    EXPECT_FALSE(unpack("no gzip", 100));
}

class a_leader_with_a_large_configuration : public testing::Test {
protected:
    a_leader_with_a_large_configuration()
    {
        state.apply(fleet_state::put_configuration(1, document(1, 900)));
        leader.begin_term(start, 1);
        leader.refresh_view(start);
    }
    wire::fleet_update receive_report(duration after, std::uint64_t version, bool behind = false)
    {
        wire::fleet_follow report;
        report.set_term(version == 0 ? 0 : 1);
        report.set_version(version);
        report.set_behind(behind);
        return leader.on_follow(start + after, daemon_id{"entry"}, report);
    }
    fleet_state state;
    fleet_leader leader{{}, installed_platform(), state};
};

TEST_F(a_leader_with_a_large_configuration, sends_it_once_while_it_is_under_way)
{
    ASSERT_EQ(receive_report(milliseconds{0}, 0).items_size(), 1);
    EXPECT_EQ(receive_report(milliseconds{200}, 0).items_size(), 0);
    EXPECT_EQ(receive_report(milliseconds{400}, 0).items_size(), 0);
    EXPECT_EQ(receive_report(milliseconds{1100}, 0).items_size(), 1)
        << "after 1 s the update counts as lost";
}

TEST_F(a_leader_with_a_large_configuration, sends_it_again_to_one_that_misses_it)
{
    ASSERT_EQ(receive_report(milliseconds{0}, 0, true).items_size(), 1);
    EXPECT_EQ(receive_report(milliseconds{100}, 0, true).items_size(), 0);
    EXPECT_EQ(receive_report(milliseconds{500}, 0, true).items_size(), 1);
}

TEST_F(a_leader_with_a_large_configuration, tells_changes_behind_what_is_under_way)
{
    const auto first = receive_report(milliseconds{0}, 0);
    state.apply(fleet_state::put_configuration(2, document(2, 901)));
    leader.refresh_view(start + milliseconds{50});
    const auto pushed = leader.pending_updates(start + milliseconds{50});
    ASSERT_EQ(pushed.size(), 1U);
    view_copy copy;
    EXPECT_EQ(copy.take(first), view_copy::outcome::applied);
    EXPECT_EQ(copy.take(pushed.front().second), view_copy::outcome::applied);
    EXPECT_EQ(copy.configuration()->revision(), 2U);
    EXPECT_EQ(read_document(*copy.configuration()), document(2, 901));
}

TEST_F(a_leader_with_a_large_configuration,
       brings_one_up_to_date_that_lost_updates_while_changes_go_on)
{
    view_copy copy;
    ASSERT_EQ(copy.take(receive_report(milliseconds{0}, 0)), view_copy::outcome::applied);
    const auto held_version = copy.version();
    ASSERT_EQ(receive_report(milliseconds{200}, held_version).items_size(), 0)
        << "it is up to date";
    bool up_to_date = false;
    for (int round = 1; round <= 30 && !up_to_date; ++round) {
        // A change every 50 ms. The first pushed update is lost, so each later one shows a gap.
        const auto now = start + milliseconds{200} + milliseconds{50} * round;
        const auto version = static_cast<std::uint64_t>(round) + 1;
        state.apply(fleet_state::put_configuration(version, document(2, 10)));
        leader.refresh_view(now);
        const auto pushed = leader.pending_updates(now);
        if (round > 1) {
            ASSERT_EQ(copy.take(pushed.front().second), view_copy::outcome::gap);
        }
        if (round % 4 == 0) {
            const auto answer = receive_report(now - start, copy.version(), true);
            up_to_date = copy.take(answer) == view_copy::outcome::applied;
        }
    }
    EXPECT_TRUE(up_to_date);
}

TEST_F(a_leader_with_a_large_configuration, counts_followers_only_once_it_has_heard_them)
{
    EXPECT_EQ(receive_report(milliseconds{0}, 0).followers(), 0U);
    EXPECT_EQ(receive_report(seconds{3}, 1).followers(), 1U);
}

/// A follower whose reports are dropped instead of sent.
class a_follower_without_a_leader : public testing::Test {
protected:
    static fleet_settings settings()
    {
        fleet_settings out;
        out.seeds = {{"10.0.0.1", 80}};
        return out;
    }
    /// Returns what a control daemon of an earlier version offers while it knows no leader.
    static wire::fleet_update provisional(std::uint64_t version, std::uint64_t index)
    {
        wire::fleet_update out;
        out.set_provisional(true);
        out.set_reset(true);
        out.set_to(index);
        auto& item = *out.add_items();
        item.set_key(configuration_key());
        item.mutable_configuration()->set_revision(version);
        return out;
    }
    void receive_update(const wire::fleet_update& update)
    {
        wire::envelope in;
        in.set_from("10.0.0.1:7000");
        *in.mutable_update() = update;
        follower.receive(start, in);
    }
    /// Returns the report that the follower sends at `at`.
    wire::fleet_follow report(instant at)
    {
        follower.tick(at);
        return sent.follow();
    }
    int views = 0;
    wire::envelope sent; ///< the latest report
    std::set<daemon_id> asked;
    std::vector<daemon_id> present_seeds;
    fleet_follower follower{
        settings(),
        {[this](const daemon_id& to, const wire::envelope& out) {
             sent = out;
             asked.insert(to);
         },
         [] { return health_report{}; }, [this](view_copy::outcome) { ++views; },
         [](const wire::fleet_update&) {}, [](const daemon_id&, bool) {},
         [this] { return present_seeds; }, [](duration, const std::set<daemon_id>&) {}}};
};

// Guards against an entry daemon that asks only control daemons that are gone.
TEST_F(a_follower_without_a_leader, asks_the_daemons_at_the_present_seeds)
{
    const daemon_id later{"10.0.0.7:7000"};
    report(start);
    const auto known = asked;
    EXPECT_FALSE(known.empty());
    present_seeds = {later};
    report(start + seconds{2});
    EXPECT_TRUE(asked.contains(later));

    asked.clear();
    present_seeds.clear();
    report(start + seconds{4});
    EXPECT_EQ(asked, (std::set<daemon_id>{later})) << "an unreadable file changes nothing";
}

// Guards against an entry daemon that serves by an older configuration than the acknowledged one,
// which a control daemon has offered that knows no leader.
TEST_F(a_follower_without_a_leader, takes_no_view_from_a_control_daemon_that_does_not_lead)
{
    receive_update(provisional(5, 40));
    EXPECT_EQ(views, 0);
    EXPECT_EQ(follower.view().configuration(), nullptr);
    wire::fleet_update from_leader;
    from_leader.set_term(2);
    from_leader.set_leading(true);
    from_leader.set_reset(true);
    from_leader.set_to(1);
    auto& item = *from_leader.add_items();
    item.set_key(configuration_key());
    item.mutable_configuration()->set_revision(6);
    receive_update(from_leader);
    EXPECT_EQ(views, 1);
    EXPECT_EQ(follower.view().configuration()->revision(), 6U);
    receive_update(provisional(9, 90));
    EXPECT_EQ(follower.view().configuration()->revision(), 6U);
    EXPECT_EQ(follower.view().term(), 2U);
}

// Guards against a follower that waits for ever for updates that it can read: a delta may repeat
// the removal of what made an earlier one unreadable, a whole view does not.
TEST_F(a_follower_without_a_leader, asks_for_the_whole_view_after_a_message_that_it_cannot_read)
{
    wire::fleet_update update;
    update.set_term(2);
    update.set_leading(true);
    update.set_reset(true);
    update.set_to(4);
    receive_update(update);
    EXPECT_EQ(report(start + seconds{1}).version(), 4U);
    EXPECT_FALSE(report(start + seconds{1}).behind());

    follower.on_unreadable_message();
    EXPECT_EQ(report(start + seconds{2}).version(), 0U);
    EXPECT_TRUE(report(start + seconds{2}).behind());

    update.set_to(5);
    receive_update(update);
    EXPECT_EQ(report(start + seconds{3}).version(), 5U);
    EXPECT_FALSE(report(start + seconds{3}).behind());
}

announcement heartbeat_of(const std::string& id, const std::string& service, std::uint64_t sequence)
{
    announcement out;
    out.id = runner_id{id};
    out.service = service_id{service};
    out.address = endpoint{"10.0.0.1", 80};
    out.sequence = sequence;
    return out;
}

// Guards against a heartbeat with the address of a runner in use taking over that address although
// no configuration has the service that it names. The runner in use would then no longer count as
// present.
TEST_F(a_leader_with_a_large_configuration, keeps_a_runner_whose_address_a_service_of_nobody_names)
{
    ASSERT_TRUE(leader.announce(start, heartbeat_of("i-1", "shop", 40)));
    EXPECT_FALSE(leader.announce(start + seconds{1}, heartbeat_of("x", "nobody", 1)));
    const auto* in_use = leader.registry().find(runner_id{"i-1"});
    ASSERT_NE(in_use, nullptr);
    EXPECT_TRUE(leader.registry().is_present(*in_use));
    EXPECT_TRUE(leader.announce(start + seconds{2}, heartbeat_of("i-2", "shop", 1)))
        << "a runner of a configured service may take over the address";
}

// Guards against plain runners that leave the view, and so get no requests, because the leader
// alone doesn't hear them.
TEST_F(a_leader_with_a_large_configuration, keeps_a_runner_that_only_entry_daemons_hear)
{
    const auto is_listed = [&](instant now) {
        leader.refresh_view(now);
        const auto update = receive_report(now - start, 0);
        return std::any_of(update.items().begin(), update.items().end(),
                           [](const auto& item) { return item.runner().id() == "i-1"; });
    };
    const auto report_byte = [&](instant now, std::uint32_t age_ms) {
        wire::fleet_follow report;
        auto* seen = report.add_sightings();
        seen->set_runner("i-1");
        seen->set_in_flight(1);
        seen->set_byte_ms(age_ms);
        (void)leader.on_follow(now, daemon_id{"other entry"}, report);
    };
    ASSERT_TRUE(leader.announce(start, heartbeat_of("i-1", "shop", 1)));
    EXPECT_TRUE(is_listed(start + seconds{3}));
    report_byte(start + seconds{4}, 1000);
    EXPECT_TRUE(is_listed(start + seconds{6})) << "its latest byte came after 3 s";
    EXPECT_FALSE(is_listed(start + seconds{7}));
    report_byte(start + seconds{7}, 4000);
    EXPECT_FALSE(is_listed(start + seconds{7})) << "that byte came at 3 s too";
}

TEST_F(a_leader_with_a_large_configuration, lists_the_entry_daemons_that_send_requests_on)
{
    const auto report = [&](const std::string& name, const std::string& address, bool cut_off) {
        wire::fleet_follow out;
        out.set_failure_domain("a");
        out.set_forward_address(address);
        out.set_cut_off(cut_off);
        (void)leader.on_follow(start, daemon_id{name}, out);
    };
    report("e1", "10.0.0.1:80", false);
    report("e2", "10.0.0.2:80", true);
    report("of an earlier version", "", false);
    report("e3", "no address", false);
    leader.refresh_view(start);
    const auto update = receive_report(milliseconds{1}, 0);
    view_items items;
    for (const auto& item : update.items()) {
        items[item.key()] = item;
    }
    const auto listed = decode(items).entry_daemons;
    ASSERT_EQ(listed.size(), 2U);
    EXPECT_EQ(listed[0].address.str(), "10.0.0.1:80");
    EXPECT_EQ(listed[0].failure_domain.str(), "a");
    EXPECT_FALSE(listed[0].cut_off);
    EXPECT_TRUE(listed[1].cut_off);
    report("e1", "", false); // it stops
    leader.refresh_view(start);
    EXPECT_EQ(leader.pending_updates(start).size(), 5U) << "the change is told to all at once";
}

// Guards against a leaving runner that still receives requests from daemons that it has not
// notified itself, because its own heartbeats still report it as ready.
TEST_F(a_leader_with_a_large_configuration, drains_a_runner_that_has_told_a_daemon_that_it_leaves)
{
    const runner_id runner{"i-1"};
    auto heartbeat = heartbeat_of("i-1", "shop", 1);
    heartbeat.born = incarnation{1000};
    ASSERT_TRUE(leader.announce(start, heartbeat));
    const auto apply_all = [&] {
        for (const auto& step : leader.tick(start)) {
            state.apply(step.command);
        }
    };
    const auto report_leaving = [&](std::uint64_t start_ms) {
        wire::fleet_follow report;
        report.add_leaving()->set_runner("i-1");
        report.mutable_leaving(0)->set_born(start_ms);
        (void)leader.on_follow(start, daemon_id{"entry"}, report);
        apply_all();
    };
    apply_all();
    report_leaving(999);
    EXPECT_FALSE(state.is_leaving(runner)) << "the announcement is from an earlier incarnation";
    report_leaving(1000);
    EXPECT_TRUE(state.is_leaving(runner));
    heartbeat.sequence = 2;
    leader.announce(start + milliseconds{10}, heartbeat);
    leader.begin_term(start + milliseconds{20}, 2);
    EXPECT_TRUE(state.is_leaving(runner))
        << "regardless of its heartbeats and of the change of leader";

    // The runner restarts under its id.
    heartbeat.born = incarnation{2000};
    heartbeat.sequence = 1;
    leader.announce(start + milliseconds{30}, heartbeat);
    apply_all();
    EXPECT_FALSE(state.is_leaving(runner));
}

} // namespace
} // namespace cedarpoint
