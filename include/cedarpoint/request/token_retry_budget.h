#pragma once

#include <algorithm>

namespace cedarpoint {

/// Bounds one daemon's retries to a share of its first attempts, so that failures do not multiply
/// the load: each first attempt earns a part of a token, each retry costs one. For daemons with a
/// list of peers; those of a fleet share a bound and use `windowed_retry_budget`.
class token_retry_budget {
public:
    /// Tokens that a first attempt earns: retries are at most a tenth of the requests.
    static constexpr double tokens_per_request = 0.1;
    /// Tokens at most, and at the start: retries that may come at once.
    static constexpr double most_tokens = 20;

    void on_first_attempt() { tokens_ = std::min(most_tokens, tokens_ + tokens_per_request); }
    /// True if one more retry may be made; takes its token.
    [[nodiscard]] bool take()
    {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = most_tokens;
};

} // namespace cedarpoint
