#include "io/http_syntax.h"

namespace cedarpoint {

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

} // namespace cedarpoint
