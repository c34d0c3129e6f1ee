#include "support/answer_forms.h"

#include <fmt/format.h>

#include <initializer_list>

namespace cedarpoint::testing_support {
namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string signature = "X-Cedarpoint-Instance-Signature: s\r\n";
const std::string id = "X-Cedarpoint-Request-Id: r1\r\n";
const std::string identity = signature + id;
const std::string length = "Content-Length: 4\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string end = "\r\n";
const std::string body = form_body;
const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
const std::string sound = ok + identity + length + end + body;

/// Returns an answer with these lines before its length.
std::string with_lines(const std::string& lines)
{
    return ok + identity + lines + length + end + body;
}

} // namespace

std::vector<answer_form> folded_answers()
{
    const std::string folded = "X-A: a\r\n X-B: b\r\n";
    return {
        {"blank", with_lines(folded)},
        {"tab", with_lines("X-A: a\r\n\tX-B: b\r\n")},
        {"several", with_lines("X-A: a\r\n b\r\n  c\r\n")},
        {"value on the next line", with_lines("X-A:\r\n a\r\n")},
        {"line of blanks", with_lines("X-A: a\r\n \t\r\n")},
        {"line of blanks after an empty value", with_lines("X-A:\r\n \r\n")},
        {"after the signature", ok + id + signature + " X-B: b\r\n" + length + end + body},
        {"after the id", ok + signature + id + " X-B: b\r\n" + length + end + body},
        {"after the length", ok + identity + length + " \r\n" + end + body},
        {"after the coding", ok + identity + chunked + " \r\n" + end + chunks},
        {"length", ok + identity + "X-A: a\r\n Content-Length: 4\r\n" + end + body},
        {"coding", ok + identity + "X-A: a\r\n\tTransfer-Encoding: chunked\r\n" + end + chunks},
        {"first line", ok + " X-A: a\r\n" + identity + length + end + body},
        {"without a body", "HTTP/1.1 204 No Content\r\n" + identity + folded + end},
        {"not found", "HTTP/1.1 404 Not Found\r\n" + identity + folded + length + end + body},
        {"unavailable", "HTTP/1.1 503 Unavailable\r\n" + identity + folded + length + end + body},
        {"interim answer", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + sound},
        {"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + with_lines(folded)},
        {"trailer", ok + identity + chunked + end + "4\r\nbody\r\n0\r\nX-T: t\r\n u\r\n\r\n", true},
        {"trailer after no chunk", ok + identity + chunked + end + "0\r\nX-T: t\r\n\tu\r\n\r\n",
         true},
        {"trailer's last line",
         ok + identity + chunked + end + "4\r\nbody\r\n0\r\nX-T: t\r\n \r\n\r\n", true},
    };
}

std::vector<answer_form> answers_in_unknown_codings()
{
    std::vector<answer_form> out;
    const auto add = [&](const std::string& name, const std::string& lines) {
        out.push_back({"chunks: " + name, ok + identity + lines + end + chunks});
        out.push_back({"plain: " + name, ok + identity + lines + end + body});
    };
    for (const std::string value :
         {"", " ", ",", "identity", "gzip", "xchunked", "chunkedx", "chunked, gzip",
          "chunked, chunked", "gzip, chunked", "identity, chunked", "chunked;q=1", "chunked;",
          "chunked x", "\"chunked\"", "chunked/1"}) {
        add(fmt::format("'{}'", value), "Transfer-Encoding: " + value + "\r\n");
    }
    add("two lines", "Transfer-Encoding: identity\r\n" + chunked);
    add("before a length", "Transfer-Encoding: gzip\r\n" + length);
    add("after a length", length + "Transfer-Encoding: gzip\r\n");
    out.push_back({"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + identity + chunked + end + chunks});
    return out;
}

std::vector<answer_form> answers_without_a_status()
{
    std::vector<answer_form> out;
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "2000", "20", "2",
                                     "+20", "-20", "2 0", " 200", "2x0", "0x2", ""}) {
        out.push_back({fmt::format("status '{}'", status),
                       fmt::format("HTTP/1.1 {} OK\r\n{}{}\r\nbody", status, identity, length)});
    }
    out.push_back({"NUL in the status",
                   std::string{"HTTP/1.1 2"} + '\0' + "0 OK\r\n" + identity + length + end + body});
    out.push_back({"no status", "HTTP/1.1\r\n" + identity + length + end + body});
    out.push_back({"in chunks", "HTTP/1.1 000 OK\r\n" + identity + chunked + end + chunks});
    out.push_back({"unframed", "HTTP/1.1 000 OK\r\n" + identity + end + body});
    return out;
}

std::vector<answer_form> answers_with_a_spoiled_name()
{
    std::vector<answer_form> out;
    for (const std::string name : {"X A", "X-A ", "X-A\t", "X\tA", "X\x01-A", "X\x7f-A", "X\xe9-A",
                                   "X(A", "X/A", "X@A", "X\"A", ""}) {
        out.push_back({fmt::format("name '{}'", name), with_lines(name + ": a\r\n")});
    }
    out.push_back({"NUL in a name", with_lines(std::string{"X"} + '\0' + "A: a\r\n")});
    out.push_back({"no colon", with_lines("X-A\r\n")});
    out.push_back({"name of the length", ok + identity + "Content-Length : 4\r\n" + end + body});
    out.push_back(
        {"name of the coding", ok + identity + "Transfer-Encoding : chunked\r\n" + end + chunks});
    out.push_back(
        {"name in an interim answer", "HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\n" + sound});
    out.push_back({"name of a trailer",
                   ok + identity + chunked + end + "4\r\nbody\r\n0\r\nX T: t\r\n\r\n", true});
    return out;
}

std::vector<answer_form> broken_answers()
{
    std::vector<answer_form> out;
    for (const auto& forms : {folded_answers(), answers_in_unknown_codings(),
                              answers_without_a_status(), answers_with_a_spoiled_name()}) {
        out.insert(out.end(), forms.begin(), forms.end());
    }
    return out;
}

std::vector<answer_form> unusual_answers()
{
    const auto in_chunks = [](const std::string& lines, const std::string& bytes) {
        return ok + identity + lines + end + bytes;
    };
    return {
        {"plain", sound},
        {"length twice", with_lines(length)},
        {"list of lengths", ok + identity + "Content-Length: 4, 4\r\n" + end + body},
        {"high byte in a value", with_lines("X-A: caf\xe9\r\n")},
        {"no reason phrase", "HTTP/1.1 200 \r\n" + identity + length + end + body},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + identity + length + end + body},
        {"empty values", with_lines("X-A:\r\nX-B: \r\nX-C:\t\r\n")},
        {"empty last value", ok + identity + length + "X-A:\r\n" + end + body},
        {"repeated lines", with_lines("X-A: a\r\nX-A: a\r\nX-A: b\r\n")},
        {"blanks around values", with_lines("X-A: \t a b\t \r\n")},
        {"chunks", in_chunks(chunked, chunks)},
        {"capital letters", in_chunks("Transfer-Encoding: Chunked\r\n", chunks)},
        {"blanks around the coding", in_chunks("Transfer-Encoding: \tchunked \r\n", chunks)},
        {"empty list elements", in_chunks("Transfer-Encoding: , chunked ,\r\n", chunks)},
        {"empty line of codings", in_chunks("Transfer-Encoding:\r\n" + chunked, chunks)},
        {"chunk extension", in_chunks(chunked, "4;a=b\r\nbody\r\n0 ;c=\" d\"\r\n\r\n")},
        {"trailer", in_chunks(chunked, "4\r\nbody\r\n0\r\nX-T:\r\nX-U: u v\r\n\r\n")},
        {"several chunks", in_chunks(chunked, "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")},
        {"interim answer", "HTTP/1.1 103 Early Hints\r\nLink:\r\n\r\n" + sound},
    };
}

std::vector<answer_form> unframed_answers()
{
    return {{"HTTP/1.1", ok + identity + end + body},
            {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + identity + end + body}};
}

} // namespace cedarpoint::testing_support
