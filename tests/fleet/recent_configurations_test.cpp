// Guarantee: the leader reads each document of an operator once, and never takes one for another.

#include "cedarpoint/fleet/fleet_leader.h"
#include "cedarpoint/fleet/recent_configurations.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

std::string document(int version, const std::string& host)
{
    return fmt::format(R"({{"version":{},"services":[{{"name":"shop"}}],"routes":[{{"host":"{}",)"
                       R"("pathPrefix":"/","kind":"safe","timeoutMs":2000,"service":"shop"}}]}})",
                       version, host);
}

recent_configurations::configuration_ptr configuration(std::uint64_t version)
{
    fleet_configuration out;
    out.version = version;
    return std::make_shared<const fleet_configuration>(std::move(out));
}

TEST(recent_documents, are_found_by_all_their_text)
{
    recent_configurations recent;
    recent.add("one", configuration(1));
    recent.add("two", configuration(2));
    EXPECT_EQ(recent.find("one")->version, 1U);
    EXPECT_EQ(recent.find("two")->version, 2U);
    EXPECT_EQ(recent.find("on"), nullptr);
    EXPECT_EQ(recent.find("one "), nullptr);
}

TEST(recent_documents, are_bounded_in_number_and_size)
{
    recent_configurations recent;
    for (std::uint64_t version = 1; version <= 5; ++version) {
        recent.add(std::to_string(version), configuration(version));
    }
    EXPECT_EQ(recent.find("1"), nullptr);
    EXPECT_EQ(recent.find("2")->version, 2U);
    const std::string large(3 << 20, 'x');
    recent.add(large, configuration(6));
    EXPECT_EQ(recent.find(large), nullptr);
    EXPECT_EQ(recent.find("5"), nullptr) << "it was older";
    recent.add("7", configuration(7));
    EXPECT_EQ(recent.find("7")->version, 7U);
}

/// A leader whose operators' calls come one after the other.
class a_leader_with_calls : public testing::Test {
protected:
    a_leader_with_calls() { leader.begin_term(start, 1); }

    recent_configurations::configuration_ptr read(const std::string& text)
    {
        reason why;
        return leader.read_configuration(text, why);
    }

    void commit(std::uint64_t version, const std::string& text)
    {
        state.apply(fleet_state::put_configuration(version, text));
        EXPECT_TRUE(leader.tick(start).empty());
    }

    fleet_state state;
    fleet_leader leader{{}, installed_platform(), state};
};

// Guards against a leader that reads a large document twice for each change, while acknowledgements
// wait.
TEST_F(a_leader_with_calls, installs_what_it_has_read)
{
    const auto first = read(document(2, "a.example"));
    ASSERT_TRUE(first);
    EXPECT_EQ(read(document(2, "a.example")), first) << "sent again after a lost acknowledgement";
    commit(2, document(2, "a.example"));
    EXPECT_GT(first.use_count(), 2) << "the leader holds it: recent, and in force";
}

TEST_F(a_leader_with_calls, installs_another_document_of_the_same_version_that_was_committed)
{
    const auto refused = read(document(2, "a.example"));
    commit(2, document(2, "b.example"));
    EXPECT_EQ(refused.use_count(), 2) << "recent, not in force";
}

TEST_F(a_leader_with_calls, keeps_no_invalid_document)
{
    EXPECT_FALSE(read(R"({"version":3})"));
    EXPECT_FALSE(read(R"({"version":3})"));
}

} // namespace
} // namespace cedarpoint
