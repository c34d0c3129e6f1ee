// Rules for retries and final answers, case by case.

#include "cedarpoint/fleet/retry_policy.h"

#include <gtest/gtest.h>

#include <vector>

namespace cedarpoint {
namespace {

using outcome = attempt_outcome;

TEST(a_request_that_may_run_once, is_sent_again_only_if_it_did_not_run)
{
    retry_facts facts{.repeat = repeat_policy::at_most_once, .sent = 1, .max_attempts = 2};
    EXPECT_TRUE(may_send_again(facts, outcome::not_run));
    EXPECT_FALSE(may_send_again(facts, outcome::may_have_run));
    EXPECT_FALSE(may_send_again(facts, outcome::server_error));
    EXPECT_FALSE(may_send_again(facts, outcome::client_error));
    EXPECT_FALSE(may_send_again(facts, outcome::succeeded));
    EXPECT_FALSE(is_repeatable(facts));
    facts.repeat = repeat_policy::stream;
    EXPECT_FALSE(may_send_again(facts, outcome::may_have_run)) << "the stream can't be resumed";
    EXPECT_FALSE(is_repeatable(facts));
    facts.resumable = true;
    EXPECT_TRUE(may_send_again(facts, outcome::may_have_run));
    EXPECT_TRUE(is_repeatable(facts));
    facts.sent = 2;
    EXPECT_FALSE(may_send_again(facts, outcome::not_run)) << "the route's attempts are used up";
}

TEST(a_request_that_may_run_again, is_sent_again_unless_it_is_wrong_or_served)
{
    const retry_facts facts{.repeat = repeat_policy::any_number, .sent = 1, .max_attempts = 2};
    EXPECT_TRUE(may_send_again(facts, outcome::not_run));
    EXPECT_TRUE(may_send_again(facts, outcome::may_have_run));
    EXPECT_TRUE(may_send_again(facts, outcome::server_error));
    EXPECT_FALSE(may_send_again(facts, outcome::client_error));
    EXPECT_FALSE(may_send_again(facts, outcome::succeeded));
}

TEST(an_attempt, that_reached_no_runner_spends_none_of_the_routes_attempts)
{
    retry_facts facts{.repeat = repeat_policy::at_most_once, .sent = 0, .max_attempts = 1};
    EXPECT_TRUE(may_send_again(facts, outcome::not_run));
    facts.sent = 1;
    EXPECT_FALSE(may_send_again(facts, outcome::not_run));
}

TEST(a_request_that_is_given_up, breaks_off_once_the_caller_has_part_of_a_stream)
{
    const final_answer_facts facts{.has_begun = true, .has_failure = true, .failure_status = 500};
    EXPECT_EQ(choose_final_answer(facts), final_answer::abort_stream);
}

TEST(a_request_that_is_given_up, gets_the_failure_of_its_runner)
{
    for (const int status : {400, 404, 500, 504}) {
        const final_answer_facts facts{
            .has_failure = true, .failure_status = status, .may_have_run = true};
        EXPECT_EQ(choose_final_answer(facts), final_answer::pass_failure) << status;
    }
}

TEST(a_request_that_is_given_up, gets_no_failure_that_wrongly_implies_that_it_has_not_run)
{
    for (const int status : {408, 429, 503}) {
        final_answer_facts facts{
            .has_failure = true, .failure_status = status, .may_have_run = true};
        EXPECT_EQ(choose_final_answer(facts), final_answer::unknown) << status;
        facts.is_repeatable = true;
        EXPECT_EQ(choose_final_answer(facts), final_answer::pass_failure) << status;
    }
}

TEST(a_request_that_is_given_up, is_refused_as_not_run_only_if_that_holds_or_does_no_harm)
{
    EXPECT_EQ(choose_final_answer({}), final_answer::not_run);
    EXPECT_EQ(choose_final_answer({.may_have_run = true}), final_answer::unknown);
    EXPECT_EQ(choose_final_answer({.may_have_run = true, .is_repeatable = true}),
              final_answer::not_run);
}

} // namespace
} // namespace cedarpoint
