#include "io/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

constexpr double ms_per_second = 1000;

} // namespace

log_sink::log_sink(int descriptor) : descriptor_{descriptor}
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void log_sink::write(std::string_view line)
{
    if (buffer_.size() + line.size() > max_buffer_bytes) {
        write_some();
    }
    if (buffer_.size() + line.size() > max_buffer_bytes) {
        ++dropped_;
        return;
    }
    if (reported_dropped_ != dropped_) {
        buffer_ +=
            "event=log_lines_dropped count=" + std::to_string(dropped_ - reported_dropped_) + "\n";
        reported_dropped_ = dropped_;
    }
    buffer_.append(line);
    write_some();
}

void log_sink::flush()
{
    write_some();
}

void log_sink::write_some()
{
    while (!buffer_.empty()) {
        const auto count = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (count <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(count));
    }
}

bool log_rate_limiter::take(std::int64_t now_ms)
{
    const auto passed = static_cast<double>(now_ms - std::exchange(last_ms_, now_ms));
    tokens_ = std::clamp(tokens_ + passed * per_second_ / ms_per_second, 0.0, per_second_);
    if (tokens_ < 1) {
        ++suppressed_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t log_rate_limiter::take_suppressed()
{
    return std::exchange(suppressed_, 0);
}

} // namespace cedarpoint
