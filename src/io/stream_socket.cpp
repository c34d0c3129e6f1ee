#include "io/stream_socket.h"

#include "io/socket_state.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace cedarpoint {
namespace {

/// Size of a read in bytes.
constexpr std::size_t read_block = 65536;
/// Strings that one call writes: usually a head and a body.
constexpr std::size_t max_gathered = 4;

/// Deletes the notifier from the event loop, because its signal may be running now.
void dispose(std::unique_ptr<QSocketNotifier>& notifier)
{
    if (notifier != nullptr) {
        notifier->setEnabled(false);
        notifier.release()->deleteLater();
    }
}

} // namespace

stream_socket::stream_socket(handlers handlers) : handlers_{std::move(handlers)} {}

stream_socket::~stream_socket()
{
    close();
}

void stream_socket::connect_to(const endpoint& to)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0 || ::inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr) != 1) {
        end(socket_end::reset);
        return;
    }
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bound_receive_buffer(descriptor_);
    const auto result = ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    if (result != 0 && errno != EINPROGRESS) {
        end(errno == ECONNREFUSED ? socket_end::refused : socket_end::reset);
        return;
    }
    writer_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
    QObject::connect(writer_.get(), &QSocketNotifier::activated, [this] { on_writable(); });
}

void stream_socket::on_writable()
{
    if (connected_) {
        flush();
        return;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(error == ECONNREFUSED ? socket_end::refused : socket_end::reset);
        return;
    }
    connected_ = true;
    writer_->setEnabled(false);
    reader_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(reader_.get(), &QSocketNotifier::activated, [this] { on_readable(); });
    handlers_.on_connected();
}

void stream_socket::write(std::string_view bytes)
{
    write(std::make_shared<const std::string>(bytes));
}

void stream_socket::write(std::shared_ptr<const std::string> bytes)
{
    if (was_reset_ || bytes->empty()) {
        return;
    }
    out_.push_back(std::move(bytes));
    if (connected_) {
        flush();
    }
}

std::ptrdiff_t stream_socket::send_some()
{
    std::array<iovec, max_gathered> parts{};
    const auto count = std::min(out_.size(), parts.size());
    for (std::size_t n = 0; n < count; ++n) {
        const auto skipped = n == 0 ? written_ : 0;
        // The kernel only reads what iov_base points to.
        parts.at(n) = {const_cast<char*>(out_[n]->data()) + skipped, out_[n]->size() - skipped};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    return ::sendmsg(descriptor_, &message, MSG_NOSIGNAL);
}

void stream_socket::drop_written(std::size_t n)
{
    written_ += n;
    while (!out_.empty() && written_ >= out_.front()->size()) {
        written_ -= out_.front()->size();
        out_.pop_front();
    }
}

void stream_socket::flush()
{
    while (!out_.empty()) {
        const auto count = send_some();
        if (count >= 0) {
            drop_written(static_cast<std::size_t>(count));
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN) {
            on_send_failed(errno);
        }
        break;
    }
    writer_->setEnabled(!out_.empty());
}

void stream_socket::on_send_failed(int error)
{
    // The bytes that arrived before are still read. The error is reported only here: after it the
    // kernel ends them like those of an orderly close. EPIPE is no reset: the peer closed the
    // connection before it rejected the bytes, so all that it sent has arrived.
    was_reset_ = error != EPIPE;
    drop_unwritten();
}

void stream_socket::drop_unwritten()
{
    out_.clear();
    written_ = 0;
}

void stream_socket::on_readable()
{
    static thread_local std::array<char, read_block> buffer;
    const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        handlers_.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    end(count == 0 && !was_reset_ ? socket_end::orderly : socket_end::reset);
}

bool stream_socket::has_pending_event() const
{
    if (descriptor_ < 0) {
        return false;
    }
    // Unlike a read, poll leaves the error of a reset for the one who reads.
    pollfd it{descriptor_, static_cast<short>(connected_ ? POLLIN : POLLOUT), 0};
    return ::poll(&it, 1, 0) > 0;
}

void stream_socket::set_reading(bool reading)
{
    if (reader_ != nullptr) {
        reader_->setEnabled(reading);
    }
}

void stream_socket::close()
{
    dispose(reader_);
    dispose(writer_);
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
    connected_ = false;
    drop_unwritten();
}

void stream_socket::reset()
{
    if (descriptor_ >= 0) {
        reset_on_close(descriptor_);
    }
    close();
}

void stream_socket::end(socket_end how)
{
    close();
    const auto report = handlers_.on_end;
    report(how);
}

} // namespace cedarpoint
