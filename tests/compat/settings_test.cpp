// Guards against updates that reject operators' files of an earlier version or change their
// meaning.

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/config/settings.h"
#include "compat/compat_support.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::kept_text;

/// Parses a kept file; a fault or a missing file fails the test.
template <class Read>
Read parse_kept(const std::string& name)
{
    faults found;
    auto read = Read::parse(kept_text(name), found);
    for (const auto& fault : found) {
        ADD_FAILURE() << name << " " << fault.path << ": " << fault.text;
    }
    EXPECT_TRUE(read) << name;
    return read ? *std::move(read) : Read{};
}

endpoint at(const char* text)
{
    return endpoint::parse(text).value_or(endpoint{});
}

TEST(settings_of_an_earlier_version, say_the_same_to_a_control_daemon)
{
    const auto own = parse_kept<fleet_settings>("data/control-settings.json");
    EXPECT_EQ(own.role, fleet_role::control);
    EXPECT_EQ(own.name, "control-a");
    EXPECT_EQ(own.failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(own.address, at("10.1.0.1:7000"));
    EXPECT_EQ(own.bind, at("10.1.0.101:7001"));
    EXPECT_EQ(own.control, at("10.1.0.1:8100"));
    EXPECT_EQ(own.metrics, at("10.1.0.1:9464"));
    EXPECT_FALSE(own.callers);
    EXPECT_FALSE(own.ready);
    EXPECT_EQ(own.data_folder, "data/control-a");
    const std::vector<endpoint> seeds{at("10.1.0.1:8100"), at("10.1.0.2:8100"), {"::1", 8100}};
    EXPECT_EQ(own.seeds, seeds);
    EXPECT_EQ(own.tolerated_losses, 2U);
    EXPECT_TRUE(own.first_start);
    EXPECT_EQ(own.heartbeat, milliseconds{900});
    EXPECT_EQ(own.stall, milliseconds{3100});
    EXPECT_EQ(own.stop_bound, milliseconds{7100});
    EXPECT_TRUE(own.json_logs);
}

TEST(settings_of_an_earlier_version, say_the_same_to_an_entry_daemon)
{
    const auto own = parse_kept<fleet_settings>("data/entry-settings.json");
    EXPECT_EQ(own.role, fleet_role::entry);
    EXPECT_EQ(own.name, "entry-a");
    EXPECT_EQ(own.failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(own.address, at("10.1.0.11:7000"));
    EXPECT_EQ(own.bind, at("10.1.0.111:7001"));
    EXPECT_EQ(own.callers, at("10.1.0.11:8080"));
    EXPECT_EQ(own.ready, at("10.1.0.11:8081"));
    EXPECT_EQ(own.metrics, at("10.1.0.11:9464"));
    EXPECT_FALSE(own.control);
    EXPECT_EQ(own.data_folder, "");
    EXPECT_EQ(own.seeds, std::vector<endpoint>{at("10.1.0.1:8100")});
    EXPECT_EQ(own.tolerated_losses, 1U);
    EXPECT_FALSE(own.first_start);
    EXPECT_EQ(own.heartbeat, milliseconds{901});
    EXPECT_EQ(own.stall, milliseconds{3200});
    EXPECT_EQ(own.stop_bound, milliseconds{7200});
    EXPECT_EQ(own.budget.ratio, 0.2);
    EXPECT_EQ(own.budget.window, milliseconds{12'000});
    EXPECT_EQ(own.budget.slack, 4);
    EXPECT_EQ(own.budget.safety, 0.5);
    EXPECT_TRUE(own.json_logs);
}

TEST(settings_of_an_earlier_version, mean_the_same_where_they_are_silent)
{
    faults found;
    const auto own = fleet_settings::parse(R"({"role": "entry", "name": "e", "failure_domain": "z",
        "address": "10.0.0.1:7000", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
        "seeds": ["10.0.0.9:90"]})",
                                           found);
    ASSERT_TRUE(own);
    EXPECT_FALSE(own->bind);
    EXPECT_FALSE(own->metrics);
    EXPECT_EQ(own->heartbeat, milliseconds{1200});
    EXPECT_EQ(own->stall, milliseconds{4000});
    EXPECT_EQ(own->stop_bound, milliseconds{8000});
    EXPECT_EQ(own->budget.ratio, 0.1);
    EXPECT_EQ(own->budget.window, milliseconds{10'000});
    EXPECT_EQ(own->budget.slack, 10);
    EXPECT_EQ(own->budget.safety, 0.6);
    EXPECT_FALSE(own->json_logs);
}

TEST(settings_of_an_earlier_version, say_the_same_to_a_daemon_that_names_its_peers)
{
    const auto own = parse_kept<settings>("data/serve-settings.json");
    EXPECT_EQ(own.id, daemon_id{"d1"});
    EXPECT_EQ(own.failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(own.callers, at("10.2.0.1:8080"));
    EXPECT_EQ(own.operators, at("10.2.0.1:9100"));
    EXPECT_EQ(own.daemons, at("10.2.0.1:7000"));
    EXPECT_EQ(own.data_folder, "data/d1");
    EXPECT_EQ(own.operator_key_sha256,
              "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c");
    EXPECT_TRUE(own.json_logs);
    EXPECT_EQ(own.limits.max_connections, 500U);
    EXPECT_EQ(own.limits.max_head_bytes, 8192U);
    EXPECT_EQ(own.limits.max_body_bytes, 100'000U);
    EXPECT_EQ(own.limits.max_buffered_bytes, 65'536U);
    EXPECT_EQ(own.limits.head_timeout, milliseconds{5000});
    EXPECT_EQ(own.limits.body_timeout, milliseconds{6000});
    EXPECT_EQ(own.stop_bound, milliseconds{9000});
    EXPECT_EQ(own.watch_interval, milliseconds{250});
    EXPECT_EQ(own.grant_ttl, milliseconds{2500});
    EXPECT_EQ(own.curve_secret_file, "keys/secret");
    EXPECT_EQ(own.curve_public_key, "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7");
}

TEST(settings_of_an_earlier_version, name_the_same_peers)
{
    const auto own = parse_kept<settings>("data/serve-settings.json");
    ASSERT_EQ(own.peers.size(), 2U);
    EXPECT_EQ(own.peers[0].id, daemon_id{"d1"});
    EXPECT_EQ(own.peers[0].address, at("10.2.0.1:7000"));
    EXPECT_EQ(own.peers[0].failure_domain, failure_domain_id{"hall-1"});
    EXPECT_TRUE(own.peers[0].root_voter);
    EXPECT_TRUE(own.peers[0].domain_voter);
    EXPECT_EQ(own.peers[1].id, daemon_id{"d2"});
    EXPECT_EQ(own.peers[1].address, at("10.2.0.2:7000"));
    EXPECT_EQ(own.peers[1].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_FALSE(own.peers[1].root_voter);
    EXPECT_FALSE(own.peers[1].domain_voter);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_machines)
{
    const auto read = parse_kept<configuration>("data/declarative-file.json");
    EXPECT_EQ(read.based_on.value, 4U);
    EXPECT_EQ(read.change, change_id{"spring-1"});
    const std::vector<failure_domain_id> halls{failure_domain_id{"hall-1"},
                                               failure_domain_id{"hall-2"}};
    EXPECT_EQ(read.failure_domains, halls);
    ASSERT_EQ(read.fabric_domains.size(), 1U);
    EXPECT_EQ(read.fabric_domains[0].id, fabric_domain_id{"rack-1"});
    EXPECT_EQ(read.fabric_domains[0].failure_domain, halls[0]);
    ASSERT_EQ(read.nodes.size(), 1U);
    EXPECT_EQ(read.nodes[0].id, node_id{"n1"});
    EXPECT_EQ(read.nodes[0].fabric_domain, fabric_domain_id{"rack-1"});
    EXPECT_EQ(read.nodes[0].accelerators, 4);
    ASSERT_EQ(read.runners.size(), 1U);
    EXPECT_EQ(read.runners[0].id, runner_id{"r1"});
    EXPECT_EQ(read.runners[0].node, node_id{"n1"});
    EXPECT_EQ(read.runners[0].address, at("10.2.1.1:9000"));
    EXPECT_FALSE(read.runners[0].checks_epoch);
    EXPECT_EQ(read.runners[0].slots, 3);
    EXPECT_EQ(read.objectives.group_downtime, 2);
    EXPECT_EQ(read.objectives.stranded_accelerators, 0.5);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_models_and_services)
{
    const auto read = parse_kept<configuration>("data/declarative-file.json");
    ASSERT_EQ(read.models.size(), 1U);
    EXPECT_EQ(read.models[0].id, model_id{"advice"});
    EXPECT_EQ(read.models[0].versions, (std::vector<std::string>{"1", "2"}));
    EXPECT_EQ(read.models[0].adapters, std::vector<std::string>{"roses"});
    ASSERT_EQ(read.pools.size(), 1U);
    EXPECT_EQ(read.pools[0].id, pool_id{"pool"});
    EXPECT_EQ(read.pools[0].model, model_id{"advice"});
    EXPECT_EQ(read.pools[0].version, "2");
    EXPECT_EQ(read.pools[0].adapters, std::vector<std::string>{"roses"});
    EXPECT_EQ(read.pools[0].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(read.pools[0].size, 5);
    EXPECT_EQ(read.pools[0].count, 2);
    EXPECT_EQ(read.pools[0].role, group_role::prefill);
    ASSERT_EQ(read.services.size(), 1U);
    EXPECT_EQ(read.services[0].id, service_id{"shop"});
    EXPECT_EQ(read.services[0].path_prefix, "/shop");
    ASSERT_EQ(read.services[0].upstreams.size(), 1U);
    EXPECT_EQ(read.services[0].upstreams[0].id, runner_id{"shop-1"});
    EXPECT_EQ(read.services[0].upstreams[0].failure_domain, failure_domain_id{"hall-2"});
    EXPECT_EQ(read.services[0].upstreams[0].address, at("10.2.1.9:80"));
    EXPECT_EQ(read.services[0].upstreams[0].slots, 7);
}

TEST(a_declarative_file_of_an_earlier_version, declares_the_same_rules_and_accounts)
{
    const auto read = parse_kept<configuration>("data/declarative-file.json");
    ASSERT_EQ(read.routes.size(), 1U);
    EXPECT_EQ(read.routes[0].model, model_id{"advice"});
    EXPECT_EQ(read.routes[0].account, client_account_id{"till"});
    EXPECT_EQ(read.routes[0].pools, std::vector<pool_id>{pool_id{"pool"}});
    ASSERT_EQ(read.accounts.size(), 1U);
    EXPECT_EQ(read.accounts[0].id, client_account_id{"till"});
    EXPECT_EQ(read.accounts[0].key_sha256,
              "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c");
    EXPECT_EQ(read.accounts[0].weight, 3);
    EXPECT_EQ(read.accounts[0].home_failure_domain, failure_domain_id{"hall-1"});
    EXPECT_EQ(read.accounts[0].priorities,
              (std::vector<priority_class>{priority_class::alarm, priority_class::bulk}));
    EXPECT_EQ(read.accounts[0].max_in_flight, 20);
    EXPECT_EQ(read.accounts[0].requests_per_minute, 600);
}

} // namespace
} // namespace cedarpoint
