#include "io/http_syntax.h"

#include "io/http_message.h"

#include <boost/beast/http/rfc7230.hpp>

namespace cedarpoint {

namespace http = boost::beast::http;

bool has_folded_line(std::string_view lines)
{
    constexpr std::string_view line_end = "\r\n";
    for (auto at = lines.find(line_end); at != std::string_view::npos;
         at = lines.find(line_end, at)) {
        at += line_end.size();
        if (at < lines.size() && (lines[at] == ' ' || lines[at] == '\t')) {
            return true;
        }
    }
    return false;
}

bool is_only_chunked(const std::vector<std::string_view>& values)
{
    int count = 0;
    for (const auto value : values) {
        const http::opt_token_list codings{{value.data(), value.size()}};
        if (!http::validate_list(codings)) {
            return false;
        }
        for (const auto it : codings) {
            if (!equal_ignoring_case({it.data(), it.size()}, "chunked")) {
                return false;
            }
            ++count;
        }
    }
    return count == 1;
}

} // namespace cedarpoint
