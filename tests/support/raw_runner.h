#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <string>

namespace cedarpoint::testing_support {

/// A runner that answers each request with bytes that a test chooses, whatever they are.
class raw_runner {
public:
    struct reply {
        std::string bytes;
        bool closes = false; ///< the connection, after the bytes
    };
    /// Returns the reply to a request, which is given as it was received.
    using script = std::function<reply(const std::string& request)>;

    explicit raw_runner(script script);
    raw_runner(const raw_runner&) = delete;
    raw_runner& operator=(const raw_runner&) = delete;
    ~raw_runner() = default;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.serverPort()}; }
    [[nodiscard]] int answered() const { return answered_; }

private:
    void answer(QTcpSocket& socket);

    script script_;
    QTcpServer server_;
    int answered_ = 0;
};

} // namespace cedarpoint::testing_support
