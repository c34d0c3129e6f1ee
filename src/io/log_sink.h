#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Where log lines go: a descriptor that is never waited for. What it doesn't take at once is kept
/// up to a bound, then dropped and counted; the count is told when there is room again.
class log_sink {
public:
    /// Bytes of lines that wait for the reader; more lines are dropped and counted.
    static constexpr std::size_t most_kept = 256 << 10;

    explicit log_sink(int descriptor);
    void write(std::string_view line);
    /// Tries to write what is kept.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    void write_some();

    int descriptor_;
    std::string kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t told_ = 0;
};

/// Lines of one kind that may be written in a second; the rest is counted.
class log_rate {
public:
    explicit log_rate(double per_second) : per_second_{per_second}, tokens_{per_second} {}
    /// True if one more line may be written at `now_ms`.
    bool take(std::int64_t now_ms);
    /// Lines left out since the last call.
    std::uint64_t take_suppressed();
    [[nodiscard]] std::uint64_t suppressed() const { return suppressed_; }

private:
    double per_second_;
    double tokens_;
    std::int64_t last_ms_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace cedarpoint
