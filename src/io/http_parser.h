#pragma once

#include "io/http_message.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Why a message could not be read.
enum class http_fault {
    none,
    malformed,
    folded_line,    ///< a line continues the one before it
    unknown_coding, ///< the body has a transfer coding other than "chunked"
    head_too_large,
    body_too_large,
    cut
};

/// Returns why an answer with this fault is not valid.
[[nodiscard]] const char* describe(http_fault fault);

/// Parses the requests of a connection, one at a time. Does no I/O.
class http_request_parser {
public:
    http_request_parser(std::size_t max_head, std::size_t max_body);
    ~http_request_parser();
    http_request_parser(const http_request_parser&) = delete;
    http_request_parser& operator=(const http_request_parser&) = delete;

    /// Parses bytes and returns how many were used. The rest belongs to the next request.
    std::size_t put(std::string_view bytes);
    [[nodiscard]] http_fault fault() const;
    [[nodiscard]] bool is_started() const;
    [[nodiscard]] bool is_head_done() const;
    [[nodiscard]] bool is_done() const;
    /// Returns true if the caller waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// Returns true if the connection stays open after the answer.
    [[nodiscard]] bool keeps_alive() const;
    [[nodiscard]] bool is_version_11() const;
    /// Returns how many bytes are to be reserved for the body by what is known of its length.
    /// Precondition: `is_head_done()`.
    [[nodiscard]] std::size_t body_bytes_needed() const;
    /// Makes room for a body of this many bytes.
    void reserve_body(std::size_t bytes);
    /// Returns the request as far as it was read and prepares the parser for the next one.
    http_request take();

private:
    struct impl;
    void reset();

    std::size_t max_head_;
    std::size_t max_body_;
    std::unique_ptr<impl> impl_;
};

/// Parses one answer of a connection. Body bytes are available as they arrive. Does no I/O.
class http_response_parser {
public:
    http_response_parser(std::size_t max_head, bool head_only);
    ~http_response_parser();
    http_response_parser(const http_response_parser&) = delete;
    http_response_parser& operator=(const http_response_parser&) = delete;

    /// Parses bytes and returns how many were used. Bytes after a complete answer are not used.
    std::size_t put(std::string_view bytes);
    /// Reports that the peer closed the connection. This completes an answer without a length; any
    /// other incomplete answer is cut.
    void put_eof();
    [[nodiscard]] http_fault fault() const;
    [[nodiscard]] bool is_head_done() const;
    [[nodiscard]] bool is_done() const;
    /// Returns the head, without the trailers. Precondition: `is_head_done()`.
    [[nodiscard]] const http_head& head() const;
    /// Returns the body bytes parsed since the previous call.
    std::string take_body();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cedarpoint
