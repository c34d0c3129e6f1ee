// Guards against losing acknowledged data when an update starts on a data folder of an earlier
// version. data/README.md describes how these folders were written.

#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/state/domain_state.h"
#include "cedarpoint/state/root_state.h"
#include "compat/compat_support.h"
#include "control.pb.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"

#include <csignal>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

constexpr const char* control_id = "127.91.4.1:17411"; ///< as written in the stored log
constexpr const char* peer_id = "kept-1";

/// A temporary copy of a folder below tests/compat/data.
class temporary_copy {
public:
    explicit temporary_copy(const std::string& name) : path_{folder_.path().toStdString() + "/data"}
    {
        copy_test_data_folder("data/" + name, path_);
    }
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    QTemporaryDir folder_;
    std::string path_;
};

/// The state machine of a peer's log of its failure domain.
class domain_state_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        EXPECT_TRUE(in.ParseFromString(command));
        EXPECT_EQ(domain.apply(in).refused, "");
        return {};
    }
    [[nodiscard]] std::string save() const override { return domain.save(); }
    bool restore(const std::string& bytes) override { return domain.restore(bytes); }

    domain_state domain;
};

/// The state machine of a peer's log of the root.
class root_state_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        EXPECT_TRUE(in.ParseFromString(command));
        root.apply(in.config());
        return {};
    }
    [[nodiscard]] std::string save() const override { return root.save(); }
    bool restore(const std::string& bytes) override { return root.restore(bytes); }

    root_state root;
};

// --- the data folder of a control daemon --------------------------------------------------------

class a_control_daemons_folder_of_an_earlier_version : public testing::Test {
protected:
    /// Returns a snapshot of the state that results from the log in the folder.
    wire::fleet_snapshot read_snapshot()
    {
        fleet_state state;
        EXPECT_TRUE(replay_log(folder.path() + "/fleet", control_id, state));
        wire::fleet_snapshot out;
        EXPECT_TRUE(out.ParseFromString(state.save()));
        return out;
    }

    [[nodiscard]] nlohmann::json settings_for_copy() const
    {
        return {{"role", "control"},
                {"name", "kept"},
                {"failure_domain", "z"},
                {"address", control_id},
                {"bind", find_free_endpoint(0).str()}, // `control_id` may be in use on this machine
                {"control", control.str()},
                {"data_folder", folder.path()},
                {"seeds", {control.str()}},
                {"tolerated_losses", 0},
                {"first_start", false},
                {"heartbeat_ms", 150}};
    }

    temporary_copy folder{"control"};
    endpoint control = find_free_endpoint(0);
};

TEST_F(a_control_daemons_folder_of_an_earlier_version, restores_the_configuration)
{
    fleet_state state;
    ASSERT_TRUE(replay_log(folder.path() + "/fleet", control_id, state));
    EXPECT_EQ(state.version(), 9U);
    EXPECT_EQ(state.document(), read_test_data("data/control-document.json"));
}

TEST_F(a_control_daemons_folder_of_an_earlier_version, restores_every_departure)
{
    fleet_state state;
    ASSERT_TRUE(replay_log(folder.path() + "/fleet", control_id, state));
    const auto snapshot = read_snapshot();
    EXPECT_EQ(snapshot.departures_size(), 65);
    EXPECT_TRUE(state.is_gone(runner_id{"gone-before"}));
    for (int each = 1; each <= 62; ++each) {
        EXPECT_TRUE(state.is_gone(runner_id{fmt::format("gone-{}", each)})) << each;
    }
    EXPECT_TRUE(state.is_gone(runner_id{"gone-after"}));
    EXPECT_TRUE(state.is_leaving(runner_id{"i-5"}));
    EXPECT_FALSE(state.is_gone(runner_id{"i-5"}));
    EXPECT_FALSE(state.is_leaving(runner_id{"i-1"}));
}

TEST_F(a_control_daemons_folder_of_an_earlier_version, restores_every_runner_and_its_address)
{
    const auto snapshot = read_snapshot();
    std::map<std::string, std::string> actual;
    for (const auto& each : snapshot.registrations()) {
        actual[each.runner()] =
            fmt::format("{} {} {} {} {}", each.service(), each.address(), each.failure_domain(),
                        each.fabric_domain(), each.slots());
    }
    const std::map<std::string, std::string> expected{
        {"i-1", "pool 127.91.4.11:19001 z z-d0 4"}, {"i-2", "pool 127.91.4.11:19002 z z-d0 4"},
        {"i-3", "pool 127.91.4.11:19003 z z-d0 4"}, {"i-4", "pool 127.91.4.11:19004 z z-d0 4"},
        {"i-5", "pool 127.91.4.11:19005 z z-d0 4"}, {"s-1", "shop 127.91.4.12:19001 z z-d0 4"}};
    EXPECT_EQ(actual, expected);
}

TEST_F(a_control_daemons_folder_of_an_earlier_version, restores_the_groups_that_may_be_open)
{
    const auto snapshot = read_snapshot();
    std::map<std::string, std::string> actual;
    for (const auto& each : snapshot.groups()) {
        actual[each.name()] = fmt::format("{} {} {}", each.epoch(), each.service(), each.model());
        for (const auto& member : each.members()) {
            actual[each.name()] += " " + member;
        }
    }
    const std::map<std::string, std::string> expected{
        {"i-1.1048577", "1048577 pool small i-1 i-2"},
        {"i-3.1048578", "1048578 pool small i-3 i-4"}};
    EXPECT_EQ(actual, expected);
}

TEST_F(a_control_daemons_folder_of_an_earlier_version, is_read_by_a_daemon_at_its_start)
{
    const cedarpoint_process daemon{"fleet", settings_for_copy()};
    ASSERT_TRUE(daemon.wait_for_line({"event=started", "role=control", control_id}))
        << daemon.log();
    ASSERT_TRUE(daemon.wait_for_line({"event=leading", "version=9"})) << daemon.log();
    const auto answer = call(control, "GET", "/cedarpoint/config/get", "", "");
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.body, read_test_data("data/control-document.json"));
    for (const auto* group : {"i-1.1048577 ", "i-3.1048578 "}) {
        EXPECT_TRUE(daemon.wait_for_line(
            {"event=placement", std::string{"group="} + group, "reason=inherited"}))
            << daemon.log();
    }
}

TEST_F(a_control_daemons_folder_of_an_earlier_version, tells_a_daemon_which_runners_have_left)
{
    const cedarpoint_process daemon{"fleet", settings_for_copy()};
    ASSERT_TRUE(daemon.wait_for_line({"event=leading"})) << daemon.log();
    for (const auto* runner : {"gone-before", "gone-62", "gone-after", "never-seen"}) {
        const auto path = fmt::format("/cedarpoint/instances/{}/deregister", runner);
        EXPECT_EQ(call(control, "POST", path, "", "").head.status, 200) << runner;
    }
    // Only new departures are written to the log.
    ASSERT_TRUE(daemon.wait_for_line({"event=departure", "runner=never-seen"})) << daemon.log();
    EXPECT_FALSE(daemon.has_line({"event=departure", "runner=gone-"})) << daemon.log();
}

// --- the data folder of a peer ------------------------------------------------------------------

class a_peers_folder_of_an_earlier_version : public testing::Test {
protected:
    wire::domain_snapshot read_domain_snapshot()
    {
        domain_state_machine state;
        EXPECT_TRUE(replay_log(folder.path() + "/domain-zone", peer_id, state));
        wire::domain_snapshot out;
        EXPECT_TRUE(out.ParseFromString(state.save()));
        return out;
    }

    [[nodiscard]] nlohmann::json settings_for_copy() const
    {
        return {{"id", peer_id},
                {"failure_domain", "zone"},
                {"callers", callers.str()},
                {"operators", operators.str()},
                {"data_folder", folder.path()}};
    }

    [[nodiscard]] nlohmann::json get_json(const std::string& path) const
    {
        const auto answer = call(operators, "GET", path, "", "");
        return nlohmann::json::parse(answer.body, nullptr, false);
    }

    temporary_copy folder{"peer"};
    endpoint callers = find_free_endpoint(0);
    endpoint operators = find_free_endpoint(0);
};

TEST_F(a_peers_folder_of_an_earlier_version, restores_the_results_of_configuration_changes)
{
    root_state_machine state;
    ASSERT_TRUE(replay_log(folder.path() + "/root", peer_id, state));
    EXPECT_EQ(state.root.in_force().value, 9U);
    EXPECT_EQ(state.root.accepted().change_id(), "change-9");
    for (std::uint64_t each = 1; each <= 9; ++each) {
        const auto* answer = state.root.answer_of(fmt::format("change-{}", each));
        ASSERT_NE(answer, nullptr) << each;
        EXPECT_EQ(answer->revision(), each);
        EXPECT_EQ(answer->conflict_with(), 0U);
    }
}

TEST_F(a_peers_folder_of_an_earlier_version, restores_the_group_and_the_drain)
{
    const auto snapshot = read_domain_snapshot();
    EXPECT_EQ(snapshot.configuration().revision(), 9U);
    EXPECT_EQ(snapshot.last_epoch(), 1U);
    ASSERT_EQ(snapshot.groups_size(), 1);
    const auto& group = snapshot.groups(0);
    EXPECT_EQ(group.id() + " " + group.pool() + " " + group.model() + " " + group.version(),
              "pool/0 pool m 1");
    EXPECT_EQ(group.epoch(), 1U);
    EXPECT_EQ(std::vector<std::string>(group.nodes().begin(), group.nodes().end()),
              (std::vector<std::string>{"n0", "n1", "n2", "n3"}));
    ASSERT_EQ(snapshot.drains_size(), 1);
    EXPECT_EQ(snapshot.drains(0).kind() + " " + snapshot.drains(0).id(), "node n4");
}

TEST_F(a_peers_folder_of_an_earlier_version, restores_the_claims)
{
    const auto snapshot = read_domain_snapshot();
    std::map<std::string, std::uint32_t> actual;
    for (const auto& each : snapshot.claims()) {
        EXPECT_EQ(each.account(), "acme");
        EXPECT_FALSE(each.holder().empty());
        actual[each.key()] = each.outcome();
    }
    constexpr std::uint32_t ran = 1;
    const std::map<std::string, std::uint32_t> expected{{"before-the-snapshot", ran},
                                                        {"after-the-snapshot", ran}};
    EXPECT_EQ(actual, expected);
}

TEST_F(a_peers_folder_of_an_earlier_version, is_read_by_a_daemon_at_its_start)
{
    const cedarpoint_process daemon{"serve", settings_for_copy()};
    ASSERT_TRUE(daemon.wait_for_line({"event=in_force", "revision=9", "change=change-9"}))
        << daemon.log();
    const auto status = get_json("/v1/status");
    ASSERT_TRUE(status.is_object()) << status;
    EXPECT_EQ(status.at("revision"), 9);
    EXPECT_EQ(status.at("change_id"), "change-9");
    ASSERT_EQ(status.at("groups").size(), 1U) << status;
    const auto& group = status.at("groups")[0];
    EXPECT_EQ(group.at("id"), "pool/0");
    EXPECT_EQ(group.at("epoch"), 1);
    EXPECT_EQ(group.at("nodes"), nlohmann::json({"n0", "n1", "n2", "n3"}));
    for (const auto& node : status.at("nodes")) {
        EXPECT_EQ(node.at("draining"), node.at("id") == "n4") << node;
    }
    const auto configuration = get_json("/v1/configuration");
    EXPECT_EQ(configuration.at("revision"), 9);
    EXPECT_EQ(configuration.at("text"), read_test_data("data/peer-file.json"));
}

TEST_F(a_peers_folder_of_an_earlier_version, prevents_a_claimed_request_from_running_again)
{
    const cedarpoint_process daemon{"serve", settings_for_copy()};
    ASSERT_TRUE(daemon.wait_for_line({"event=in_force", "revision=9"})) << daemon.log();
    // A claim is kept for a day. The clock that wrote these was set 70 years ahead, so they have
    // not expired.
    for (const auto* key : {"before-the-snapshot", "after-the-snapshot"}) {
        const auto headers = fmt::format("Authorization: Bearer secret\r\nIdempotency-Key: {}\r\n"
                                         "Cedarpoint-Not-Repeatable: true\r\n",
                                         key);
        http_answer answer;
        // The daemon looks up claims only while it leads its failure domain.
        ASSERT_TRUE(wait_until([&] {
            answer = call(callers, "POST", "/shop/order", headers, "x");
            return answer.head.status != 503;
        }));
        EXPECT_EQ(answer.head.status, 409) << key;
        EXPECT_NE(answer.body.find("already_ran"), std::string::npos) << answer.body;
    }
}

} // namespace
} // namespace cedarpoint
