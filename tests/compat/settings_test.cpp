// Guards against updates that reject operators' settings and declarative files of an earlier
// version, or that interpret them differently.

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/config/settings.h"
#include "compat/compat_support.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::read_test_data;

/// Parses a file below tests/compat; a fault or a missing file fails the test.
template <class Parsed>
Parsed parse_test_data(const std::string& name)
{
    faults found;
    auto parsed = Parsed::parse(read_test_data(name), found);
    for (const auto& fault : found) {
        ADD_FAILURE() << name << " " << fault.path << ": " << fault.text;
    }
    EXPECT_TRUE(parsed) << name;
    return parsed ? *std::move(parsed) : Parsed{};
}

endpoint endpoint_of(const char* text)
{
    return endpoint::parse(text).value_or(endpoint{});
}

TEST(settings_of_an_earlier_version, configure_a_control_daemon_in_the_same_way)
{
    const auto parsed = parse_test_data<fleet_settings>("data/control-settings.json");
    EXPECT_EQ(parsed.role, fleet_role::control);
    EXPECT_EQ(parsed.name, "control-a");
    EXPECT_EQ(parsed.failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(parsed.address, endpoint_of("10.1.0.1:7000"));
    EXPECT_EQ(parsed.bind, endpoint_of("10.1.0.101:7001"));
    EXPECT_EQ(parsed.control, endpoint_of("10.1.0.1:8100"));
    EXPECT_EQ(parsed.metrics, endpoint_of("10.1.0.1:9464"));
    EXPECT_FALSE(parsed.callers);
    EXPECT_FALSE(parsed.ready);
    EXPECT_EQ(parsed.data_folder, "data/control-a");
    const std::vector<endpoint> seeds{
        endpoint_of("10.1.0.1:8100"), endpoint_of("10.1.0.2:8100"), {"::1", 8100}};
    EXPECT_EQ(parsed.seeds, seeds);
    EXPECT_EQ(parsed.tolerated_losses, 2U);
    EXPECT_TRUE(parsed.first_start);
    EXPECT_EQ(parsed.heartbeat, milliseconds{900});
    EXPECT_EQ(parsed.stall, milliseconds{3100});
    EXPECT_EQ(parsed.stop_bound, milliseconds{7100});
    EXPECT_TRUE(parsed.json_logs);
}

TEST(settings_of_an_earlier_version, configure_an_entry_daemon_in_the_same_way)
{
    const auto parsed = parse_test_data<fleet_settings>("data/entry-settings.json");
    EXPECT_EQ(parsed.role, fleet_role::entry);
    EXPECT_EQ(parsed.name, "entry-a");
    EXPECT_EQ(parsed.failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(parsed.address, endpoint_of("10.1.0.11:7000"));
    EXPECT_EQ(parsed.bind, endpoint_of("10.1.0.111:7001"));
    EXPECT_EQ(parsed.callers, endpoint_of("10.1.0.11:8080"));
    EXPECT_EQ(parsed.ready, endpoint_of("10.1.0.11:8081"));
    EXPECT_EQ(parsed.metrics, endpoint_of("10.1.0.11:9464"));
    EXPECT_FALSE(parsed.control);
    EXPECT_EQ(parsed.data_folder, "");
    EXPECT_EQ(parsed.seeds, std::vector<endpoint>{endpoint_of("10.1.0.1:8100")});
    EXPECT_EQ(parsed.tolerated_losses, 1U);
    EXPECT_FALSE(parsed.first_start);
    EXPECT_EQ(parsed.heartbeat, milliseconds{901});
    EXPECT_EQ(parsed.stall, milliseconds{3200});
    EXPECT_EQ(parsed.stop_bound, milliseconds{7200});
    EXPECT_EQ(parsed.budget.ratio, 0.2);
    EXPECT_EQ(parsed.budget.window, milliseconds{12'000});
    EXPECT_EQ(parsed.budget.slack, 4);
    EXPECT_EQ(parsed.budget.safety, 0.5);
    EXPECT_TRUE(parsed.json_logs);
}

TEST(settings_of_an_earlier_version, keep_the_same_defaults)
{
    faults found;
    const auto parsed =
        fleet_settings::parse(R"({"role": "entry", "name": "e", "failure_domain": "z",
        "address": "10.0.0.1:7000", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
        "seeds": ["10.0.0.9:90"]})",
                              found);
    ASSERT_TRUE(parsed);
    EXPECT_FALSE(parsed->bind);
    EXPECT_FALSE(parsed->metrics);
    EXPECT_EQ(parsed->heartbeat, milliseconds{1200});
    EXPECT_EQ(parsed->stall, milliseconds{4000});
    EXPECT_EQ(parsed->stop_bound, milliseconds{8000});
    EXPECT_EQ(parsed->budget.ratio, 0.1);
    EXPECT_EQ(parsed->budget.window, milliseconds{10'000});
    EXPECT_EQ(parsed->budget.slack, 10);
    EXPECT_EQ(parsed->budget.safety, 0.6);
    EXPECT_FALSE(parsed->json_logs);
}

TEST(settings_of_an_earlier_version, configure_a_daemon_with_peers_in_the_same_way)
{
    const auto parsed = parse_test_data<settings>("data/serve-settings.json");
    EXPECT_EQ(parsed.id, daemon_id{"d1"});
    EXPECT_EQ(parsed.failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(parsed.callers, endpoint_of("10.2.0.1:8080"));
    EXPECT_EQ(parsed.operators, endpoint_of("10.2.0.1:9100"));
    EXPECT_EQ(parsed.daemons, endpoint_of("10.2.0.1:7000"));
    EXPECT_EQ(parsed.data_folder, "data/d1");
    EXPECT_EQ(parsed.operator_key_sha256,
              "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c");
    EXPECT_TRUE(parsed.json_logs);
    EXPECT_EQ(parsed.limits.max_connections, 500U);
    EXPECT_EQ(parsed.limits.max_head_bytes, 8192U);
    EXPECT_EQ(parsed.limits.max_body_bytes, 100'000U);
    EXPECT_EQ(parsed.limits.max_buffered_bytes, 65'536U);
    EXPECT_EQ(parsed.limits.head_timeout, milliseconds{5000});
    EXPECT_EQ(parsed.limits.body_timeout, milliseconds{6000});
    EXPECT_EQ(parsed.stop_bound, milliseconds{9000});
    EXPECT_EQ(parsed.watch_interval, milliseconds{250});
    EXPECT_EQ(parsed.grant_ttl, milliseconds{2500});
    EXPECT_EQ(parsed.curve_secret_file, "keys/secret");
    EXPECT_EQ(parsed.curve_public_key, "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7");
}

TEST(settings_of_an_earlier_version, list_the_same_peers)
{
    const auto parsed = parse_test_data<settings>("data/serve-settings.json");
    ASSERT_EQ(parsed.peers.size(), 2U);
    EXPECT_EQ(parsed.peers[0].id, daemon_id{"d1"});
    EXPECT_EQ(parsed.peers[0].address, endpoint_of("10.2.0.1:7000"));
    EXPECT_EQ(parsed.peers[0].failure_domain, failure_domain_id{"hall-1"});
    EXPECT_TRUE(parsed.peers[0].root_voter);
    EXPECT_TRUE(parsed.peers[0].domain_voter);
    EXPECT_EQ(parsed.peers[1].id, daemon_id{"d2"});
    EXPECT_EQ(parsed.peers[1].address, endpoint_of("10.2.0.2:7000"));
    EXPECT_EQ(parsed.peers[1].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_FALSE(parsed.peers[1].root_voter);
    EXPECT_FALSE(parsed.peers[1].domain_voter);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_machines)
{
    const auto parsed = parse_test_data<configuration>("data/declarative-file.json");
    EXPECT_EQ(parsed.based_on.value, 4U);
    EXPECT_EQ(parsed.change, change_id{"spring-1"});
    const std::vector<failure_domain_id> halls{failure_domain_id{"hall-1"},
                                               failure_domain_id{"hall-2"}};
    EXPECT_EQ(parsed.failure_domains, halls);
    ASSERT_EQ(parsed.fabric_domains.size(), 1U);
    EXPECT_EQ(parsed.fabric_domains[0].id, fabric_domain_id{"rack-1"});
    EXPECT_EQ(parsed.fabric_domains[0].failure_domain, halls[0]);
    ASSERT_EQ(parsed.nodes.size(), 1U);
    EXPECT_EQ(parsed.nodes[0].id, node_id{"n1"});
    EXPECT_EQ(parsed.nodes[0].fabric_domain, fabric_domain_id{"rack-1"});
    EXPECT_EQ(parsed.nodes[0].accelerators, 4);
    ASSERT_EQ(parsed.runners.size(), 1U);
    EXPECT_EQ(parsed.runners[0].id, runner_id{"r1"});
    EXPECT_EQ(parsed.runners[0].node, node_id{"n1"});
    EXPECT_EQ(parsed.runners[0].address, endpoint_of("10.2.1.1:9000"));
    EXPECT_FALSE(parsed.runners[0].checks_epoch);
    EXPECT_EQ(parsed.runners[0].slots, 3);
    EXPECT_EQ(parsed.objectives.group_downtime, 2);
    EXPECT_EQ(parsed.objectives.stranded_accelerators, 0.5);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_models_and_services)
{
    const auto parsed = parse_test_data<configuration>("data/declarative-file.json");
    ASSERT_EQ(parsed.models.size(), 1U);
    EXPECT_EQ(parsed.models[0].id, model_id{"advice"});
    EXPECT_EQ(parsed.models[0].versions, (std::vector<std::string>{"1", "2"}));
    EXPECT_EQ(parsed.models[0].adapters, std::vector<std::string>{"roses"});
    ASSERT_EQ(parsed.pools.size(), 1U);
    EXPECT_EQ(parsed.pools[0].id, pool_id{"pool"});
    EXPECT_EQ(parsed.pools[0].model, model_id{"advice"});
    EXPECT_EQ(parsed.pools[0].version, "2");
    EXPECT_EQ(parsed.pools[0].adapters, std::vector<std::string>{"roses"});
    EXPECT_EQ(parsed.pools[0].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(parsed.pools[0].size, 5);
    EXPECT_EQ(parsed.pools[0].count, 2);
    EXPECT_EQ(parsed.pools[0].role, group_role::prefill);
    ASSERT_EQ(parsed.services.size(), 1U);
    EXPECT_EQ(parsed.services[0].id, service_id{"shop"});
    EXPECT_EQ(parsed.services[0].path_prefix, "/shop");
    ASSERT_EQ(parsed.services[0].upstreams.size(), 1U);
    EXPECT_EQ(parsed.services[0].upstreams[0].id, runner_id{"shop-1"});
    EXPECT_EQ(parsed.services[0].upstreams[0].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(parsed.services[0].upstreams[0].address, endpoint_of("10.2.1.9:80"));
    EXPECT_EQ(parsed.services[0].upstreams[0].slots, 7);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_rules_and_accounts)
{
    const auto parsed = parse_test_data<configuration>("data/declarative-file.json");
    ASSERT_EQ(parsed.routes.size(), 1U);
    EXPECT_EQ(parsed.routes[0].model, model_id{"advice"});
    EXPECT_EQ(parsed.routes[0].account, client_account_id{"till"});
    EXPECT_EQ(parsed.routes[0].pools, std::vector<pool_id>{pool_id{"pool"}});
    ASSERT_EQ(parsed.accounts.size(), 1U);
    EXPECT_EQ(parsed.accounts[0].id, client_account_id{"till"});
    EXPECT_EQ(parsed.accounts[0].key_sha256,
              "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c");
    EXPECT_EQ(parsed.accounts[0].weight, 3);
    EXPECT_EQ(parsed.accounts[0].home_failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(parsed.accounts[0].priorities,
              (std::vector<priority_class>{priority_class::alarm, priority_class::bulk}));
    EXPECT_EQ(parsed.accounts[0].max_in_flight, 20);
    EXPECT_EQ(parsed.accounts[0].requests_per_minute, 600);
}

} // namespace
} // namespace cedarpoint
