#include "io/http_parser.h"

#include "io/http_syntax.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <bit>
#include <iterator>
#include <limits>
#include <optional>
#include <vector>

namespace cedarpoint {
namespace {

namespace http = boost::beast::http;

/// A body that grows with the bytes received and may be emptied between reads. Unlike Beast's
/// string body, it does not reserve memory for the length that a peer announces.
struct growing_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(http::header<is_request, Fields>& /*head*/, value_type& body) : body_{body}
        {
        }
        void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& ec)
        {
            ec = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it) {
                const boost::asio::const_buffer part = *it;
                body_.append(static_cast<const char*>(part.data()), part.size());
                n += part.size();
            }
            return n;
        }
        void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

http_fault fault_of(const boost::beast::error_code& ec)
{
    if (ec == http::error::header_limit) {
        return http_fault::head_too_large;
    }
    if (ec == http::error::body_limit) {
        return http_fault::body_too_large;
    }
    if (ec == http::error::partial_message || ec == http::error::end_of_stream) {
        return http_fault::cut;
    }
    return http_fault::malformed;
}

template <class Fields>
http_fields copy_fields(const Fields& in)
{
    http_fields out;
    for (const auto& it : in) {
        out.add(std::string{it.name_string()}, std::string{it.value()});
    }
    return out;
}

/// Largest part of a body without a known length that is read before more memory is reserved, in
/// bytes.
constexpr std::size_t body_step = 65536;

/// Statuses of final answers (RFC 9110, section 15).
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;

/// Returns whether a final answer on the same connection follows one with this status. A change of
/// protocols, 101, is never asked for.
constexpr bool is_interim(unsigned status)
{
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    return status >= first_interim && status < first_final_status && status != switching_protocols;
}

constexpr std::uint32_t limit32(std::size_t n)
{
    return n > std::numeric_limits<std::uint32_t>::max() ? std::numeric_limits<std::uint32_t>::max()
                                                         : static_cast<std::uint32_t>(n);
}

} // namespace

const char* describe(http_fault fault)
{
    switch (fault) {
    case http_fault::folded_line:
        return "a line of the answer's head or trailers is folded";
    case http_fault::unknown_coding:
        return "the answer's transfer coding is not known";
    case http_fault::head_too_large:
        return "the answer's head is too large";
    default:
        return "not a valid HTTP answer";
    }
}

struct http_request_parser::impl {
    http::request_parser<growing_body> parser;
    http_fault fault = http_fault::none;
    bool started = false;
};

http_request_parser::http_request_parser(std::size_t max_head, std::size_t max_body)
    : max_head_{max_head}, max_body_{max_body}
{
    reset();
}

http_request_parser::~http_request_parser() = default;

void http_request_parser::reset()
{
    impl_ = std::make_unique<impl>();
    impl_->parser.eager(true);
    impl_->parser.header_limit(limit32(max_head_));
    impl_->parser.body_limit(max_body_);
}

std::size_t http_request_parser::put(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !is_done() && impl_->fault == http_fault::none) {
        boost::beast::error_code ec;
        const auto n =
            impl_->parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
        impl_->started = true;
        used += n;
        if (ec == http::error::need_more) {
            break;
        }
        if (ec) {
            impl_->fault = fault_of(ec);
        }
    }
    return used;
}

http_fault http_request_parser::fault() const
{
    return impl_->fault;
}

bool http_request_parser::is_started() const
{
    return impl_->started;
}

bool http_request_parser::is_head_done() const
{
    return impl_->parser.is_header_done();
}

bool http_request_parser::is_done() const
{
    return impl_->parser.is_done();
}

bool http_request_parser::expects_continue() const
{
    if (!is_head_done()) {
        return false;
    }
    const auto field = impl_->parser.get()[http::field::expect];
    return equal_ignoring_case({field.data(), field.size()}, "100-continue");
}

bool http_request_parser::keeps_alive() const
{
    return impl_->parser.keep_alive();
}

bool http_request_parser::is_version_11() const
{
    return impl_->parser.get().version() >= 11;
}

std::size_t http_request_parser::body_bytes_needed() const
{
    if (const auto length = impl_->parser.content_length()) {
        return static_cast<std::size_t>(*length);
    }
    if (is_done()) {
        return impl_->parser.get().body().size();
    }
    // Doubles, so that few copies are made while it grows.
    return std::min(std::bit_ceil(impl_->parser.get().body().size() + body_step),
                    max_body_ + body_step);
}

void http_request_parser::reserve_body(std::size_t bytes)
{
    impl_->parser.get().body().reserve(bytes);
}

http_request http_request_parser::take()
{
    auto& message = impl_->parser.get();
    http_request out{std::string{message.method_string()},
                     std::string{message.target()},
                     copy_fields(message),
                     std::move(message.body()),
                     {},
                     {}};
    reset();
    return out;
}

struct http_response_parser::impl {
    impl(std::size_t max_head, bool head_only) : max_kept{max_head}, head_only{head_only}
    {
        expect_head();
    }

    /// Prepares for the head of the next answer.
    void expect_head()
    {
        parser.emplace();
        parser->skip(head_only);
        parser->header_limit(limit32(max_kept));
        // Not `boost::none`: the parser takes any length for too large then if the head arrives
        // alone.
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    }
    /// Parses the next part: lines of a head, some of a body, or trailers. Returns how many bytes
    /// were used.
    std::size_t parse_part(std::string_view bytes, boost::beast::error_code& ec)
    {
        const bool in_head = !parser->is_header_done();
        const auto n = parser->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        const bool in_trailers = !in_head && parser->is_done() && parser->chunked();
        if ((in_head || in_trailers) && has_folded_line(bytes.substr(0, n))) {
            fault = http_fault::folded_line;
        }
        else if (in_head) {
            current += n;
            check_head();
        }
        return n;
    }
    /// Accepts a head, or drops an interim answer, which a final one follows. A status that is none
    /// is a fault, and so is a body in an unknown transfer coding.
    void check_head()
    {
        if (!parser->is_header_done()) {
            return;
        }
        const auto status = parser->get().result_int();
        if (is_interim(status)) {
            interim += current;
            current = 0;
            expect_head();
            fault = interim > max_kept ? http_fault::head_too_large : fault;
        }
        else if (status < first_final_status || status > last_status) {
            fault = http_fault::malformed;
        }
        else if (!head_only && may_have_body(status) && !is_coding_known()) {
            fault = http_fault::unknown_coding;
        }
        else {
            head = http_head{static_cast<int>(status), copy_fields(parser->get())};
        }
    }
    /// Returns whether the body has no transfer coding or one that is removed here.
    [[nodiscard]] bool is_coding_known() const
    {
        const auto& message = parser->get();
        const auto [first, last] = message.equal_range(http::field::transfer_encoding);
        if (first == last) {
            return true;
        }
        std::vector<std::string_view> codings;
        std::transform(first, last, std::back_inserter(codings), [](const auto& it) {
            return std::string_view{it.value().data(), it.value().size()};
        });
        // With HTTP/1.0 the framing is faulty (RFC 9112, section 6.1).
        return message.version() >= 11 && parser->chunked() && is_only_chunked(codings);
    }

    std::optional<http::response_parser<growing_body>> parser;
    http_fault fault = http_fault::none;
    std::optional<http_head> head; ///< once it is accepted; the parser adds trailers to its own
    /// Bytes of a head, of the start of a chunk or of trailers, which the parser needs again with
    /// the rest. The parser itself bounds only heads.
    std::string kept;
    std::size_t max_kept = 0;
    std::size_t current = 0; ///< bytes of the present head
    std::size_t interim = 0; ///< bytes of the interim answers, as many as one head may have
    bool head_only = false;
};

http_response_parser::http_response_parser(std::size_t max_head, bool head_only)
    : impl_{std::make_unique<impl>(max_head, head_only)}
{
}

http_response_parser::~http_response_parser() = default;

std::size_t http_response_parser::put(std::string_view bytes)
{
    const auto before = impl_->kept.size();
    impl_->kept.append(bytes);
    std::size_t used = 0;
    while (used < impl_->kept.size() && !is_done() && impl_->fault == http_fault::none) {
        boost::beast::error_code ec;
        used += impl_->parse_part(std::string_view{impl_->kept}.substr(used), ec);
        if (ec == http::error::need_more) {
            break;
        }
        if (ec && impl_->fault == http_fault::none) {
            impl_->fault = fault_of(ec);
        }
    }
    if (is_done()) {
        impl_->kept.clear();
        return used > before ? used - before : 0;
    }
    impl_->kept.erase(0, used);
    if (impl_->fault == http_fault::none && impl_->kept.size() > impl_->max_kept) {
        impl_->fault = http_fault::head_too_large;
    }
    return bytes.size();
}

void http_response_parser::put_eof()
{
    if (is_done() || impl_->fault != http_fault::none) {
        return;
    }
    boost::beast::error_code ec;
    impl_->parser->put_eof(ec);
    if (ec || !is_done()) {
        impl_->fault = http_fault::cut;
    }
}

http_fault http_response_parser::fault() const
{
    return impl_->fault;
}

bool http_response_parser::is_head_done() const
{
    return impl_->head.has_value();
}

bool http_response_parser::is_done() const
{
    return impl_->fault == http_fault::none && impl_->parser->is_done();
}

const http_head& http_response_parser::head() const
{
    return *impl_->head;
}

std::string http_response_parser::take_body()
{
    return std::exchange(impl_->parser->get().body(), {});
}

} // namespace cedarpoint
