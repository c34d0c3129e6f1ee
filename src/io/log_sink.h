#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Writes log lines to a descriptor without blocking. Lines that can't be written at once are
/// buffered up to a bound; further lines are dropped. When there is room again, a line reports how
/// many were dropped.
class log_sink {
public:
    /// Capacity of the buffer in bytes.
    static constexpr std::size_t max_buffer_bytes = 256 << 10;

    explicit log_sink(int descriptor);
    void write(std::string_view line);
    /// Writes buffered lines as far as the descriptor accepts them.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    void write_some();

    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
};

/// Limits the rate of log lines of one kind with a token bucket and counts the lines left out.
class log_rate_limiter {
public:
    explicit log_rate_limiter(double per_second) : per_second_{per_second}, tokens_{per_second} {}
    /// Returns true if one more line may be written at `now_ms`.
    bool take(std::int64_t now_ms);
    /// Returns the number of lines left out since the previous call.
    std::uint64_t take_suppressed();
    [[nodiscard]] std::uint64_t suppressed() const { return suppressed_; }

private:
    double per_second_;
    double tokens_;
    std::int64_t last_ms_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace cedarpoint
