// A server with a thread for each connection.
#pragma once

#include "sockets.h"

#include <poll.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace review {

/// Accepts connections and calls a handler for each on a thread of its own.
class server {
public:
    server(endpoint at, std::function<void(int)> handler, int receive_buffer = 0)
        : at_{std::move(at)}, handler_{std::move(handler)}
    {
        listener_ = listen_at(at_, receive_buffer);
        thread_ = std::thread{[this] { run(); }};
    }
    ~server()
    {
        stopping_ = true;
        thread_.join();
        close(listener_);
        {
            const std::lock_guard guard{lock_};
            for (const int fd : open_) {
                shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto& each : handlers_) {
            each.join();
        }
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const endpoint& address() const { return at_; }

private:
    void run()
    {
        while (!stopping_) {
            pollfd each{listener_, POLLIN, 0};
            if (poll(&each, 1, 20) <= 0) {
                continue;
            }
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard guard{lock_};
            open_.insert(fd);
            handlers_.emplace_back([this, fd] {
                handler_(fd);
                const std::lock_guard closing{lock_};
                open_.erase(fd);
                close(fd);
            });
        }
    }

    endpoint at_;
    std::function<void(int)> handler_;
    int listener_ = -1;
    std::mutex lock_;
    std::set<int> open_;
    std::vector<std::thread> handlers_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace review
