#pragma once

#include "cedarpoint/core/time.h"

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

// An overloaded runner names a rate limit in its answers: how many requests per second it accepts
// from all daemons together. These types hold the limit in one answer, and the state derived from
// several answers, which may arrive out of order.

/// Requests per second; finite and not negative.
struct request_rate {
    double per_second = 0;
    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

/// A rate of at least this is more than a fleet sends to one runner, and counts as no limit.
inline constexpr request_rate unlimited_request_rate{10'000};

/// Lowest rate at which a limited runner is sent requests, even if it names a lower one: a runner
/// that gets no requests has no answers in which to lift its limit.
inline constexpr request_rate min_request_rate{0.5};

/// Parses a decimal number. Returns an empty value for anything else, and for negative or infinite
/// numbers.
[[nodiscard]] std::optional<request_rate> parse_request_rate(std::string_view text);

/// The rate limit in the head of an answer.
struct rate_limit_reading {
    enum class kind_t {
        absent,    ///< the answer names no limit
        named,     ///< the answer names the limit in `rate`
        unreadable ///< the value is not a rate; it neither sets nor ends a limit
    };
    kind_t kind = kind_t::absent;
    request_rate rate;
};

/// `values`: the value of each header that names a limit. The lowest valid one is used.
[[nodiscard]] rate_limit_reading read_rate_limit(const std::vector<std::string_view>& values);

/// State of one runner's limit, merged from the answers to several daemons in any order.
///
/// A limit holds until the runner stops naming it. An answer that names none ends the limit only if
/// its request was sent after the latest answer that names one had arrived, because only then did
/// the runner certainly make it later. Any other answer may have been delayed or overtaken on the
/// network.
///
/// After the limit has ended, the allowed rate grows for some seconds before it becomes unlimited.
/// This keeps all daemons from sending to a runner at once when it has just recovered, and limits
/// the harm until the next answer if the end was inferred wrongly.
class rate_limit_record {
public:
    /// Records an answer received at `received_at` that names a limit.
    void on_named(instant now, request_rate rate, instant received_at);
    /// Records an answer to a request sent at `sent_at` that names no limit.
    void on_not_named(instant now, instant sent_at);
    void merge(instant now, const rate_limit_record& in);

    /// Returns true while the limit holds.
    [[nodiscard]] bool is_limited() const;
    /// Returns true once the limit has ended and the rate has finished growing.
    [[nodiscard]] bool is_over(instant now) const;
    /// Returns the rate at which all daemons together may send now. Meaningless once `is_over`.
    [[nodiscard]] request_rate allowed(instant now) const;
    /// Returns the rate that the runner named last.
    [[nodiscard]] request_rate rate() const { return rate_; }
    /// When the latest answer that names a limit was received; empty before the first.
    [[nodiscard]] std::optional<instant> named_at() const { return named_at_; }
    /// When the latest request whose answer named no limit was sent; empty before the first.
    [[nodiscard]] std::optional<instant> not_named_at() const { return not_named_at_; }

private:
    void update_end(instant now);

    request_rate rate_;
    std::optional<instant> named_at_;
    std::optional<instant> not_named_at_;
    std::optional<instant> ended_at_; ///< when the end was detected here; empty while it holds
};

} // namespace cedarpoint
