#pragma once

#include "io/http_message.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Why a message could not be read.
enum class http_fault { none, malformed, head_too_large, body_too_large, cut };

/// Reads requests off a connection, one at a time. Does no I/O.
class http_request_parser {
public:
    http_request_parser(std::size_t max_head, std::size_t max_body);
    ~http_request_parser();
    http_request_parser(const http_request_parser&) = delete;
    http_request_parser& operator=(const http_request_parser&) = delete;

    /// Takes bytes; returns how many it used. What is left belongs to the next request.
    std::size_t put(std::string_view bytes);
    [[nodiscard]] http_fault fault() const;
    [[nodiscard]] bool is_started() const;
    [[nodiscard]] bool is_head_done() const;
    [[nodiscard]] bool is_done() const;
    /// The caller waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// The caller speaks 1.1 and did not ask to close.
    [[nodiscard]] bool keeps_alive() const;
    [[nodiscard]] bool is_version_11() const;
    /// The request, once done; the parser is then ready for the next one.
    http_request take();

private:
    struct impl;
    void reset();

    std::size_t max_head_;
    std::size_t max_body_;
    std::unique_ptr<impl> impl_;
};

/// Reads one answer off a connection. Body bytes come out as they arrive. Does no I/O.
class http_response_parser {
public:
    http_response_parser(std::size_t max_head, bool head_only);
    ~http_response_parser();
    http_response_parser(const http_response_parser&) = delete;
    http_response_parser& operator=(const http_response_parser&) = delete;

    /// Takes bytes; returns how many it used. Those behind a whole answer stay with the caller.
    std::size_t put(std::string_view bytes);
    /// The peer closed: the end of an answer without a length, or a cut.
    void put_eof();
    [[nodiscard]] http_fault fault() const;
    [[nodiscard]] bool is_head_done() const;
    [[nodiscard]] bool is_done() const;
    [[nodiscard]] http_head head() const;
    /// Body bytes that have come since the last call.
    std::string take_body();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cedarpoint
