#include "cedarpoint/quarantine/crash_ledger.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

const request_fingerprint cause{1, 1};
const request_fingerprint other{2, 2};

instant at(int ms)
{
    return instant{} + seconds{1000} + milliseconds{ms};
}

crash_observation crash(const char* runner, int sent_ms, int ended_ms, const char* daemon = "d-1")
{
    return {runner_id{runner}, at(sent_ms), at(ended_ms), daemon_id{daemon}, request_id{"r"}};
}

class crash_ledger_test : public testing::Test {
protected:
    [[nodiscard]] int count(const request_fingerprint& request) const
    {
        return ledger.count(request, {});
    }

    crash_ledger ledger{4};
};

TEST_F(crash_ledger_test, counts_runners_that_end_one_after_the_other)
{
    EXPECT_EQ(count(cause), 0);
    ledger.add(cause, crash("a", 0, 50));
    EXPECT_EQ(count(cause), 1);
    ledger.add(cause, crash("b", 50, 100));
    ledger.add(cause, crash("c", 400, 450));
    EXPECT_EQ(count(cause), 3);
    EXPECT_EQ(count(other), 0);

    // The same runner crashes again after a restart.
    ledger.add(cause, crash("a", 5000, 5050));
    EXPECT_EQ(count(cause), 4);
}

// Guards against two crashes of a runner that restarts quickly being counted as one, which would
// let a crashing request reach more runners.
TEST_F(crash_ledger_test, counts_a_runner_that_is_back_within_a_second_and_ends_again)
{
    ledger.add(cause, crash("a", 0, 50, "d-1"));
    ledger.add(cause, crash("a", 720, 765, "d-2"));
    EXPECT_EQ(count(cause), 2);
}

// Guards against the same failure with delayed reports: crashes are distinguished by the times of
// the connections that they broke.
TEST_F(crash_ledger_test, distinguishes_crashes_of_one_runner_by_the_connections_that_they_broke)
{
    const auto crash_of = [](int connected_ms, int sent_ms, int ended_ms, const char* daemon) {
        auto out = crash("a", sent_ms, ended_ms, daemon);
        out.connected_at = at(connected_ms);
        return out;
    };
    // Three daemons see the first crash; one of them sent on its connection after the crash.
    ledger.add(cause, crash_of(-900, 0, 50, "d-1"));
    ledger.add(cause, crash_of(-20, 10, 51, "d-2"));
    ledger.add(cause, crash_of(-5000, 300, 300, "d-3"));
    EXPECT_EQ(count(cause), 1);

    // The runner is back after 100 ms and crashes again at once.
    ledger.add(cause, crash_of(150, 150, 190, "d-2"));
    EXPECT_EQ(count(cause), 2);
    ledger.add(cause, crash_of(300, 310, 350, "d-1"));
    EXPECT_EQ(count(cause), 3);
}

// Guards against a crash counting twice when it is reported again by a message that was delayed
// less than the first one.
TEST_F(crash_ledger_test, counts_an_observation_once_when_its_first_report_is_delayed)
{
    auto seen = crash("a", 3000, 3050);
    seen.connected_at = at(2900);
    seen.serial = 7;
    ledger.add(cause, seen);
    seen = crash("a", 0, 50);
    seen.connected_at = at(-100);
    seen.serial = 7;
    ledger.add(cause, seen);
    EXPECT_EQ(count(cause), 1);
    EXPECT_EQ(ledger.find(cause)->crashes.front().ended_at, at(50));
}

TEST_F(crash_ledger_test, counts_runners_that_end_together_once)
{
    // A rack fails; the request was in flight at three of its runners.
    ledger.add(cause, crash("a", 0, 90));
    ledger.add(cause, crash("b", 20, 91));
    ledger.add(cause, crash("c", 40, 89));
    EXPECT_EQ(count(cause), 1);
}

// Guards against quarantining a request that lost one runner and was sent at once to others which
// had ended in the same moment, on connections whose ends had not been read yet.
TEST_F(crash_ledger_test, counts_ends_once_that_are_closer_than_clocks_agree)
{
    ledger.add(cause, crash("a", 0, 90));
    ledger.add(cause, crash("b", 90, 91));
    ledger.add(cause, crash("c", 91, 92));
    EXPECT_EQ(count(cause), 1);
    ledger.add(cause, crash("d", 92, 130));
    EXPECT_EQ(count(cause), 2);
}

TEST_F(crash_ledger_test, merges_in_any_order_and_counts_what_several_daemons_saw_once)
{
    ledger.add(cause, crash("b", 200, 250, "d-2"));
    ledger.add(cause, crash("a", 0, 50, "d-1"));
    ledger.add(cause, crash("a", 10, 51, "d-3"));
    ledger.add(cause, crash("b", 200, 250, "d-2"));
    EXPECT_EQ(count(cause), 2);
    ASSERT_NE(ledger.find(cause), nullptr);
    EXPECT_EQ(ledger.find(cause)->crashes.size(), 2U);
}

TEST_F(crash_ledger_test, uses_the_latest_times_when_a_daemon_reports_a_crash_again)
{
    // Times are sent as ages, so they seem later in a report that was delayed.
    ledger.add(cause, crash("a", 30, 80));
    crash_history history;
    history.crashes = {crash("a", 0, 50), crash("b", 50, 100)};
    ledger.merge(cause, history);
    EXPECT_EQ(count(cause), 2) << "the times within one report are consistent";
}

TEST_F(crash_ledger_test, an_answer_clears_a_request_of_what_was_before)
{
    ledger.add(cause, crash("a", 0, 50));
    ledger.add(cause, crash("b", 50, 100));
    ledger.on_answer(at(200), cause);
    EXPECT_EQ(count(cause), 0);

    ledger.add(cause, crash("c", 60, 150));
    EXPECT_EQ(count(cause), 0) << "reported late, but from before the answer";
    ledger.add(cause, crash("d", 300, 350));
    EXPECT_EQ(count(cause), 1);
}

TEST_F(crash_ledger_test, an_answer_that_is_reported_before_the_crash_counts)
{
    ledger.on_answer(at(200), cause);
    ledger.add(cause, crash("a", 0, 50));
    EXPECT_EQ(count(cause), 0);
}

TEST_F(crash_ledger_test, a_crash_that_is_explained_does_not_count_for_others)
{
    for (const auto& request : {cause, other}) {
        ledger.add(request, crash("a", 0, 50));
        ledger.add(request, crash("b", 50, 100));
    }
    ledger.add(other, crash("x", 500, 550));
    EXPECT_EQ(ledger.count(other, {}), 3);
    EXPECT_EQ(ledger.count(other, {cause}), 1);
    EXPECT_EQ(ledger.count(cause, {cause}), 2);
}

TEST_F(crash_ledger_test, evicts_the_request_whose_latest_crash_is_the_oldest)
{
    for (std::uint64_t n = 10; n < 14; ++n) {
        ledger.add(request_fingerprint{n, n},
                   crash("a", static_cast<int>(n) * 10, static_cast<int>(n) * 10 + 5));
    }
    ledger.add(cause, crash("b", 400, 450));
    EXPECT_EQ(ledger.histories().size(), 4U);
    EXPECT_EQ(ledger.find(request_fingerprint{10, 10}), nullptr);
    EXPECT_NE(ledger.find(cause), nullptr);
}

} // namespace
} // namespace cedarpoint
