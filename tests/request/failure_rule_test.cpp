// Tests what follows a failed attempt: each line of the rule and its boundary values.

#include "cedarpoint/request/dispatcher.h"
#include "cedarpoint/request/failure_rule.h"
#include "cedarpoint/request/refusals.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant now{seconds{100}};
constexpr duration tick = duration{1};
constexpr int max_attempts = 4;
constexpr attempt_end all_failures[] = {attempt_end::refused, attempt_end::unsent, attempt_end::cut,
                                        attempt_end::server_error};

/// A cut first attempt of a request that may run twice and has time left.
failed_attempt plain_failure()
{
    return {.how = attempt_end::cut, .may_have_run = true, .expires_at = now + seconds{1}};
}

failure_step step_after(const failed_attempt& it)
{
    return cedarpoint::step_after(now, it, max_attempts);
}

TEST(a_request_that_failed, is_sent_again_only_if_attempts_are_left)
{
    auto it = plain_failure();
    it.attempts = max_attempts - 1;
    EXPECT_EQ(step_after(it), failure_step::retry);
    it.attempts = max_attempts;
    EXPECT_EQ(step_after(it), failure_step::refuse);
    it.attempts = max_attempts + 1;
    EXPECT_EQ(step_after(it), failure_step::refuse);
}

TEST(a_request_that_failed, is_sent_again_only_before_its_time_to_give_up)
{
    auto it = plain_failure();
    it.expires_at = now + tick;
    EXPECT_EQ(step_after(it), failure_step::retry);
    it.expires_at = now;
    EXPECT_EQ(step_after(it), failure_step::refuse);
    it.expires_at = now - tick;
    EXPECT_EQ(step_after(it), failure_step::refuse);
}

TEST(a_request_that_failed, is_sent_again_only_if_it_may_run_twice_or_did_not_run)
{
    auto it = plain_failure();
    for (const auto how : all_failures) {
        it.how = how;
        it.repeatable = true;
        EXPECT_EQ(step_after(it), failure_step::retry) << static_cast<int>(how);
        it.repeatable = false;
        const bool ran_nothing = how == attempt_end::refused || how == attempt_end::unsent;
        EXPECT_EQ(step_after(it), ran_nothing ? failure_step::retry : failure_step::refuse)
            << static_cast<int>(how);
    }
}

TEST(a_request_that_failed, goes_on_after_a_part_of_its_answer_only_if_it_is_resumable)
{
    auto it = plain_failure();
    it.answered = true;
    EXPECT_EQ(step_after(it), failure_step::refuse);
    it.resumable = true;
    EXPECT_EQ(step_after(it), failure_step::resume);
    it.repeatable = false;
    EXPECT_EQ(step_after(it), failure_step::refuse);
}

TEST(a_request_that_failed, goes_on_with_its_answer_also_after_its_time_to_give_up)
{
    auto it = plain_failure();
    it.answered = true;
    it.resumable = true;
    it.expires_at = now - seconds{10};
    EXPECT_EQ(step_after(it), failure_step::resume);
    it.attempts = max_attempts;
    EXPECT_EQ(step_after(it), failure_step::refuse);
}

/// Compares every combination of the rule's inputs with the conditions written as one formula.
TEST(a_request_that_failed, follows_the_rule_in_every_combination)
{
    int rows = 0;
    for (const auto how : all_failures) {
        for (unsigned bits = 0; bits < 32; ++bits) {
            const bool repeatable = (bits & 1U) != 0;
            const bool resumable = (bits & 2U) != 0;
            const bool answered = (bits & 4U) != 0;
            const bool late = (bits & 8U) != 0;
            const bool last = (bits & 16U) != 0;
            const failed_attempt it{.how = how,
                                    .attempts = last ? max_attempts : 1,
                                    .repeatable = repeatable,
                                    .resumable = resumable,
                                    .answered = answered,
                                    .expires_at = late ? now : now + tick};
            const bool ran_nothing = how == attempt_end::refused || how == attempt_end::unsent;
            const bool again = (ran_nothing || repeatable) && (!answered || resumable) &&
                               (!late || answered) && !last;
            const auto expected = !again     ? failure_step::refuse
                                  : answered ? failure_step::resume
                                             : failure_step::retry;
            EXPECT_EQ(step_after(it), expected) << static_cast<int>(how) << " " << bits;
            ++rows;
        }
    }
    EXPECT_EQ(rows, 128);
}

TEST(a_request_given_up_after_a_failure, gets_an_error_that_says_whether_it_ran)
{
    auto it = plain_failure();
    it.may_have_run = false;
    auto error = refusal_after(it);
    EXPECT_EQ(error.code, error_code::no_group);
    EXPECT_EQ(error.ran, run_state::not_run);
    EXPECT_EQ(error.retry_after, milliseconds{1000});

    it.may_have_run = true;
    error = refusal_after(it);
    EXPECT_EQ(error.code, error_code::upstream_failed);
    EXPECT_EQ(error.ran, run_state::may_have_run);
    EXPECT_EQ(error.retry_after, std::nullopt);

    it.answered = true;
    error = refusal_after(it);
    EXPECT_EQ(error.code, error_code::answer_cut);
    EXPECT_EQ(error.ran, run_state::ran_cut);
}

TEST(a_request_given_up_in_the_queue, gets_an_error_that_says_whether_it_ran)
{
    EXPECT_EQ(refusals::no_capacity_in_time().code, error_code::no_group);
    EXPECT_EQ(refusals::no_capacity_in_time().retry_after, milliseconds{1000});
    EXPECT_EQ(refusals::deadline_passed_in_queue().code, error_code::deadline_passed);
    EXPECT_EQ(refusals::queue_full().code, error_code::queue_full);
    EXPECT_EQ(refusals::displaced().code, error_code::queue_full);
    for (const auto& why : {refusals::no_capacity_in_time(), refusals::deadline_passed_in_queue(),
                            refusals::queue_full(), refusals::displaced()}) {
        SCOPED_TRACE(why.text);
        queued_request it;
        EXPECT_EQ(refusal_in_queue(why, it).code, why.code);
        EXPECT_EQ(refusal_in_queue(why, it).ran, run_state::not_run);
        EXPECT_EQ(refusal_in_queue(why, it).retry_after, why.retry_after);
        it.may_have_run = true;
        EXPECT_EQ(refusal_in_queue(why, it).code, why.code);
        EXPECT_EQ(refusal_in_queue(why, it).ran, run_state::may_have_run);
        it.answered = true;
        EXPECT_EQ(refusal_in_queue(why, it).code, error_code::answer_cut);
        EXPECT_EQ(refusal_in_queue(why, it).ran, run_state::ran_cut);
    }
}

TEST(the_pause_before_a_retry, doubles_with_each_attempt_five_times_at_most)
{
    constexpr std::uint64_t no_salt = 0;
    const milliseconds expected[] = {milliseconds{50},   milliseconds{100}, milliseconds{200},
                                     milliseconds{400},  milliseconds{800}, milliseconds{1600},
                                     milliseconds{1600}, milliseconds{1600}};
    int attempts = 0;
    for (const auto pause : expected) {
        ++attempts;
        EXPECT_EQ(retry_pause(attempts, no_salt), pause) << attempts;
    }
}

TEST(the_pause_before_a_retry, is_spread_over_its_upper_half)
{
    const auto salt_of = [](std::uint64_t part) { return part << 8U; };
    EXPECT_EQ(retry_pause(1, salt_of(0)), milliseconds{50});
    EXPECT_EQ(retry_pause(1, salt_of(500)), milliseconds{75});
    EXPECT_EQ(retry_pause(1, salt_of(999)), duration{99'950});
    EXPECT_EQ(retry_pause(1, salt_of(1000)), milliseconds{50});
}

/// A dispatcher with one account, one model and two groups with 1000 slots each.
class two_groups : public testing::Test {
protected:
    two_groups()
    {
        configuration config;
        account_spec account;
        account.id = client_account_id{"acme"};
        account.key_sha256 = "key";
        account.priorities = {priority_class::normal};
        account.max_in_flight = 1000;
        config.accounts.push_back(account);
        config.routes.push_back({model_id{"m"}, {}, {pool_id{"p"}}});
        dispatcher_.set_configuration(std::make_shared<const configuration>(config));
        target_table all;
        for (const auto* name : {"p/0", "p/1"}) {
            target place;
            place.upstream = runner_id{name};
            place.group = group_id{name};
            place.pool = pool_id{"p"};
            place.slots = 1000;
            place.valid_until = now + seconds{100};
            all.push_back(place);
        }
        (void)dispatcher_.set_targets(now, std::move(all));
    }

    /// Submits a request that its first runner refuses; the breaker does not count a refusal as a
    /// failure. Returns true if the request is sent again.
    bool is_sent_again(int n)
    {
        request_facts facts;
        facts.id = request_id{fmt::format("r{}", n)};
        facts.key_digest = "key";
        facts.model = model_id{"m"};
        const auto first = last_start(dispatcher_.submit(now, facts));
        const auto second =
            last_start(dispatcher_.attempt_ended(now, first.value(), attempt_end::refused));
        if (second) {
            (void)dispatcher_.attempt_ended(now, *second, attempt_end::complete);
        }
        return second.has_value();
    }

private:
    static std::optional<attempt_id> last_start(const actions& all)
    {
        std::optional<attempt_id> out;
        for (const auto& each : all) {
            if (const auto* start = std::get_if<start_attempt>(&each)) {
                out = start->attempt;
            }
        }
        return out;
    }

    dispatcher dispatcher_{failure_domain_id{"home"}, {}};
};

TEST_F(two_groups, send_a_failed_request_again_only_if_the_budget_allows_it)
{
    // The budget starts with 20 tokens, each first attempt adds 0.1 and each retry takes 1. Before
    // the retry of request n (from 0) it holds 20 - 0.9 n tokens: at least 1 up to n = 21.
    int again = 0;
    while (again < 100 && is_sent_again(again)) {
        ++again;
    }
    EXPECT_EQ(again, 22);
}

/// A dispatcher with one account, one model and one target with a single slot.
class one_slot : public testing::Test {
protected:
    one_slot()
    {
        configuration config;
        account_spec account;
        account.id = client_account_id{"acme"};
        account.key_sha256 = "key";
        account.priorities = {priority_class::normal, priority_class::alarm};
        account.max_in_flight = 10'000;
        config.accounts.push_back(account);
        config.routes.push_back({model_id{"m"}, {}, {pool_id{"p"}}});
        dispatch.set_configuration(std::make_shared<const configuration>(config));
        target place;
        place.upstream = runner_id{"p/0"};
        place.group = group_id{"p/0"};
        place.pool = pool_id{"p"};
        place.slots = 1;
        place.valid_until = now + seconds{100};
        (void)dispatch.set_targets(now, {place});
    }
    actions submit(const std::string& id, priority_class priority = priority_class::normal)
    {
        request_facts facts;
        facts.id = request_id{id};
        facts.priority = priority;
        facts.key_digest = "key";
        facts.model = model_id{"m"};
        return dispatch.submit(now, facts);
    }
    /// Submits a request that is sent immediately.
    void begin_attempt(const std::string& id)
    {
        for (const auto& each : submit(id)) {
            if (const auto* start = std::get_if<start_attempt>(&each)) {
                begun = start->attempt;
            }
        }
        dispatch.attempt_sending(begun);
    }
    void fill_queue()
    {
        for (std::size_t n = 0; n < wait_queue::max_length; ++n) {
            (void)submit(fmt::format("waiting {}", n));
        }
    }
    static std::optional<refusal> refusal_of(const std::string& id, const actions& in)
    {
        for (const auto& each : in) {
            if (const auto* it = std::get_if<refuse>(&each); it && it->request.str() == id) {
                return it->error;
            }
        }
        return {};
    }
    attempt_id begun;
    dispatcher dispatch{failure_domain_id{"home"}, {}};
};

TEST_F(one_slot, refuses_no_request_as_not_run_that_may_have_run_when_its_queue_is_full)
{
    begin_attempt("first");
    fill_queue();
    // A waiting request takes the slot.
    (void)dispatch.attempt_ended(now, begun, attempt_end::cut);
    (void)submit("the last place");
    ASSERT_EQ(dispatch.queued(), wait_queue::max_length);
    const auto error = refusal_of("first", dispatch.tick(now + seconds{2}));
    ASSERT_TRUE(error.has_value()) << "the queue is full when its retry is due";
    EXPECT_EQ(error->code, error_code::queue_full);
    EXPECT_EQ(error->ran, run_state::may_have_run);
}

TEST_F(one_slot, refuses_no_request_as_not_run_that_may_have_run_when_it_is_displaced)
{
    begin_attempt("first");
    for (std::size_t n = 1; n < wait_queue::max_length; ++n) {
        (void)submit(fmt::format("waiting {}", n), priority_class::alarm);
    }
    (void)submit("in the slot", priority_class::alarm);
    // A waiting request takes the slot.
    (void)dispatch.attempt_ended(now, begun, attempt_end::cut);
    // The retry is delayed by at most 100 ms.
    EXPECT_FALSE(refusal_of("first", dispatch.tick(now + milliseconds{200})).has_value());
    ASSERT_EQ(dispatch.queued(), wait_queue::max_length)
        << "its retry has the last place in the queue";
    const auto error = refusal_of("first", submit("more urgent", priority_class::alarm));
    ASSERT_TRUE(error.has_value()) << "a request of a higher class displaces it";
    EXPECT_EQ(error->code, error_code::queue_full);
    EXPECT_EQ(error->ran, run_state::may_have_run);
}

TEST_F(one_slot, tells_whether_a_request_exceeded_its_own_deadline_or_the_longest_wait)
{
    begin_attempt("first");
    request_facts facts;
    facts.id = request_id{"with a deadline"};
    facts.key_digest = "key";
    facts.model = model_id{"m"};
    facts.deadline = now + seconds{5};
    (void)dispatch.submit(now, facts);
    (void)submit("without one");
    const auto own = refusal_of("with a deadline", dispatch.tick(now + seconds{5}));
    ASSERT_TRUE(own.has_value());
    EXPECT_EQ(own->code, error_code::deadline_passed);
    EXPECT_EQ(own->ran, run_state::not_run);
    const auto longest = refusal_of("without one", dispatch.tick(now + seconds{30}));
    ASSERT_TRUE(longest.has_value());
    EXPECT_EQ(longest->code, error_code::no_group);
    EXPECT_EQ(longest->ran, run_state::not_run);
}

} // namespace
} // namespace cedarpoint
