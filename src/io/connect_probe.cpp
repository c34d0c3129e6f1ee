#include "io/connect_probe.h"

#include <string_view>
#include <utility>

namespace cedarpoint {
namespace {

/// Time limit for establishing the connection.
constexpr int connect_timeout_ms = 300;

} // namespace

connect_probe::connect_probe(const endpoint& to, std::function<void(result)> on_end)
    : to_{to}, on_end_{std::move(on_end)}, socket_{{[this] { end(result::connected); },
                                                    [](std::string_view) {},
                                                    [this](socket_end how) {
                                                        end(how == socket_end::refused
                                                                ? result::refused
                                                                : result::failed);
                                                    }}}
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, [this] { begun_ ? end(result::failed) : begin(); });
}

void connect_probe::start(milliseconds delay)
{
    if (delay == milliseconds{0}) {
        begin();
    }
    else {
        timer_.start(static_cast<int>(delay.count()));
    }
}

void connect_probe::begin()
{
    begun_ = true;
    timer_.start(connect_timeout_ms);
    socket_.connect_to(to_);
}

void connect_probe::end(result how)
{
    if (std::exchange(done_, true)) {
        return;
    }
    timer_.stop();
    socket_.close();
    on_end_(how);
}

} // namespace cedarpoint
