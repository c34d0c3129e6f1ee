#include "io/output_queue.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Bytes that a socket is given ahead of what the kernel takes.
constexpr std::size_t max_socket_buffer = 65536;

} // namespace

void output_queue::push(std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    queued_ += bytes.size();
    parts_.push_back(std::move(bytes));
    feed();
}

void output_queue::feed()
{
    auto in_socket = static_cast<std::size_t>(socket_.bytesToWrite());
    while (!parts_.empty() && in_socket < max_socket_buffer) {
        const auto& part = parts_.front();
        const auto n = std::min(part.size() - fed_, max_socket_buffer - in_socket);
        socket_.write(part.data() + fed_, static_cast<qint64>(n));
        in_socket += n;
        queued_ -= n;
        fed_ += n;
        if (fed_ == part.size()) {
            parts_.pop_front();
            fed_ = 0;
        }
    }
    bytes_.set(queued_ + in_socket);
}

std::size_t output_queue::size() const
{
    return queued_ + static_cast<std::size_t>(socket_.bytesToWrite());
}

} // namespace cedarpoint
