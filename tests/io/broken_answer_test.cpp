// Answers that break the rules of HTTP/1.1, and unusual ones that do not. Both clients are tested:
// the reused connections of a fleet's daemons and the single calls of `serve` and the command line.

#include "io/http_parser.h"
#include "io/runner_connection.h"
#include "support/answer_forms.h"
#include "support/answer_readers.h"
#include "support/raw_runner.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

using namespace testing_support;

constexpr std::size_t max_head = 65536;
const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Passes an answer to a parser in parts and reports the end of the connection after it.
class divided_answer {
public:
    explicit divided_answer(bool head_only = false) : parser{max_head, head_only} {}
    void put(std::string_view bytes)
    {
        parser.put(bytes);
        body += parser.take_body();
    }
    void put_each_byte(std::string_view bytes)
    {
        for (const char& it : bytes) {
            put({&it, 1});
        }
    }

    http_response_parser parser;
    std::string body;
};

/// Calls `check` with the answer in two parts, for each place between them, and byte by byte.
template <class Check>
void at_each_division(const std::string& bytes, const Check& check)
{
    for (std::size_t first = 1; first < bytes.size(); ++first) {
        SCOPED_TRACE(first);
        divided_answer it;
        it.put(std::string_view{bytes}.substr(0, first));
        it.put(std::string_view{bytes}.substr(first));
        check(it);
    }
    SCOPED_TRACE("byte by byte");
    divided_answer it;
    it.put_each_byte(bytes);
    check(it);
}

void expect_broken(divided_answer& it, const answer_form& form)
{
    it.parser.put_eof();
    EXPECT_NE(it.parser.fault(), http_fault::none);
    EXPECT_FALSE(it.parser.is_done());
    EXPECT_EQ(it.parser.is_head_done(), form.has_sound_head);
}

void expect_sound(const divided_answer& it)
{
    EXPECT_EQ(it.parser.fault(), http_fault::none);
    EXPECT_TRUE(it.parser.is_done());
    EXPECT_EQ(it.body, form_body);
}

// Guards against a broken answer that is accepted because it arrives in certain parts.
TEST(a_broken_answer, is_refused_wherever_it_is_divided)
{
    for (const auto& form : broken_answers()) {
        SCOPED_TRACE(form.name);
        at_each_division(form.bytes, [&](divided_answer& it) { expect_broken(it, form); });
    }
}

TEST(an_unusual_answer, is_whole_wherever_it_is_divided)
{
    for (const auto& form : unusual_answers()) {
        SCOPED_TRACE(form.name);
        at_each_division(form.bytes, expect_sound);
    }
    for (const auto& form : unframed_answers()) {
        SCOPED_TRACE(form.name);
        divided_answer it;
        it.put_each_byte(form.bytes);
        EXPECT_FALSE(it.parser.is_done());
        it.parser.put_eof();
        expect_sound(it);
    }
}

// Guards against a body that is taken for a part of the head.
TEST(a_body, may_have_lines_that_begin_with_a_blank)
{
    for (const std::string bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\na\r\n b\r\n ",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\na\r\n b\r\n \r\n0\r\n\r\n"}) {
        at_each_division(bytes, [](const divided_answer& it) {
            EXPECT_TRUE(it.parser.is_done());
            EXPECT_EQ(it.body, "a\r\n b\r\n ");
        });
    }
}

// Guards against refusing a head that only tells which coding a body would have had.
TEST(an_answer_without_a_body, may_have_any_coding)
{
    const std::string lines = "Transfer-Encoding: gzip, chunked\r\n\r\n";
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        divided_answer it;
        it.put(fmt::format("HTTP/1.1 {}\r\n{}", status, lines));
        EXPECT_TRUE(it.parser.is_done()) << status;
    }
    divided_answer to_head{true};
    to_head.put("HTTP/1.1 200 OK\r\n" + lines);
    EXPECT_TRUE(to_head.parser.is_done());
}

/// A way to read an answer.
struct answer_reader {
    const char* name;
    answer_outcome (*read)(const endpoint& to);
    bool is_reused; ///< the connection has carried an answer before
};

answer_outcome read_on_new_connection(const endpoint& to)
{
    runner_connection connection{to};
    return exchange(connection);
}

answer_outcome read_on_reused_connection(const endpoint& to)
{
    runner_connection connection{to};
    EXPECT_TRUE(exchange(connection).complete);
    EXPECT_TRUE(connection.is_reusable());
    return exchange(connection);
}

constexpr std::array<answer_reader, 3> readers{
    answer_reader{"new connection", &read_on_new_connection, false},
    answer_reader{"reused connection", &read_on_reused_connection, true},
    answer_reader{"single call", &call_once, false}};

answer_outcome play(const answer_reader& reader, const raw_runner::reply& reply)
{
    bool sends_sound_answer = reader.is_reused;
    raw_runner runner{[&](const http_request&) {
        return std::exchange(sends_sound_answer, false) ? raw_runner::reply{sound} : reply;
    }};
    return reader.read(runner.address());
}

// Guards against callers that get a broken answer, or wait for the end of one.
TEST(a_broken_answer, is_no_answer_to_any_reader)
{
    for (const auto& reader : readers) {
        SCOPED_TRACE(reader.name);
        for (const auto& form : broken_answers()) {
            SCOPED_TRACE(form.name);
            for (const bool closes : {true, false}) {
                SCOPED_TRACE(closes);
                const auto out = play(reader, {form.bytes, closes});
                EXPECT_EQ(out.status.has_value(), form.has_sound_head);
                EXPECT_FALSE(out.complete);
            }
        }
    }
}

TEST(an_unusual_answer, is_whole_to_any_reader)
{
    const auto expect_whole = [](const answer_outcome& out) {
        EXPECT_EQ(out.status, 200);
        EXPECT_EQ(out.body, form_body);
        EXPECT_TRUE(out.complete);
    };
    for (const auto& reader : readers) {
        SCOPED_TRACE(reader.name);
        for (const auto& form : unusual_answers()) {
            SCOPED_TRACE(form.name);
            expect_whole(play(reader, {form.bytes}));
        }
        for (const auto& form : unframed_answers()) {
            SCOPED_TRACE(form.name);
            expect_whole(play(reader, {form.bytes, true}));
        }
    }
}

class an_answer_to_another_request : public testing::Test {
protected:
    static answer_outcome read(const std::string& bytes)
    {
        raw_runner runner{[&](const http_request&) { return raw_runner::reply{bytes}; }};
        runner_connection connection{runner.address()};
        auto request = plain_exchange();
        request.id_header = "X-Cedarpoint-Request-Id";
        request.id = "r1";
        return exchange(connection, std::move(request));
    }
    const std::string skipped =
        "HTTP/1.1 200 OK\r\nX-Cedarpoint-Request-Id: r0\r\nContent-Length: 2\r\n\r\nno";
};

// Guards against a broken answer that is accepted because it follows a skipped one.
TEST_F(an_answer_to_another_request, is_followed_by_one_that_is_checked)
{
    for (const auto& form : broken_answers()) {
        SCOPED_TRACE(form.name);
        const auto out = read(skipped + form.bytes);
        EXPECT_EQ(out.status.has_value(), form.has_sound_head);
        EXPECT_FALSE(out.complete);
    }
    EXPECT_TRUE(read(skipped + unusual_answers().front().bytes).complete);
}

// Guards against skipping the answer to this request because a line was joined to its id.
TEST_F(an_answer_to_another_request, is_not_one_whose_id_is_folded)
{
    const auto out = read("HTTP/1.1 200 OK\r\nX-Cedarpoint-Request-Id: r1\r\n X-B: b\r\n"
                          "Content-Length: 4\r\n\r\nbody");
    EXPECT_FALSE(out.status);
    EXPECT_FALSE(out.complete);
}

} // namespace
} // namespace cedarpoint
