#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "io/runner_pool.h"

#include <QTimer>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Open-loop load: sends requests at a fixed rate, independent of the answers, unevenly distributed
/// over the entry daemons.
class open_loop_callers {
public:
    struct request {
        std::string method = "GET";
        std::string target;
        std::string body;
        std::string model;              ///< empty: the request names none
        bool on_new_connection = false; ///< otherwise on a kept one, if there is one
        std::string prompt_parts;       ///< as in the header; empty: the request names none
        milliseconds deadline{2000};
    };
    struct result {
        std::size_t entry = 0; ///< the entry daemon that was asked
        std::string id;
        std::string target;
        std::string prompt_parts;
        instant sent;
        instant ended;
        int status = 0; ///< HTTP status; 0: no complete answer
        duration took{};
        double retry_after = 0; ///< seconds; 0: not given
        std::string text;       ///< body of the answer
    };

    /// `name` is part of the request ids, after the number of the entry daemon.
    open_loop_callers(std::vector<endpoint> entries, double requests_per_second, std::string name,
                      std::function<request(std::size_t)> make_request);

    void stop() { timer_.stop(); }
    [[nodiscard]] std::size_t in_flight() const { return sent_ - results.size(); }
    [[nodiscard]] double served_share(instant from, instant until) const;

    std::vector<result> results;

private:
    void send_due();
    void send(std::size_t entry);

    std::vector<endpoint> entries_;
    double requests_per_second_;
    std::string name_;
    std::function<request(std::size_t)> make_request_;
    instant start_;
    std::vector<std::size_t> schedule_; ///< indices of entry daemons, each repeated by its share
    runner_pool pool_;
    runner_pool new_connections_;
    QTimer timer_;
    std::size_t sent_ = 0;
};

} // namespace cedarpoint::testing_support
