#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <set>

namespace cedarpoint::testing_support {

/// Accepts connections for an HTTP server and makes it answer with neither a length nor chunks: it
/// passes each request on as one of HTTP/1.0, whose answer ends with the connection.
class unframed_front final : public QTcpServer {
public:
    unframed_front(const endpoint& at, endpoint server);
    ~unframed_front() override;
    unframed_front(const unframed_front&) = delete;
    unframed_front& operator=(const unframed_front&) = delete;

private:
    void accept();

    endpoint server_;
    std::set<QTcpSocket*> open_;
};

} // namespace cedarpoint::testing_support
