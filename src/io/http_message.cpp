#include "io/http_message.h"

#include <algorithm>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace cedarpoint {
namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view http_fields::get(std::string_view name) const
{
    const auto it = std::find_if(all_.begin(), all_.end(),
                                 [&](const auto& e) { return equal_ignoring_case(e.first, name); });
    return it == all_.end() ? std::string_view{} : std::string_view{it->second};
}

bool http_fields::has(std::string_view name) const
{
    return std::any_of(all_.begin(), all_.end(),
                       [&](const auto& e) { return equal_ignoring_case(e.first, name); });
}

std::vector<std::string_view> http_fields::values(std::string_view name) const
{
    std::vector<std::string_view> out;
    for (const auto& [each, value] : all_) {
        if (equal_ignoring_case(each, name)) {
            out.emplace_back(value);
        }
    }
    return out;
}

std::string serialize_head(const http_head& head)
{
    const auto phrase =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(head.status));
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out.append(phrase.data(), phrase.size());
    out += "\r\n";
    for (const auto& [name, value] : head.fields.all()) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    return out + "\r\n";
}

} // namespace cedarpoint
