#include "daemon/site.h"
#include "io/http_listener.h"

#include <gtest/gtest.h>

#include <string>

namespace cedarpoint {
namespace {

using testing_support::raw_caller;
using testing_support::status_of;

/// Sends `beginning`, and then bytes until the listener answers.
int status_of_endless(const std::string& beginning)
{
    caller_limits limits;
    limits.max_head_bytes = 8192;
    bool handled = false;
    http_listener listener{
        limits, [&](const http_request&, const std::shared_ptr<http_reply>&) { handled = true; }};
    reason why;
    EXPECT_TRUE(listener.start({"127.0.0.1", 0}, why));
    raw_caller caller{listener.address()};
    caller.send(beginning);
    constexpr int blocks = 100;
    for (int n = 0; n < blocks && caller.received().empty(); ++n) {
        caller.send(std::string(1024, 'x'));
        testing_support::pass_time(milliseconds{5});
    }
    EXPECT_FALSE(handled);
    return status_of(caller.received());
}

const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against requests that are held without any bound, because only heads and bodies have one.
TEST(a_request_with_an_endless_chunk_extension, is_refused)
{
    EXPECT_EQ(status_of_endless(head + "5;a="), 431);
}

TEST(a_request_with_an_endless_trailer, is_refused)
{
    EXPECT_EQ(status_of_endless(head + "5\r\nhello\r\n0\r\nX-End: "), 431);
}

} // namespace
} // namespace cedarpoint
