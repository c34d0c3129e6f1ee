// Invalid input gets a clear error and does not affect other requests.

#include "daemon/site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

/// Returns the answer of the callers' listener to raw bytes.
std::string answer_to(site& fixture, const std::string& bytes)
{
    raw_caller caller{fixture.callers()};
    caller.send(bytes);
    caller.wait_for("\r\n\r\n");
    wait_until([&] {
        return caller.received().find("}}") != std::string::npos ||
               caller.socket().state() == QAbstractSocket::UnconnectedState;
    });
    return caller.received();
}

std::string status_line(const std::string& text)
{
    return text.substr(0, text.find("\r\n"));
}

TEST(malformed_http, gets_a_400_and_a_closed_connection)
{
    site fixture{{}};
    for (const std::string& bytes : {
             std::string{"garbage\r\n\r\n"},
             std::string{"GET / HTTP/9.9\r\n\r\n"},
             std::string{
                 "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n"},
             std::string{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
                         "5\r\nContent-Length: 6\r\n\r\nabcdef"},
             std::string{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
                         "5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
             std::string{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                         "chunked\r\n\r\nzz\r\n"},
             std::string{"GET / HTTP/1.1\r\nBad\x01Name: x\r\n\r\n"},
         }) {
        raw_caller caller{fixture.callers()};
        caller.send(bytes);
        EXPECT_TRUE(caller.wait_closed()) << bytes;
        EXPECT_EQ(status_line(caller.received()), "HTTP/1.1 400 Bad Request") << bytes;
        EXPECT_NE(caller.received().find("\"ran\":\"not run\""), std::string::npos) << bytes;
    }
}

TEST(oversized_requests, are_refused_before_they_are_read_completely)
{
    site::options options;
    options.limits.max_body_bytes = 10'000;
    options.limits.max_head_bytes = 2'000;
    site fixture{options};
    EXPECT_EQ(
        status_of(answer_to(
            fixture,
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 400000000\r\n\r\n")),
        413);
    EXPECT_EQ(status_of(answer_to(fixture, "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a'))),
              431);
    std::string chunked =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int n = 0; n < 20; ++n) {
        chunked += "400\r\n" + std::string(1024, 'a') + "\r\n";
    }
    EXPECT_EQ(status_of(answer_to(fixture, chunked)), 413);
}

TEST(expect_100_continue, is_answered_before_the_body_is_sent)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    raw_caller caller{fixture.callers()};
    const auto request = chat_request({.tokens = 2, .headers = "Expect: 100-continue\r\n"});
    const auto body_start = request.find("\r\n\r\n") + 4;
    caller.send(request.substr(0, body_start));
    ASSERT_TRUE(caller.wait_for("100 Continue"));
    caller.send(request.substr(body_start));
    EXPECT_TRUE(caller.wait_for("[DONE]"));
}

TEST(bodies, that_are_malformed_are_refused)
{
    site fixture{{}};
    const std::string nested = std::string(5000, '[') + std::string(5000, ']');
    for (const std::string& body :
         {std::string{"{"}, std::string{"[]"}, std::string{"{\"model\":7,\"messages\":[1]}"},
          std::string{"{\"model\":\"m\"}"}, std::string{"{\"model\":\"m\",\"messages\":[]}"},
          std::string{"{\"model\":\"m\",\"messages\":\"hi\"}"},
          std::string{"{\"model\":\"m\",\"stream\":1,\"messages\":[1]}"},
          std::string{"{\"model\":\"\xff\",\"messages\":[1]}"},
          "{\"model\":\"m\",\"messages\":" + nested + "}"}) {
        const auto answer =
            answer_to(fixture, plain_request("POST", "/v1/chat/completions", "", body));
        EXPECT_EQ(status_of(answer), 400) << body.substr(0, 60);
        EXPECT_NE(answer.find("\"ran\":\"not run\""), std::string::npos);
    }
}

TEST(headers, with_invalid_values_are_refused)
{
    site fixture{{}};
    for (const auto* header :
         {"Cedarpoint-Priority: urgent", "Cedarpoint-Deadline-Ms: soon",
          "Cedarpoint-Deadline-Ms: -1", "Cedarpoint-Deadline-Ms: 99999999999999",
          "Cedarpoint-Not-Repeatable: yes", "Cedarpoint-Session: a b"}) {
        const auto answer =
            answer_to(fixture, chat_request({.headers = std::string{header} + "\r\n"}));
        EXPECT_EQ(status_of(answer), 400) << header;
    }
}

TEST(unknown_keys_and_paths, are_refused)
{
    site fixture{{}};
    EXPECT_EQ(status_of(answer_to(fixture, chat_request({.key = "wrong"}))), 401);
    EXPECT_EQ(status_of(answer_to(fixture, "GET /shop/x HTTP/1.1\r\nHost: x\r\n\r\n")), 401);
    EXPECT_EQ(status_of(answer_to(fixture, plain_request("GET", "/nowhere", "", ""))), 404);
    EXPECT_EQ(status_of(answer_to(fixture, plain_request("GET", "/shopping", "", ""))), 404);
    EXPECT_EQ(status_of(answer_to(fixture, plain_request("GET", "/v1/chat/completions", "", ""))),
              400);
}

TEST(operators_without_the_key, are_refused_and_change_nothing)
{
    site fixture{{.operator_key = "secret"}}; // the key that `site` itself sends
    EXPECT_EQ(fixture.running_daemon().control().domain().in_force().value, 1U);
    const auto status_for = [&](const std::string& header, const std::string& path) {
        raw_caller caller{fixture.operators()};
        caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + header +
                    "\r\n");
        caller.wait_closed();
        return status_of(caller.received());
    };
    EXPECT_EQ(status_for("", "/v1/status"), 401);
    EXPECT_EQ(status_for("Authorization: Bearer wrong\r\n", "/v1/configuration"), 401);
    EXPECT_EQ(status_for("Authorization: Bearer secret\r\n", "/v1/status"), 200);
    EXPECT_EQ(status_for("", "/healthz"), 200);
    raw_caller unauthenticated{fixture.operators()};
    unauthenticated.send(
        "POST /v1/stop HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    unauthenticated.wait_closed();
    EXPECT_EQ(status_of(unauthenticated.received()), 401);
    EXPECT_FALSE(fixture.running_daemon().is_stopping());
}

TEST(slow_senders, time_out)
{
    site::options options;
    options.limits.head_timeout = milliseconds{150};
    options.limits.body_timeout = milliseconds{150};
    site fixture{options};
    raw_caller caller{fixture.callers()};
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost:");
    ASSERT_TRUE(caller.wait_closed());
    EXPECT_EQ(status_of(caller.received()), 408);
    raw_caller silent{fixture.callers()};
    EXPECT_TRUE(silent.wait_closed());
}

TEST(connections_over_the_limit, are_refused)
{
    site::options options;
    options.limits.max_connections = 20;
    site fixture{options};
    ASSERT_TRUE(fixture.wait_serving());
    std::vector<std::unique_ptr<raw_caller>> connections;
    for (int n = 0; n < 20; ++n) {
        connections.push_back(std::make_unique<raw_caller>(fixture.callers()));
    }
    ASSERT_TRUE(wait_until([&] { return fixture.running_daemon().callers().port != 0; }));
    raw_caller excess{fixture.callers()};
    ASSERT_TRUE(excess.wait_closed());
    EXPECT_EQ(status_of(excess.received()), 503);
    connections.front()->send(chat_request({}));
    EXPECT_TRUE(connections.front()->wait_for("[DONE]"));
}

TEST(keys_and_prompts, are_not_logged)
{
    testing::internal::CaptureStdout();
    {
        site fixture{{}};
        fixture.wait_serving();
        raw_caller caller{fixture.callers()};
        caller.send(chat_request({.text = "a private prompt"}));
        caller.wait_for("[DONE]");
        answer_to(fixture, chat_request({.text = "a private prompt", .key = "guess"}));
    }
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find("event=decision"), std::string::npos);
    EXPECT_EQ(log.find("secret"), std::string::npos);
    EXPECT_EQ(log.find("guess"), std::string::npos);
    EXPECT_EQ(log.find("private prompt"), std::string::npos);
}

} // namespace
} // namespace cedarpoint
