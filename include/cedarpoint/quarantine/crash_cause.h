#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace cedarpoint {

/// A part of a prompt, as processed by the weights of one model. Requests that differ otherwise may
/// share it.
struct prompt_part {
    model_id model; ///< empty if the request names none
    prompt_part_id id;

    friend auto operator<=>(const prompt_part&, const prompt_part&) = default;
};

/// What may crash the runners that run a request: the request as a whole, or a part of its prompt.
using crash_cause = std::variant<request_fingerprint, prompt_part>;

/// The causes that one request can have: the request itself, then the shared parts of its prompt in
/// their order. A part that belongs to the request alone is no cause of its own.
using possible_causes = std::vector<crash_cause>;

[[nodiscard]] inline bool is_prompt_part(const crash_cause& cause)
{
    return std::holds_alternative<prompt_part>(cause);
}

/// Returns the fingerprint of a request, or the id of a part and its model, for logs.
[[nodiscard]] std::string describe(const crash_cause& cause);

} // namespace cedarpoint
