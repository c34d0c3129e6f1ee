// Guarantees: a planned stop cuts off no request, and an upstream that is leaving gets no new
// requests after a few seconds.

#include "daemon/site.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

TEST(a_planned_stop, finishes_running_requests_and_refuses_the_rest_as_not_run)
{
    site fixture{{.slots = 2}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller running{fixture.callers()};
    running.send(chat_request({.tokens = 100}));
    ASSERT_TRUE(running.wait_for("t1 "));
    raw_caller idle{fixture.callers()};
    raw_caller pipelined{fixture.callers()};
    pipelined.send(chat_request({.tokens = 90}) + chat_request({.tokens = 1}));
    ASSERT_TRUE(pipelined.wait_for("t1 "));
    raw_caller queued{fixture.callers()};
    queued.send(chat_request({.tokens = 1, .text = "queued"}));
    ASSERT_TRUE(wait_until([&] { return fixture.running_daemon().requests().queued() == 1; }));

    fixture.running_daemon().stop();
    EXPECT_FALSE(fixture.running_daemon().is_ready());
    ASSERT_TRUE(queued.wait_for("shutting_down"));
    EXPECT_NE(queued.received().find("\"ran\":\"not run\""), std::string::npos);
    ASSERT_TRUE(running.wait_for("[DONE]"));
    ASSERT_TRUE(pipelined.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(running.received()).size(), 100U);
    EXPECT_EQ(tokens_in(pipelined.received()).size(), 90U);
    ASSERT_TRUE(wait_until([&] { return fixture.exit_code() == 0; }));
    EXPECT_EQ(fixture.arrivals("queued"), 0);
}

TEST(a_planned_stop, resumes_a_stream_elsewhere_when_its_group_crashes_meanwhile)
{
    site fixture{{.groups = 2, .stop_bound = milliseconds{30'000}}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller running{fixture.callers()};
    running.send(chat_request({.tokens = 200}));
    ASSERT_TRUE(running.wait_for("t5 "));
    fixture.running_daemon().stop();
    const bool on_first = fixture.engine(fixture.engine_index_of("pool/0")).in_flight() == 1;
    fixture.kill_engine(fixture.engine_index_of(on_first ? "pool/0" : "pool/1"));
    ASSERT_TRUE(running.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(running.received()).size(), 200U);
}

TEST(a_drained_group, gets_no_new_work_and_finishes_its_own)
{
    site fixture{{.groups = 2}};
    ASSERT_TRUE(fixture.wait_serving());
    const std::string session = "Cedarpoint-Session: s1\r\n";
    raw_caller running{fixture.callers()};
    running.send(chat_request({.tokens = 300, .headers = session}));
    ASSERT_TRUE(running.wait_for("t1 "));
    const bool on_first = fixture.engine(fixture.engine_index_of("pool/0")).in_flight() == 1;
    const std::string group = on_first ? "pool/0" : "pool/1";
    auto& engine = fixture.engine(fixture.engine_index_of(group));
    ASSERT_TRUE(fixture.drain("group", group, true));
    ASSERT_TRUE(wait_until([&] {
        const auto* it = fixture.running_daemon().control().domain().groups().find(group_id{group});
        return it == nullptr || it->state != group_state::serving;
    }));
    pass_time(milliseconds{500}); // the targets follow the group's state within 50 ms
    const int requests_before = engine.in_flight() + engine.served();
    for (int n = 0; n < 10; ++n) {
        raw_caller other{fixture.callers()};
        other.send(chat_request({.tokens = 1, .headers = session}));
        ASSERT_TRUE(other.wait_for("[DONE]"));
    }
    EXPECT_EQ(engine.in_flight() + engine.served(), requests_before);
    ASSERT_TRUE(running.wait_for("[DONE]"));
    EXPECT_EQ(tokens_in(running.received()).size(), 300U);
}

TEST(a_leaving_node, has_its_group_drained)
{
    site fixture{{.groups = 1, .spares = 1}};
    ASSERT_TRUE(fixture.wait_serving());
    const auto leaving_index = fixture.engine_index_of("pool/0");
    fixture.engine(leaving_index).set_leaving(true);
    ASSERT_TRUE(wait_until([&] {
        const auto* it =
            fixture.running_daemon().control().domain().groups().find(group_id{"pool/0"});
        return it == nullptr || it->state != group_state::serving;
    }));
    // A new group on the four other nodes replaces it.
    ASSERT_TRUE(wait_until([&] {
        const auto* it =
            fixture.running_daemon().control().domain().groups().find(group_id{"pool/0"});
        return it != nullptr && it->state == group_state::serving &&
               fixture.engine_index_of("pool/0") != leaving_index;
    }));
    raw_caller caller{fixture.callers()};
    caller.send(chat_request({}));
    EXPECT_TRUE(caller.wait_for("[DONE]"));
}

} // namespace
} // namespace cedarpoint
