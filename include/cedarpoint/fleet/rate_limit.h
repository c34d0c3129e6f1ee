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

/// A named rate above this binds nobody and counts as this one.
inline constexpr request_rate highest_request_rate{10'000};

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
class rate_limit_record {
public:
    /// An answer that came at `heard_at` names a limit.
    void on_named(request_rate rate, instant heard_at);
    /// An answer to a request sent at `sent_at` names none.
    void on_not_named(instant sent_at);
    void merge(const rate_limit_record& in);

    [[nodiscard]] bool is_limited() const;
    [[nodiscard]] request_rate rate() const { return rate_; }
    /// When the latest answer came that named a limit; empty before the first.
    [[nodiscard]] std::optional<instant> named_at() const { return named_at_; }
    /// When the latest request was sent whose answer named none; empty before the first.
    [[nodiscard]] std::optional<instant> not_named_at() const { return not_named_at_; }

private:
    request_rate rate_;
    std::optional<instant> named_at_;
    std::optional<instant> not_named_at_;
};

} // namespace cedarpoint
