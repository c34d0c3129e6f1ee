// A TCP proxy that cuts connections.
#pragma once

#include "case.h"
#include "process.h"
#include "sockets.h"

#include <fcntl.h>
#include <poll.h>

#include <atomic>
#include <cerrno>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Forwards TCP connections from one loopback address to another. A cut resets the connections,
/// drops the bytes on their way, and refuses new ones.
class proxy {
public:
    proxy(endpoint from, endpoint to) : from_{std::move(from)}, to_{std::move(to)}
    {
        listener_ = listen_at(from_);
        thread_ = std::thread{[this] { run(); }};
    }
    ~proxy()
    {
        stopping_ = true;
        thread_.join();
    }
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    bool is_listening() const { return listener_ >= 0; }
    const endpoint& address() const { return from_; }
    /// Cuts everything, or heals it. Returns once that is done.
    void set_cut(bool cut)
    {
        wanted_cut_ = cut;
        while (is_cut_ != wanted_cut_) {
            sleep_ms(1);
        }
    }
    /// Cuts off one process only. Its connections are reset as soon as they are accepted.
    void set_cut_off(pid_t pid)
    {
        cut_off_pid_ = pid;
        recheck_ = true;
        while (recheck_) {
            sleep_ms(1);
        }
    }

private:
    struct connection {
        int near = -1;
        int far = -1;
        int near_port = 0;
        std::string to_far;
        std::string to_near;
    };

    void run()
    {
        while (!stopping_) {
            if (wanted_cut_ != is_cut_) {
                change_cut();
            }
            if (recheck_) {
                drop_cut_off();
                recheck_ = false;
            }
            std::vector<pollfd> fds;
            if (listener_ >= 0) {
                fds.push_back({listener_, POLLIN, 0});
            }
            for (const auto& it : connections_) {
                fds.push_back({it.near, short(POLLIN | (it.to_near.empty() ? 0 : POLLOUT)), 0});
                fds.push_back({it.far, short(POLLIN | (it.to_far.empty() ? 0 : POLLOUT)), 0});
            }
            poll(fds.data(), fds.size(), 2);
            if (listener_ >= 0 && (fds.front().revents & POLLIN) != 0) {
                accept_one();
            }
            std::erase_if(connections_, [this](connection& it) { return !forward(it); });
        }
        for (auto& it : connections_) {
            close(it.near);
            close(it.far);
        }
        if (listener_ >= 0) {
            close(listener_);
        }
    }
    void change_cut()
    {
        if (wanted_cut_) {
            close(listener_);
            listener_ = -1;
            for (auto& it : connections_) {
                reset_and_close(it.near);
                reset_and_close(it.far);
            }
            connections_.clear();
        }
        else {
            listener_ = listen_at(from_);
        }
        is_cut_ = wanted_cut_.load();
    }
    bool is_cut_off(const connection& it) const
    {
        return cut_off_pid_ > 0 && owns_port(cut_off_pid_, it.near_port);
    }
    void drop_cut_off()
    {
        std::erase_if(connections_, [this](connection& it) {
            if (!is_cut_off(it)) {
                return false;
            }
            reset_and_close(it.near);
            reset_and_close(it.far);
            return true;
        });
    }
    void accept_one()
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        connection it;
        it.near = accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &size,
                          SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (it.near < 0) {
            return;
        }
        it.near_port = ntohs(peer.sin_port);
        if (!is_cut_off(it)) {
            it.far = connect_to(to_, 500);
        }
        if (it.far < 0) {
            reset_and_close(it.near);
            return;
        }
        const int on = 1;
        setsockopt(it.near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        fcntl(it.far, F_SETFL, O_NONBLOCK);
        connections_.push_back(it);
    }
    /// Returns false if either side has ended.
    static bool forward(connection& it)
    {
        if (move(it.near, it.to_far) && move(it.far, it.to_near) && flush(it.far, it.to_far) &&
            flush(it.near, it.to_near)) {
            return true;
        }
        close(it.near);
        close(it.far);
        return false;
    }
    static bool move(int from, std::string& to)
    {
        char bytes[65536];
        const auto n = recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0) {
            to.append(bytes, static_cast<std::size_t>(n));
        }
        return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
    }
    static bool flush(int to, std::string& bytes)
    {
        if (bytes.empty()) {
            return true;
        }
        const auto n = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes.erase(0, static_cast<std::size_t>(n));
        }
        return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
    }

    endpoint from_;
    endpoint to_;
    int listener_ = -1;
    std::vector<connection> connections_;
    std::atomic<bool> wanted_cut_ = false;
    std::atomic<bool> is_cut_ = false;
    std::atomic<pid_t> cut_off_pid_ = 0;
    std::atomic<bool> recheck_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace review
