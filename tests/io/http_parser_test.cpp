// Answers as they arrive in parts.

#include "io/http_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {
namespace {

constexpr std::size_t max_head = 65536;

// Guards against an answer that is taken for malformed because its head arrives alone.
TEST(an_answer_in_two_parts, is_whole_wherever_it_is_divided)
{
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t first = 1; first < text.size(); ++first) {
        SCOPED_TRACE(first);
        http_response_parser parser{max_head, false};
        std::string rest = text.substr(0, first);
        rest.erase(0, parser.put(rest));
        EXPECT_EQ(parser.fault(), http_fault::none);
        EXPECT_FALSE(parser.is_done());
        auto body = parser.take_body();
        parser.put(rest + text.substr(first));
        body += parser.take_body();
        EXPECT_TRUE(parser.is_done());
        EXPECT_EQ(body, "hello");
    }
}

// Guards against trailers that are taken for fields of the head if they arrive together with it.
TEST(trailers, are_no_part_of_the_head_wherever_the_answer_is_divided)
{
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: a\r\n\r\n"
                             "5\r\nhello\r\n0\r\nX-A: b\r\nX-B: b\r\n\r\n";
    for (std::size_t first = 0; first < text.size(); ++first) {
        SCOPED_TRACE(first);
        http_response_parser parser{max_head, false};
        parser.put(text.substr(0, first));
        parser.put(text.substr(first));
        EXPECT_TRUE(parser.is_done());
        const auto head = parser.head();
        EXPECT_EQ(head.fields.values("X-A"), std::vector<std::string_view>{"a"});
        EXPECT_FALSE(head.fields.has("X-B"));
    }
}

} // namespace
} // namespace cedarpoint
