#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <set>
#include <string>

namespace cedarpoint::testing_support {

/// Accepts connections for an HTTP server and changes its answers.
class runner_front final : public QTcpServer {
public:
    struct options {
        /// Answers have neither a length nor chunks: each request is passed on as one of HTTP/1.0,
        /// whose answer ends with the connection.
        bool unframed = false;
        std::string added_lines; ///< in the head of each answer, as they are
    };

    runner_front(const endpoint& at, endpoint server, options options);
    ~runner_front() override;
    runner_front(const runner_front&) = delete;
    runner_front& operator=(const runner_front&) = delete;

private:
    void accept();

    endpoint server_;
    options options_;
    std::set<QTcpSocket*> open_;
};

} // namespace cedarpoint::testing_support
