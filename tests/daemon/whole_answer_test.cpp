// Guarantee: every caller receives the complete answer to its own request and to no other.

#include "daemon/site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <numeric>

namespace cedarpoint {
namespace {

using namespace testing_support;

std::vector<int> count_to(int n)
{
    std::vector<int> out(static_cast<std::size_t>(n));
    std::iota(out.begin(), out.end(), 0);
    return out;
}

TEST(whole_answer, is_sent_streamed_and_unstreamed)
{
    site at{{}};
    ASSERT_TRUE(at.wait_serving());
    raw_caller streamed{at.callers()};
    streamed.send(chat_request({}));
    ASSERT_TRUE(streamed.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(streamed.received()), count_to(8));
    raw_caller whole{at.callers()};
    whole.send(chat_request({.stream = false}));
    ASSERT_TRUE(whole.wait_for("t7 "));
    EXPECT_EQ(status_of(whole.received()), 200);
}

TEST(whole_answer, keeps_its_order_among_pipelined_requests)
{
    site at{{}};
    ASSERT_TRUE(at.wait_serving());
    raw_caller caller{at.callers()};
    // One write with a slow stream, a quick service call and another stream.
    caller.send(chat_request({.tokens = 20}) + plain_request("GET", "/shop/stock", "", "") +
                chat_request({.tokens = 3}) +
                plain_request("GET", "/v1/models", "Connection: close\r\n", ""));
    ASSERT_TRUE(caller.wait_closed());
    const auto& text = caller.received();
    const auto first_end = text.find("[DONE]");
    const auto shop = text.find("/shop/stock");
    const auto second_end = text.find("[DONE]", first_end + 1);
    const auto models = text.find("\"list\"");
    EXPECT_LT(first_end, shop);
    EXPECT_LT(shop, second_end);
    EXPECT_LT(second_end, models);
    ASSERT_NE(models, std::string::npos);
    auto expected = count_to(20);
    const auto more = count_to(3);
    expected.insert(expected.end(), more.begin(), more.end());
    EXPECT_EQ(tokens_in(text), expected);
}

TEST(whole_answer, goes_to_each_of_many_callers_at_once)
{
    // Qt's HTTP client would open only six connections to a runner; all of these must progress.
    constexpr int callers = 200;
    site at{{.slots = callers}};
    ASSERT_TRUE(at.wait_serving());
    std::vector<std::unique_ptr<raw_caller>> all;
    for (int n = 0; n < callers; ++n) {
        all.push_back(std::make_unique<raw_caller>(at.callers()));
        all.back()->send(chat_request({.tokens = 5 + n % 7}));
    }
    const auto first = at.first_of("pool/0");
    EXPECT_TRUE(wait_until(
        [&] { return at.engine(first).served() + at.engine(first).in_flight() >= callers; }));
    for (int n = 0; n < callers; ++n) {
        ASSERT_TRUE(all[static_cast<std::size_t>(n)]->wait_for("[DONE]"));
        EXPECT_EQ(tokens_in(all[static_cast<std::size_t>(n)]->received()), count_to(5 + n % 7));
    }
}

TEST(whole_answer, is_resumed_when_its_group_crashes_mid_stream)
{
    site at{{.groups = 2}};
    ASSERT_TRUE(at.wait_serving());
    raw_caller caller{at.callers()};
    caller.send(chat_request({.tokens = 400}));
    ASSERT_TRUE(caller.wait_for("t20 "));
    const bool on_first = at.engine(at.first_of("pool/0")).in_flight() == 1;
    at.kill_engine(at.first_of(on_first ? "pool/0" : "pool/1"));
    ASSERT_TRUE(caller.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(caller.received()), count_to(400));
}

TEST(whole_answer, never_contains_a_truncated_event)
{
    for (const auto stage :
         {fault_stage::after_request, fault_stage::after_head, fault_stage::mid_answer,
          fault_stage::before_end, fault_stage::server_error}) {
        site at{{.groups = 2}};
        ASSERT_TRUE(at.wait_serving());
        at.engine(at.first_of("pool/0")).fail_next(stage, 1);
        at.engine(at.first_of("pool/1")).fail_next(stage, 1);
        raw_caller caller{at.callers()};
        caller.send(chat_request({.tokens = 30}));
        ASSERT_TRUE(caller.wait_for("[DONE]")) << static_cast<int>(stage);
        EXPECT_EQ(tokens_in(caller.received()), count_to(30)) << static_cast<int>(stage);
        EXPECT_EQ(caller.received().find("half"), std::string::npos);
    }
}

TEST(whole_answer, without_a_stream_is_complete_or_an_error)
{
    site at{{.groups = 1}};
    ASSERT_TRUE(at.wait_serving());
    at.engine(at.first_of("pool/0")).fail_next(fault_stage::mid_answer, 1);
    raw_caller caller{at.callers()};
    caller.send(chat_request({.stream = false, .headers = "Cedarpoint-Not-Repeatable: true\r\n"}));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(status_of(caller.received()), 502);
    EXPECT_EQ(caller.received().find("half"), std::string::npos);
}

TEST(whole_answer, of_another_request_is_not_passed_on)
{
    // An answer with another request's id shows that the upstream mixed up its answers.
    http_listener mixed{caller_limits{},
                        [](const http_request& request, const std::shared_ptr<http_reply>& reply) {
                            http_head head{200, {}};
                            if (request.target.starts_with("/shop")) {
                                head.fields.add("X-Request-Id", "somebody-else/1");
                            }
                            reply->send(std::move(head), "not yours");
                        }};
    reason why;
    ASSERT_TRUE(mixed.start({"127.0.0.1", 0}, why));
    site at{{}};
    auto text = at.file(1, "second", 1);
    const auto old = at.shop().address().str();
    text.replace(text.find(old), old.size(), mixed.address().str());
    ASSERT_TRUE(at.apply(text));
    ASSERT_TRUE(wait_until([&] { return at.it().control().domain().in_force().value == 2; }));
    raw_caller caller{at.callers()};
    ASSERT_TRUE(wait_until([&] {
        return at.it().requests().config()->accounts.size() == 1 &&
               at.it().requests().config()->change.str() == "second";
    }));
    caller.send(plain_request("POST", "/shop/buy", "", "x"));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(caller.received().find("not yours"), std::string::npos);
}

TEST(slow_callers, throttle_the_runner_in_bounded_memory)
{
    site::options how;
    how.engine.token_ms = 0;
    how.limits.max_buffered_bytes = 64 << 10;
    site at{how};
    ASSERT_TRUE(at.wait_serving());
    raw_caller slow{at.callers()};
    slow.socket().setReadBufferSize(1024);
    constexpr int tokens = 60'000; // about 4 MB
    slow.send(chat_request({.tokens = tokens}));
    raw_caller quick{at.callers()};
    quick.send(chat_request({.tokens = 50}));
    ASSERT_TRUE(quick.wait_for("[DONE]"));
    auto& engine = at.engine(at.first_of("pool/0"));
    EXPECT_EQ(engine.in_flight(), 1); // the slow caller's, which can't be complete yet
    slow.socket().setReadBufferSize(0);
    ASSERT_TRUE(slow.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(slow.received()), count_to(tokens));
}

TEST(callers_that_disconnect, have_their_stream_cancelled_and_their_slot_freed)
{
    site at{{.slots = 1}};
    ASSERT_TRUE(at.wait_serving());
    raw_caller caller{at.callers()};
    caller.send(chat_request({.tokens = 100'000}));
    ASSERT_TRUE(caller.wait_for("t2 "));
    raw_caller next{at.callers()};
    next.send(chat_request({.tokens = 2}));
    ASSERT_TRUE(wait_until([&] { return at.it().requests().queued() == 1; }));
    caller.close();
    ASSERT_TRUE(next.wait_for("[DONE]"));
    EXPECT_EQ(at.engine(at.first_of("pool/0")).cancelled(), 1);
}

} // namespace
} // namespace cedarpoint
