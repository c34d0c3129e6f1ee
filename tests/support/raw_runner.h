#pragma once

#include "cedarpoint/core/endpoint.h"
#include "io/http_parser.h"

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
    using script = std::function<reply(const http_request& request)>;

    explicit raw_runner(script script);
    raw_runner(const raw_runner&) = delete;
    raw_runner& operator=(const raw_runner&) = delete;
    ~raw_runner() = default;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.serverPort()}; }

private:
    void accept();
    void read(QTcpSocket& socket, http_request_parser& parser) const;

    script script_;
    QTcpServer server_;
};

} // namespace cedarpoint::testing_support
