#include "cedarpoint/quarantine/crash_cause.h"

#include <fmt/format.h>

namespace cedarpoint {

std::string describe(const crash_cause& cause)
{
    if (const auto* part = std::get_if<prompt_part>(&cause)) {
        return fmt::format("part {} of model {}", part->id.str(), part->model.str());
    }
    return std::get<request_fingerprint>(cause).str();
}

} // namespace cedarpoint
