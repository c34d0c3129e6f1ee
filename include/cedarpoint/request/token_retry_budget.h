#pragma once

#include <algorithm>

namespace cedarpoint {

/// Limits one daemon's retries to a fraction of its first attempts, so that failures do not
/// multiply the load: each first attempt adds a fraction of a token, each retry takes a whole one.
/// Used by daemons with a list of peers; daemons of a fleet share a limit and use
/// `windowed_retry_budget`.
class token_retry_budget {
public:
    /// Tokens added by a first attempt: retries are at most a tenth of the requests.
    static constexpr double tokens_per_request = 0.1;
    /// Capacity of the budget and its initial value: the largest burst of retries.
    static constexpr double max_tokens = 20;

    void on_first_attempt() { tokens_ = std::min(max_tokens, tokens_ + tokens_per_request); }
    /// Takes a token and returns true if one more retry is allowed.
    [[nodiscard]] bool take()
    {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = max_tokens;
};

} // namespace cedarpoint
