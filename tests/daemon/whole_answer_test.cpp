// Guarantee: every caller receives the complete answer to its own request and to no other.

#include "daemon/site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <numeric>

namespace cedarpoint {
namespace {

using namespace testing_support;

std::vector<int> numbers_below(int n)
{
    std::vector<int> out(static_cast<std::size_t>(n));
    std::iota(out.begin(), out.end(), 0);
    return out;
}

TEST(whole_answer, is_sent_streamed_and_unstreamed)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller streamed{fixture.callers()};
    streamed.send(chat_request({}));
    ASSERT_TRUE(streamed.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(streamed.received()), numbers_below(8));
    raw_caller unstreamed{fixture.callers()};
    unstreamed.send(chat_request({.stream = false}));
    ASSERT_TRUE(unstreamed.wait_for("t7 "));
    EXPECT_EQ(status_of(unstreamed.received()), 200);
}

TEST(whole_answer, keeps_its_order_among_pipelined_requests)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller caller{fixture.callers()};
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
    auto expected = numbers_below(20);
    const auto more = numbers_below(3);
    expected.insert(expected.end(), more.begin(), more.end());
    EXPECT_EQ(tokens_in(text), expected);
}

TEST(whole_answer, goes_to_each_of_many_callers_at_once)
{
    // Qt's HTTP client would open only six connections to a runner; all of these must progress.
    constexpr int callers = 200;
    site fixture{{.slots = callers}};
    ASSERT_TRUE(fixture.wait_serving());
    std::vector<std::unique_ptr<raw_caller>> connections;
    for (int n = 0; n < callers; ++n) {
        connections.push_back(std::make_unique<raw_caller>(fixture.callers()));
        connections.back()->send(chat_request({.tokens = 5 + n % 7}));
    }
    const auto index = fixture.engine_index_of("pool/0");
    EXPECT_TRUE(wait_until([&] {
        return fixture.engine(index).served() + fixture.engine(index).in_flight() >= callers;
    }));
    for (int n = 0; n < callers; ++n) {
        ASSERT_TRUE(connections[static_cast<std::size_t>(n)]->wait_for("[DONE]"));
        EXPECT_EQ(tokens_in(connections[static_cast<std::size_t>(n)]->received()),
                  numbers_below(5 + n % 7));
    }
}

TEST(whole_answer, is_resumed_when_its_group_crashes_mid_stream)
{
    site fixture{{.groups = 2}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller caller{fixture.callers()};
    caller.send(chat_request({.tokens = 400}));
    ASSERT_TRUE(caller.wait_for("t20 "));
    const bool on_first = fixture.engine(fixture.engine_index_of("pool/0")).in_flight() == 1;
    fixture.kill_engine(fixture.engine_index_of(on_first ? "pool/0" : "pool/1"));
    ASSERT_TRUE(caller.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(caller.received()), numbers_below(400));
}

TEST(whole_answer, never_contains_a_truncated_event)
{
    for (const auto stage :
         {fault_stage::after_request, fault_stage::after_head, fault_stage::mid_answer,
          fault_stage::before_end, fault_stage::server_error}) {
        site fixture{{.groups = 2}};
        ASSERT_TRUE(fixture.wait_serving());
        fixture.engine(fixture.engine_index_of("pool/0")).fail_next(stage, 1);
        fixture.engine(fixture.engine_index_of("pool/1")).fail_next(stage, 1);
        raw_caller caller{fixture.callers()};
        caller.send(chat_request({.tokens = 30}));
        ASSERT_TRUE(caller.wait_for("[DONE]")) << "stage " << static_cast<int>(stage);
        EXPECT_EQ(tokens_in(caller.received()), numbers_below(30))
            << "stage " << static_cast<int>(stage);
        EXPECT_EQ(caller.received().find("half"), std::string::npos);
    }
}

TEST(whole_answer, without_a_stream_is_complete_or_an_error)
{
    site fixture{{.groups = 1}};
    ASSERT_TRUE(fixture.wait_serving());
    fixture.engine(fixture.engine_index_of("pool/0")).fail_next(fault_stage::mid_answer, 1);
    raw_caller caller{fixture.callers()};
    caller.send(chat_request({.stream = false, .headers = "Cedarpoint-Not-Repeatable: true\r\n"}));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(status_of(caller.received()), 502);
    EXPECT_EQ(caller.received().find("half"), std::string::npos);
}

TEST(whole_answer, of_another_request_is_not_passed_on)
{
    // An answer with another request's id shows that the upstream mixed up its answers.
    http_listener mismatched{
        caller_limits{}, [](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            http_head head{200, {}};
            if (request.target.starts_with("/shop")) {
                head.fields.add("X-Request-Id", "somebody-else/1");
            }
            reply->send(std::move(head), "not yours");
        }};
    reason why;
    ASSERT_TRUE(mismatched.start({"127.0.0.1", 0}, why));
    site fixture{{}};
    auto text = fixture.declarative_file(1, "second", 1);
    const auto old_address = fixture.shop().address().str();
    text.replace(text.find(old_address), old_address.size(), mismatched.address().str());
    ASSERT_TRUE(fixture.apply(text));
    ASSERT_TRUE(wait_until(
        [&] { return fixture.running_daemon().control().domain().in_force().value == 2; }));
    raw_caller caller{fixture.callers()};
    ASSERT_TRUE(wait_until([&] {
        return fixture.running_daemon().requests().config()->accounts.size() == 1 &&
               fixture.running_daemon().requests().config()->change.str() == "second";
    }));
    caller.send(plain_request("POST", "/shop/buy", "", "x"));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(caller.received().find("not yours"), std::string::npos);
}

TEST(slow_callers, throttle_the_runner_in_bounded_memory)
{
    site::options options;
    options.engine.token_ms = 0;
    options.limits.max_buffered_bytes = 64 << 10;
    site fixture{options};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller slow{fixture.callers()};
    slow.socket().setReadBufferSize(1024);
    constexpr int tokens = 60'000; // about 4 MB
    slow.send(chat_request({.tokens = tokens}));
    raw_caller quick{fixture.callers()};
    quick.send(chat_request({.tokens = 50}));
    ASSERT_TRUE(quick.wait_for("[DONE]"));
    auto& engine = fixture.engine(fixture.engine_index_of("pool/0"));
    EXPECT_EQ(engine.in_flight(), 1); // the slow caller's, which can't be complete yet
    slow.socket().setReadBufferSize(0);
    ASSERT_TRUE(slow.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(slow.received()), numbers_below(tokens));
}

TEST(callers_that_disconnect, have_their_stream_cancelled_and_their_slot_freed)
{
    site fixture{{.slots = 1}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller caller{fixture.callers()};
    caller.send(chat_request({.tokens = 100'000}));
    ASSERT_TRUE(caller.wait_for("t2 "));
    raw_caller next{fixture.callers()};
    next.send(chat_request({.tokens = 2}));
    ASSERT_TRUE(wait_until([&] { return fixture.running_daemon().requests().queued() == 1; }));
    caller.close();
    ASSERT_TRUE(next.wait_for("[DONE]"));
    EXPECT_EQ(fixture.engine(fixture.engine_index_of("pool/0")).cancelled(), 1);
}

} // namespace
} // namespace cedarpoint
