#pragma once

#include "cedarpoint/core/byte_account.h"

#include <QTcpSocket>

#include <cstddef>
#include <deque>
#include <string>

namespace cedarpoint {

/// The bytes of answers that a connection has not taken yet. Passes them to its socket in parts,
/// because the socket copies what it is given.
class output_queue {
public:
    /// `account`: counts what is queued. Both must outlive the queue.
    output_queue(QTcpSocket& socket, byte_account& account) : socket_{socket}, bytes_{account} {}

    void push(std::string bytes);
    /// Passes on what the socket has room for. Call it whenever the socket has written bytes.
    void feed();
    /// Returns the number of bytes that are not written yet, those in the socket included.
    [[nodiscard]] std::size_t size() const;

private:
    QTcpSocket& socket_;
    std::deque<std::string> parts_;
    std::size_t fed_ = 0;    ///< bytes of the first part that the socket has
    std::size_t queued_ = 0; ///< bytes that the socket does not have
    byte_account::share bytes_;
};

} // namespace cedarpoint
