// A small HTTP/1.1 client and reader, and the calls of the platform to control daemons.
#pragma once

#include "case.h"
#include "sockets.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace review {

struct message {
    std::string start_line;
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;
    std::string get(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

/// Reads messages from one connection.
class message_reader {
public:
    explicit message_reader(int fd) : fd_{fd} {}

    /// Reads a head. Returns false if the connection ended before.
    bool read_head(message& out)
    {
        out = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::size_t at = buffer_.find("\r\n");
        out.start_line = buffer_.substr(0, at);
        while (at < end) {
            const auto next = buffer_.find("\r\n", at + 2);
            const auto line = buffer_.substr(at + 2, next - at - 2);
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char each) { return std::tolower(each); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.fields[name] = value == std::string::npos ? "" : line.substr(value);
            at = next;
        }
        buffer_.erase(0, end + 4);
        return true;
    }

    /// Reads up to `n` bytes of a body. Returns false if the connection ended before.
    bool read_bytes(std::size_t n, std::string& out)
    {
        while (buffer_.size() < n) {
            if (!fill()) {
                out += buffer_;
                buffer_.clear();
                return false;
            }
        }
        out += buffer_.substr(0, n);
        buffer_.erase(0, n);
        return true;
    }

    bool read_line(std::string& out)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    /// Reads the body that belongs to the head. Returns false if it is not complete.
    bool read_body(message& out)
    {
        if (out.get("transfer-encoding") == "chunked") {
            for (;;) {
                std::string line;
                if (!read_line(line)) {
                    return false;
                }
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (!read_bytes(size, out.body) || !read_line(line)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        const auto length = out.get("content-length");
        return length.empty() || read_bytes(std::strtoul(length.c_str(), nullptr, 10), out.body);
    }

private:
    bool fill()
    {
        char bytes[65536];
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

struct answer {
    int status = 0; ///< 0: no head arrived
    bool complete = false;
    message head;
};

/// Sends one request on a connection of its own and reads the answer.
inline answer call(const endpoint& to, const std::string& method, const std::string& path,
                   const std::string& fields, const std::string& body, int timeout_ms)
{
    answer out;
    const int fd = connect_to(to, timeout_ms);
    if (fd < 0) {
        return out;
    }
    const auto request = method + " " + path + " HTTP/1.1\r\n" + fields +
                         (fields.find("Host:") == std::string::npos ? "Host: h\r\n" : "") +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send_all(fd, request);
    message_reader reader{fd};
    if (reader.read_head(out.head)) {
        out.status = std::atoi(out.head.start_line.c_str() + std::strlen("HTTP/1.1 "));
        out.complete = reader.read_body(out.head);
    }
    close(fd);
    return out;
}

/// A call of the platform to the daemons that serve control: follows 307 twice, and goes on to the
/// next daemon after a failure.
inline answer control_call(const std::vector<endpoint>& daemons, const std::string& method,
                           const std::string& path, const std::string& body, std::size_t first = 0)
{
    answer out;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        auto to = daemons[(first + n) % daemons.size()];
        for (int redirects = 0; redirects < 3; ++redirects) {
            out = call(to, method, path, "Content-Type: application/json\r\n", body, 1000);
            const auto location = out.head.get("location");
            constexpr std::string_view scheme = "http://";
            if (out.status != 307 || !location.starts_with(scheme)) {
                break;
            }
            const auto slash = location.find('/', scheme.size());
            to = parse_endpoint(location.substr(scheme.size(), slash - scheme.size())).value_or(to);
        }
        if (out.status == 200) {
            return out;
        }
    }
    return out;
}

} // namespace review
