#include "io/stream_socket.h"

#include "io/socket_state.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace cedarpoint {
namespace {

/// Size of a read in bytes.
constexpr std::size_t read_block = 65536;

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
    if (was_reset_) {
        return;
    }
    out_.append(bytes);
    if (connected_) {
        flush();
    }
}

void stream_socket::flush()
{
    while (!out_.empty()) {
        const auto count = ::send(descriptor_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (count >= 0) {
            out_.erase(0, static_cast<std::size_t>(count));
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
    out_.clear();
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
