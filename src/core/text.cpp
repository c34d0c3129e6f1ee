#include "cedarpoint/core/text.h"

#include "cedarpoint/core/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cedarpoint {
namespace {

bool is_ascii(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(),
                       [](char c) { return static_cast<unsigned char>(c) < 0x80; });
}

} // namespace

std::string to_text(std::string bytes)
{
    if (is_ascii(bytes)) {
        return bytes;
    }
    using nlohmann::json;
    return json::parse(write_json(json(std::move(bytes)))).get<std::string>();
}

bool is_text(std::string_view bytes)
{
    return is_ascii(bytes) || to_text(std::string{bytes}) == bytes;
}

} // namespace cedarpoint
