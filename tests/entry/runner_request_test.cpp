// How a caller's request is serialized for a runner, and the responses that the daemon generates.

#include "entry/own_answer.h"
#include "entry/runner_request.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

http_request from_caller()
{
    http_request out{"POST", "/ask/x?q=1", {}, "why"};
    out.fields.add("Host", "h.example");
    out.fields.add("X-Cedarpoint-Request-Id", "r1");
    out.fields.add("Authorization", "Bearer k1");
    out.fields.add("X-Cedarpoint-Tenant", "somebody-else");
    out.fields.add("X-Cedarpoint-Expect-Instance", "i-9");
    out.fields.add("Connection", "keep-alive");
    out.fields.add("Transfer-Encoding", "chunked");
    out.fields.add("X-Own", "kept");
    return out;
}

runner_request own_part()
{
    runner_request out;
    out.time_left = milliseconds{1500};
    out.expected_runner = runner_id{"i-1"};
    return out;
}

TEST(a_request_to_a_runner, is_the_callers_but_for_what_the_daemon_writes)
{
    auto own = own_part();
    own.account = client_account_id{"till"};
    own.priority = 3;
    own.resume_after = "12";
    EXPECT_EQ(serialize(from_caller(), own, installed_platform().headers()),
              "POST /ask/x?q=1 HTTP/1.1\r\n"
              "Host: h.example\r\n"
              "X-Cedarpoint-Request-Id: r1\r\n"
              "X-Own: kept\r\n"
              "X-Cedarpoint-Deadline-Ms: 1500\r\n"
              "X-Cedarpoint-Expect-Instance: i-1\r\n"
              "X-Cedarpoint-Tenant: till\r\n"
              "X-Cedarpoint-Request-Priority: 3\r\n"
              "Last-Event-Id: 12\r\n"
              "Content-Length: 3\r\n"
              "\r\n"
              "why");
}

TEST(a_request_to_a_runner, has_a_length_unless_it_can_have_no_body)
{
    const auto& names = installed_platform().headers();
    auto request = from_caller();
    request.body.clear();
    EXPECT_NE(serialize(request, own_part(), names).find("Content-Length: 0"), std::string::npos);
    request.method = "GET";
    EXPECT_EQ(serialize(request, own_part(), names).find("Content-Length"), std::string::npos);
}

TEST(an_answer_of_the_daemon, invites_a_retry_only_where_nothing_has_run)
{
    for (const auto kind :
         {own_answer::no_configuration, own_answer::not_run, own_answer::expired_unrun}) {
        EXPECT_EQ(shape_of(kind).status, 503);
        EXPECT_FALSE(shape_of(kind).retry_after.empty());
    }
    for (const auto kind : {own_answer::no_route, own_answer::unknown_key,
                            own_answer::outcome_unknown, own_answer::expired}) {
        EXPECT_NE(shape_of(kind).status, 503);
        EXPECT_TRUE(shape_of(kind).retry_after.empty());
    }
}

TEST(an_answer_of_the_daemon, tells_a_quarantined_request_from_a_service_without_room)
{
    const auto& shape = shape_of(own_answer::quarantined);
    EXPECT_EQ(shape.status, 429);
    EXPECT_NE(shape.wire_text.find("this request"), std::string_view::npos);
    EXPECT_GT(std::stoi(std::string{shape.retry_after}), 60);
}

TEST(an_answer_of_the_daemon, stands_in_its_table_under_its_own_kind)
{
    for (int kind = 0; kind <= static_cast<int>(own_answer::quarantined); ++kind) {
        EXPECT_EQ(shape_of(static_cast<own_answer>(kind)).kind, static_cast<own_answer>(kind));
    }
}

} // namespace
} // namespace cedarpoint
