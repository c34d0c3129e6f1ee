#pragma once

#include "cedarpoint/core/time.h"

#include <compare>
#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

// A runner in need names in its answers how many requests a second it takes from all daemons
// together. These types hold what one answer says, and what follows from several that may have
// overtaken each other on their way.

/// Requests a second; never negative, and finite.
struct request_rate {
    double per_second = 0;
    friend auto operator<=>(const request_rate&, const request_rate&) = default;
};

/// A named rate from here on is more than a fleet sends to one runner, and counts as no limit.
inline constexpr request_rate unlimited_request_rate{10'000};

/// The least rate at which a limited runner is sent requests, whatever it names: one that gets
/// nothing can't say that its limit has ended.
inline constexpr request_rate least_request_rate{0.5};

/// A decimal number; empty for anything else, a negative or infinite number among it.
[[nodiscard]] std::optional<request_rate> parse_request_rate(std::string_view text);

/// What the head of an answer says of its runner's limit.
struct rate_limit_reading {
    enum class kind_t {
        absent,    ///< no limit is named
        named,     ///< one is, in `rate`
        unreadable ///< something is named that is no rate: neither a limit nor the end of one
    };
    kind_t kind = kind_t::absent;
    request_rate rate;
};

/// `values`: of each header that names a limit. Of several readable ones the lowest holds.
[[nodiscard]] rate_limit_reading read_rate_limit(const std::vector<std::string_view>& values);

/// What is known of one runner's limit, merged from answers in any order and from several daemons.
///
/// A limit holds "for as long as the runner says so". An answer without one ends it only if its
/// request was sent after the latest naming was heard: then the runner made that answer later. An
/// answer that was on its way, or that another one has overtaken, proves nothing.
///
/// After the end the rate grows for some seconds before it is unbounded: a runner that has just
/// recovered isn't met by all daemons at once, and an end that was inferred wrongly does no harm
/// before the next answer corrects it.
class rate_limit_record {
public:
    /// An answer that came at `heard_at` names a limit.
    void on_named(instant now, request_rate rate, instant heard_at);
    /// An answer to a request sent at `sent_at` names none.
    void on_not_named(instant now, instant sent_at);
    void merge(instant now, const rate_limit_record& in);

    /// The limit holds.
    [[nodiscard]] bool is_limited() const;
    /// The limit has ended, and so has the time in which the rate grows.
    [[nodiscard]] bool is_over(instant now) const;
    /// What all daemons together may send now, unless it is over.
    [[nodiscard]] request_rate allowed(instant now) const;
    /// As the runner named it last.
    [[nodiscard]] request_rate rate() const { return rate_; }
    /// When the latest answer came that named a limit; empty before the first.
    [[nodiscard]] std::optional<instant> named_at() const { return named_at_; }
    /// When the latest request was sent whose answer named none; empty before the first.
    [[nodiscard]] std::optional<instant> not_named_at() const { return not_named_at_; }

private:
    void settle(instant now);

    request_rate rate_;
    std::optional<instant> named_at_;
    std::optional<instant> not_named_at_;
    std::optional<instant> ended_at_; ///< when the end was noticed here; empty while it holds
};

} // namespace cedarpoint
