// Invalid input gets a clear error and does not affect other requests.

#include "daemon/site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

/// Returns the answer of the callers' listener to raw bytes.
std::string answer_to(site& at, const std::string& bytes)
{
    raw_caller caller{at.callers()};
    caller.send(bytes);
    caller.wait_for("\r\n\r\n");
    wait_until([&] {
        return caller.received().find("}}") != std::string::npos ||
               caller.socket().state() == QAbstractSocket::UnconnectedState;
    });
    return caller.received();
}

std::string head_line(const std::string& text)
{
    return text.substr(0, text.find("\r\n"));
}

TEST(malformed_http, gets_a_400_and_a_closed_connection)
{
    site at{{}};
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
        raw_caller caller{at.callers()};
        caller.send(bytes);
        EXPECT_TRUE(caller.wait_closed()) << bytes;
        EXPECT_EQ(head_line(caller.received()), "HTTP/1.1 400 Bad Request") << bytes;
        EXPECT_NE(caller.received().find("\"ran\":\"not run\""), std::string::npos) << bytes;
    }
}

TEST(oversized_requests, are_refused_before_they_are_read_completely)
{
    site::options how;
    how.limits.max_body_bytes = 10'000;
    how.limits.max_head_bytes = 2'000;
    site at{how};
    EXPECT_EQ(
        status_of(answer_to(
            at,
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 400000000\r\n\r\n")),
        413);
    EXPECT_EQ(status_of(answer_to(at, "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a'))), 431);
    std::string chunked =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int n = 0; n < 20; ++n) {
        chunked += "400\r\n" + std::string(1024, 'a') + "\r\n";
    }
    EXPECT_EQ(status_of(answer_to(at, chunked)), 413);
}

TEST(expect_100_continue, is_answered_before_the_body_is_sent)
{
    site at{{}};
    ASSERT_TRUE(at.wait_serving());
    raw_caller caller{at.callers()};
    const auto whole = chat_request({.tokens = 2, .headers = "Expect: 100-continue\r\n"});
    const auto body_at = whole.find("\r\n\r\n") + 4;
    caller.send(whole.substr(0, body_at));
    ASSERT_TRUE(caller.wait_for("100 Continue"));
    caller.send(whole.substr(body_at));
    EXPECT_TRUE(caller.wait_for("[DONE]"));
}

TEST(bodies, that_are_malformed_are_refused)
{
    site at{{}};
    const std::string deep = std::string(5000, '[') + std::string(5000, ']');
    for (const std::string& body :
         {std::string{"{"}, std::string{"[]"}, std::string{"{\"model\":7,\"messages\":[1]}"},
          std::string{"{\"model\":\"m\"}"}, std::string{"{\"model\":\"m\",\"messages\":[]}"},
          std::string{"{\"model\":\"m\",\"messages\":\"hi\"}"},
          std::string{"{\"model\":\"m\",\"stream\":1,\"messages\":[1]}"},
          std::string{"{\"model\":\"\xff\",\"messages\":[1]}"},
          "{\"model\":\"m\",\"messages\":" + deep + "}"}) {
        const auto answer = answer_to(at, plain_request("POST", "/v1/chat/completions", "", body));
        EXPECT_EQ(status_of(answer), 400) << body.substr(0, 60);
        EXPECT_NE(answer.find("\"ran\":\"not run\""), std::string::npos);
    }
}

TEST(headers, with_invalid_values_are_refused)
{
    site at{{}};
    for (const auto* line : {"Cedarpoint-Priority: urgent", "Cedarpoint-Deadline-Ms: soon",
                             "Cedarpoint-Deadline-Ms: -1", "Cedarpoint-Deadline-Ms: 99999999999999",
                             "Cedarpoint-Not-Repeatable: yes", "Cedarpoint-Session: a b"}) {
        const auto answer = answer_to(at, chat_request({.headers = std::string{line} + "\r\n"}));
        EXPECT_EQ(status_of(answer), 400) << line;
    }
}

TEST(unknown_keys_and_paths, are_refused)
{
    site at{{}};
    EXPECT_EQ(status_of(answer_to(at, chat_request({.key = "wrong"}))), 401);
    EXPECT_EQ(status_of(answer_to(at, "GET /shop/x HTTP/1.1\r\nHost: x\r\n\r\n")), 401);
    EXPECT_EQ(status_of(answer_to(at, plain_request("GET", "/nowhere", "", ""))), 404);
    EXPECT_EQ(status_of(answer_to(at, plain_request("GET", "/shopping", "", ""))), 404);
    EXPECT_EQ(status_of(answer_to(at, plain_request("GET", "/v1/chat/completions", "", ""))), 400);
}

TEST(operators_without_the_key, are_refused_and_change_nothing)
{
    site at{{.operator_key = "secret"}}; // sent with the calls of `site` itself
    EXPECT_EQ(at.it().control().domain().in_force().value, 1U);
    const auto status_for = [&](const std::string& line, const std::string& path) {
        raw_caller caller{at.operators()};
        caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + line +
                    "\r\n");
        caller.wait_closed();
        return status_of(caller.received());
    };
    EXPECT_EQ(status_for("", "/v1/status"), 401);
    EXPECT_EQ(status_for("Authorization: Bearer wrong\r\n", "/v1/configuration"), 401);
    EXPECT_EQ(status_for("Authorization: Bearer secret\r\n", "/v1/status"), 200);
    EXPECT_EQ(status_for("", "/healthz"), 200);
    raw_caller stranger{at.operators()};
    stranger.send(
        "POST /v1/stop HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stranger.wait_closed();
    EXPECT_EQ(status_of(stranger.received()), 401);
    EXPECT_FALSE(at.it().is_stopping());
}

TEST(slow_senders, time_out)
{
    site::options how;
    how.limits.head_timeout = milliseconds{150};
    how.limits.body_timeout = milliseconds{150};
    site at{how};
    raw_caller caller{at.callers()};
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost:");
    ASSERT_TRUE(caller.wait_closed());
    EXPECT_EQ(status_of(caller.received()), 408);
    raw_caller silent{at.callers()};
    EXPECT_TRUE(silent.wait_closed());
}

TEST(connections_over_the_limit, are_refused)
{
    site::options how;
    how.limits.max_connections = 20;
    site at{how};
    ASSERT_TRUE(at.wait_serving());
    std::vector<std::unique_ptr<raw_caller>> all;
    for (int n = 0; n < 20; ++n) {
        all.push_back(std::make_unique<raw_caller>(at.callers()));
    }
    ASSERT_TRUE(wait_until([&] { return at.it().callers().port != 0; }));
    raw_caller over{at.callers()};
    ASSERT_TRUE(over.wait_closed());
    EXPECT_EQ(status_of(over.received()), 503);
    all.front()->send(chat_request({}));
    EXPECT_TRUE(all.front()->wait_for("[DONE]"));
}

TEST(keys_and_prompts, are_not_logged)
{
    testing::internal::CaptureStdout();
    {
        site at{{}};
        at.wait_serving();
        raw_caller caller{at.callers()};
        caller.send(chat_request({.text = "a private prompt"}));
        caller.wait_for("[DONE]");
        answer_to(at, chat_request({.text = "a private prompt", .key = "guess"}));
    }
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find("event=decision"), std::string::npos);
    EXPECT_EQ(log.find("secret"), std::string::npos);
    EXPECT_EQ(log.find("guess"), std::string::npos);
    EXPECT_EQ(log.find("private prompt"), std::string::npos);
}

} // namespace
} // namespace cedarpoint
