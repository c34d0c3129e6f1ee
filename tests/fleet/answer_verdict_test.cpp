// Classification of runners' answers.

#include "cedarpoint/fleet/answer_verdict.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

TEST(an_answer, that_is_complete_and_authentic_succeeds)
{
    const auto verdict = judge_answer({.status = 200, .is_authentic = true});
    EXPECT_EQ(verdict.outcome, attempt_outcome::succeeded);
    EXPECT_EQ(verdict.effect, target_effect::success);
    EXPECT_EQ(judge_answer({.status = 399, .is_authentic = true}).outcome,
              attempt_outcome::succeeded);
}

TEST(an_answer, that_is_not_authentic_counts_as_may_have_run)
{
    const auto verdict = judge_answer({.status = 200});
    EXPECT_EQ(verdict.outcome, attempt_outcome::may_have_run);
    EXPECT_EQ(verdict.effect, target_effect::failure);
}

TEST(an_answer, that_is_no_stream_cannot_continue_one)
{
    const auto verdict =
        judge_answer({.status = 200, .is_authentic = true, .caller_has_events = true});
    EXPECT_EQ(verdict.outcome, attempt_outcome::may_have_run);
    EXPECT_EQ(verdict.effect, target_effect::failure);
}

TEST(an_answer, counts_as_not_run_only_if_its_runner_says_so)
{
    for (const int status : {200, 400, 429, 503}) {
        EXPECT_EQ(judge_answer({.status = status, .reports_not_executed = true}).outcome,
                  attempt_outcome::not_run)
            << status;
    }
    EXPECT_EQ(judge_answer({.status = 421}).outcome, attempt_outcome::not_run)
        << "a runner other than the expected one answered";
    EXPECT_EQ(judge_answer({.status = 503}).outcome, attempt_outcome::server_error);
}

TEST(an_answer, blames_the_request_below_500_and_the_runner_from_500_on)
{
    EXPECT_EQ(judge_answer({.status = 400}).outcome, attempt_outcome::client_error);
    EXPECT_EQ(judge_answer({.status = 499}).outcome, attempt_outcome::client_error);
    EXPECT_EQ(judge_answer({.status = 499}).effect, target_effect::none);
    EXPECT_EQ(judge_answer({.status = 500}).outcome, attempt_outcome::server_error);
    EXPECT_EQ(judge_answer({.status = 500}).effect, target_effect::failure);
}

TEST(an_answer, that_asks_for_a_pause_is_no_failure_of_its_runner)
{
    answer_facts in;
    in.status = 503;
    in.asks_for_pause = true;
    EXPECT_EQ(judge_answer(in).effect, target_effect::none);
    EXPECT_EQ(judge_answer(in).outcome, attempt_outcome::server_error);
    in.reports_not_executed = true;
    EXPECT_EQ(judge_answer(in).effect, target_effect::none);
    EXPECT_EQ(judge_answer(in).outcome, attempt_outcome::not_run);
}

TEST(a_stream, that_ends_within_an_event_was_cut)
{
    EXPECT_EQ(judge_stream_end(true).outcome, attempt_outcome::may_have_run);
    EXPECT_EQ(judge_stream_end(false).outcome, attempt_outcome::succeeded);
}

} // namespace
} // namespace cedarpoint
