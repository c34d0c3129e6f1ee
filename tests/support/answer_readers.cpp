#include "support/answer_readers.h"

#include "daemon/site.h"
#include "io/upstream_call.h"

#include <gtest/gtest.h>

#include <utility>

namespace cedarpoint::testing_support {

exchange_request plain_exchange()
{
    exchange_request out;
    out.bytes.head = "GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n";
    return out;
}

answer_outcome exchange(runner_connection& connection, exchange_request request)
{
    answer_outcome out;
    bool done = false;
    exchange_handlers handlers;
    handlers.on_head = [&](const http_head& head) { out.status = head.status; };
    handlers.on_body = [&](const std::string& bytes) { out.body += bytes; };
    handlers.on_end = [&](exchange_end how, const reason&) {
        out.complete = how == exchange_end::complete;
        done = true;
    };
    connection.start(std::move(request), std::move(handlers));
    EXPECT_TRUE(wait_until([&] { return done; }));
    if (!done) {
        connection.cancel(); // its handlers refer to this call
    }
    return out;
}

answer_outcome call_once(const endpoint& to)
{
    answer_outcome out;
    bool done = false;
    http_request request;
    request.method = "GET";
    request.target = "/x";
    upstream_call call{to,
                       request,
                       {},
                       {[] {}, [&](const http_head& head) { out.status = head.status; },
                        [&](const std::string& bytes) { out.body += bytes; },
                        [&](call_end how, const reason&) {
                            out.complete = how == call_end::complete;
                            done = true;
                        }}};
    call.start();
    EXPECT_TRUE(wait_until([&] { return done; }));
    return out;
}

} // namespace cedarpoint::testing_support
