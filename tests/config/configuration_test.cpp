#include "cedarpoint/config/configuration.h"
#include "cedarpoint/config/settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace cedarpoint {
namespace {

std::string read_source_file(const std::string& name)
{
    std::ifstream in{std::string{SOURCE_DIR} + "/" + name};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

faults faults_of(const std::string& text)
{
    faults out;
    EXPECT_FALSE(configuration::parse(text, out));
    return out;
}

bool has_fault_at(const faults& all, const std::string& path)
{
    return std::any_of(all.begin(), all.end(), [&](const fault& it) { return it.path == path; });
}

TEST(configuration_file, of_the_demo_is_read_completely)
{
    faults found;
    const auto it = configuration::parse(read_source_file("examples/demo/site.json"), found);
    ASSERT_TRUE(it) << found.front().path << found.front().text;
    EXPECT_EQ(it->nodes.size(), 5U);
    EXPECT_EQ(it->pools.front().size, 4);
    EXPECT_EQ(it->find_runner_on(node_id{"n2"})->address.str(), "127.0.0.1:18102");
}

TEST(configuration_file, with_many_faults_has_each_reported)
{
    const auto found = faults_of(R"({
        "based_on": -1,
        "change_id": "x",
        "color": "red",
        "failure_domains": ["a"],
        "fabric_domains": [{"id": "f", "failure_domain": "b"}],
        "nodes": [{"id": "n", "fabric_domain": "f"}, {"id": "n", "fabric_domain": "g"}],
        "runners": [{"id": "r", "node": "n", "address": "host.example:80"}],
        "replica_groups": [{"id": "p", "model": "m", "version": "1", "failure_domain": "a", "size": 3, "count": 1}]
    })");
    EXPECT_TRUE(has_fault_at(found, "/based_on"));
    EXPECT_TRUE(has_fault_at(found, "/color"));
    EXPECT_TRUE(has_fault_at(found, "/fabric_domains/0/failure_domain"));
    EXPECT_TRUE(has_fault_at(found, "/nodes/1/id"));
    EXPECT_TRUE(has_fault_at(found, "/nodes/1/fabric_domain"));
    EXPECT_TRUE(has_fault_at(found, "/runners/0/address"));
    EXPECT_TRUE(has_fault_at(found, "/replica_groups/0/size"));
    EXPECT_TRUE(has_fault_at(found, "/replica_groups/0/model"));
}

TEST(configuration_file, that_is_not_json_is_rejected)
{
    EXPECT_FALSE(faults_of("{\"based_on\": 0, ").empty());
    EXPECT_FALSE(faults_of("[]").empty());
    EXPECT_FALSE(faults_of("{\"change_id\": \"\xff\"}").empty());
}

TEST(configuration_file, with_a_duplicate_key_is_rejected)
{
    const auto found = faults_of(R"({"based_on": 0, "based_on": 1, "change_id": "x"})");
    ASSERT_EQ(found.size(), 1U);
    EXPECT_NE(found.front().text.find("stands twice"), std::string::npos);
}

TEST(configuration_file, nested_too_deeply_is_rejected)
{
    std::string text = R"({"based_on": )";
    text += std::string(100'000, '[') + std::string(100'000, ']') + "}";
    EXPECT_NE(faults_of(text).front().text.find("levels"), std::string::npos);
}

TEST(settings_file, of_the_demo_is_read_completely)
{
    faults found;
    const auto it = settings::parse(read_source_file("examples/demo/settings.json"), found);
    ASSERT_TRUE(it) << found.front().path << found.front().text;
    EXPECT_EQ(it->callers.port, 18080);
}

TEST(settings_file, with_conflicting_values_is_rejected)
{
    faults found;
    EXPECT_FALSE(settings::parse(R"({
        "id": "d", "failure_domain": "a", "callers": "127.0.0.1:1", "operators": "127.0.0.1:1",
        "daemons": "127.0.0.1:2", "limits": {"max_body_bytes": 1}
    })",
                                 found));
    EXPECT_TRUE(has_fault_at(found, "/operators"));
    EXPECT_TRUE(has_fault_at(found, "/peers"));
    EXPECT_TRUE(has_fault_at(found, "/limits/max_body_bytes"));
}

} // namespace
} // namespace cedarpoint
