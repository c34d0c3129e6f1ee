// Tests which requests are admitted and how they are routed, at the boundaries of each check.

#include "cedarpoint/request/caller_admission.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant now{seconds{100}};
constexpr duration longest_wait = seconds{30};
constexpr duration tick = duration{1};

/// Two accounts; model "m" is routed to "own" for acme and to "shared" for the other; two services.
configuration make_site()
{
    configuration out;
    for (const auto* name : {"acme", "other"}) {
        account_spec it;
        it.id = client_account_id{name};
        it.key_sha256 = std::string{"key-of-"} + name;
        it.weight = 3;
        it.home_failure_domain = failure_domain_id{"home"};
        it.priorities = {priority_class::normal, priority_class::bulk};
        out.accounts.push_back(it);
    }
    out.routes.push_back({model_id{"m"}, client_account_id{"acme"}, {pool_id{"own"}}});
    out.routes.push_back({model_id{"m"}, {}, {pool_id{"shared"}, pool_id{"own"}}});
    out.routes.push_back({model_id{"m"}, {}, {pool_id{"never"}}});
    out.routes.push_back({model_id{"empty"}, {}, {}});
    out.services.push_back({service_id{"shop"}, "/shop", {}});
    out.services.push_back({service_id{"till"}, "/shop/till/", {}});
    return out;
}

request_facts ask_model(const char* account, const char* model = "m")
{
    request_facts out;
    out.id = request_id{"r1"};
    out.key_digest = std::string{"key-of-"} + account;
    out.model = model_id{model};
    return out;
}

request_facts ask_path(const char* path)
{
    auto out = ask_model("acme");
    out.model.reset();
    out.path = path;
    return out;
}

caller_verdict judge(const request_facts& facts)
{
    static const auto site = make_site();
    return admit_caller(now, facts, &site, longest_wait);
}

std::optional<admitted_call> admitted(const request_facts& facts)
{
    auto verdict = judge(facts);
    auto* it = std::get_if<admitted_call>(&verdict);
    return it == nullptr ? std::nullopt : std::optional{*it};
}

/// Returns the error code, or empty if the request is admitted. Every error must have the run state
/// `not_run`.
std::optional<error_code> refused(const request_facts& facts)
{
    auto verdict = judge(facts);
    const auto* it = std::get_if<refused_call>(&verdict);
    if (it == nullptr) {
        return {};
    }
    EXPECT_EQ(it->error.ran, run_state::not_run);
    return it->error.code;
}

TEST(a_caller, is_known_only_by_the_digest_of_its_key)
{
    EXPECT_EQ(admitted(ask_model("acme")).value().account, client_account_id{"acme"});
    EXPECT_EQ(refused(ask_model("acme2")), error_code::unauthorized);
    EXPECT_EQ(refused(ask_model("acm")), error_code::unauthorized);
    EXPECT_EQ(refused(ask_model("")), error_code::unauthorized);
}

TEST(a_caller, is_unknown_while_no_configuration_is_in_force)
{
    const auto verdict = admit_caller(now, ask_model("acme"), nullptr, longest_wait);
    const auto& it = std::get<refused_call>(verdict);
    EXPECT_EQ(it.error.code, error_code::unauthorized);
    EXPECT_EQ(it.account, client_account_id{});
}

TEST(a_caller, brings_its_accounts_weight_and_home)
{
    const auto it = admitted(ask_model("acme")).value();
    EXPECT_EQ(it.weight, 3);
    EXPECT_EQ(it.home, failure_domain_id{"home"});
}

TEST(a_caller, that_is_refused_after_its_key_was_found_is_named)
{
    auto facts = ask_model("acme");
    facts.priority = priority_class::alarm;
    const auto verdict = judge(facts);
    EXPECT_EQ(std::get<refused_call>(verdict).account, client_account_id{"acme"});
}

TEST(a_priority, is_the_accounts_first_unless_another_of_its_own_is_asked_for)
{
    auto facts = ask_model("acme");
    EXPECT_EQ(admitted(facts).value().priority, priority_class::normal);
    facts.priority = priority_class::bulk;
    EXPECT_EQ(admitted(facts).value().priority, priority_class::bulk);
    facts.priority = priority_class::alarm;
    EXPECT_EQ(refused(facts), error_code::forbidden_priority);
}

TEST(a_deadline, must_lie_after_the_present_time)
{
    auto facts = ask_model("acme");
    facts.deadline = now - tick;
    EXPECT_EQ(refused(facts), error_code::deadline_passed);
    facts.deadline = now;
    EXPECT_EQ(refused(facts), error_code::deadline_passed);
    facts.deadline = now + tick;
    EXPECT_EQ(admitted(facts).value().expires_at, now + tick);
}

TEST(a_deadline, may_lie_beyond_the_longest_wait_which_holds_only_without_one)
{
    auto facts = ask_model("acme");
    EXPECT_EQ(admitted(facts).value().expires_at, now + longest_wait);
    facts.deadline = now + longest_wait + tick;
    EXPECT_EQ(admitted(facts).value().expires_at, now + longest_wait + tick);
}

TEST(a_refusal, names_the_first_check_that_fails)
{
    auto facts = ask_model("nobody", "unknown");
    facts.priority = priority_class::alarm;
    facts.deadline = now;
    EXPECT_EQ(refused(facts), error_code::unauthorized);
    facts.key_digest = "key-of-acme";
    EXPECT_EQ(refused(facts), error_code::forbidden_priority);
    facts.priority.reset();
    EXPECT_EQ(refused(facts), error_code::deadline_passed);
    facts.deadline.reset();
    EXPECT_EQ(refused(facts), error_code::unknown_model);
}

TEST(a_model, goes_by_the_first_rule_that_holds_for_the_account)
{
    const auto own = admitted(ask_model("acme")).value();
    EXPECT_EQ(own.query.pools, std::vector{pool_id{"own"}});
    const auto shared = admitted(ask_model("other")).value();
    EXPECT_EQ(shared.query.pools, (std::vector{pool_id{"shared"}, pool_id{"own"}}));
}

TEST(a_model, without_a_rule_or_with_a_rule_without_pools_is_unknown)
{
    EXPECT_EQ(refused(ask_model("acme", "unknown")), error_code::unknown_model);
    EXPECT_EQ(refused(ask_model("acme", "empty")), error_code::unknown_model);
}

TEST(a_queue, is_shared_only_by_requests_with_the_same_routes)
{
    EXPECT_NE(admitted(ask_model("acme")).value().queue_key,
              admitted(ask_model("other")).value().queue_key);
    auto again = ask_model("acme");
    again.id = request_id{"r2"};
    EXPECT_EQ(admitted(ask_model("acme")).value().queue_key, admitted(again).value().queue_key);
}

TEST(a_path, belongs_to_a_service_by_whole_segments)
{
    for (const auto* path : {"/shop", "/shop/", "/shop/a"}) {
        EXPECT_EQ(admitted(ask_path(path)).value().query.service, service_id{"shop"}) << path;
    }
    for (const auto* path : {"/sho", "/shopping", "/", "", "/a/shop"}) {
        EXPECT_EQ(refused(ask_path(path)), error_code::unknown_path) << path;
    }
}

TEST(a_path, goes_to_the_service_with_the_longest_prefix)
{
    EXPECT_EQ(admitted(ask_path("/shop/till")).value().query.service, service_id{"shop"});
    EXPECT_EQ(admitted(ask_path("/shop/till/")).value().query.service, service_id{"till"});
    EXPECT_EQ(admitted(ask_path("/shop/till/1")).value().query.service, service_id{"till"});
}

TEST(a_model_request, is_repeatable_unless_its_caller_says_no)
{
    auto facts = ask_model("acme");
    EXPECT_TRUE(admitted(facts).value().repeatable);
    facts.not_repeatable = true;
    EXPECT_FALSE(admitted(facts).value().repeatable);
}

TEST(a_service_request, is_repeatable_only_with_a_safe_method)
{
    auto facts = ask_path("/shop");
    EXPECT_FALSE(admitted(facts).value().repeatable);
    facts.safe_method = true;
    EXPECT_TRUE(admitted(facts).value().repeatable);
    facts.not_repeatable = true;
    EXPECT_FALSE(admitted(facts).value().repeatable);
}

} // namespace
} // namespace cedarpoint
