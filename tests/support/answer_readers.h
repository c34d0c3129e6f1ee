#pragma once

#include "io/runner_connection.h"

#include <optional>
#include <string>

namespace cedarpoint::testing_support {

/// What a client reports of an answer.
struct answer_outcome {
    std::optional<int> status; ///< of the head that was reported
    std::string body;
    bool complete = false;
};

/// Returns a request for "/x" without a request id.
[[nodiscard]] exchange_request plain_exchange();

/// Sends one request on the connection and waits for its end.
answer_outcome exchange(runner_connection& connection, exchange_request request = plain_exchange());

/// Sends one request on a connection of its own and waits for its end.
answer_outcome call_once(const endpoint& to);

} // namespace cedarpoint::testing_support
