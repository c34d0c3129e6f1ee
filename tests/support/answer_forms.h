#pragma once

#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// An answer as its bytes. It echoes the request id "r1".
struct answer_form {
    std::string name;
    std::string bytes;
    bool has_sound_head = false; ///< of a broken answer: only its trailers are broken
};

/// The body of the answers that are sound.
inline constexpr const char* form_body = "body";

/// Answers with a line of the head or of the trailers that continues the one before.
[[nodiscard]] std::vector<answer_form> folded_answers();
/// Answers whose body has a transfer coding other than just "chunked".
[[nodiscard]] std::vector<answer_form> answers_in_unknown_codings();
/// Answers whose status line holds no status of a final answer.
[[nodiscard]] std::vector<answer_form> answers_without_a_status();
/// Answers with a line whose field name is no token.
[[nodiscard]] std::vector<answer_form> answers_with_a_spoiled_name();
/// All of the above.
[[nodiscard]] std::vector<answer_form> broken_answers();
/// Answers with status 200 that are unusual and valid.
[[nodiscard]] std::vector<answer_form> unusual_answers();
/// Valid answers with status 200 whose body ends with the connection.
[[nodiscard]] std::vector<answer_form> unframed_answers();

} // namespace cedarpoint::testing_support
