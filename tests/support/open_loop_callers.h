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

/// Callers that ask whatever the answers are, unevenly spread over entry daemons.
class open_loop_callers {
public:
    struct request {
        std::string method = "GET";
        std::string target;
        std::string body;
    };
    struct result {
        instant ended;
        int status = 0; ///< 0: no whole answer
        duration took{};
        double retry_after = 0; ///< seconds; 0: none is named
        std::string text;       ///< of the answer
    };

    /// `name`: in the ids of the requests, which begin with the number of their entry daemon.
    open_loop_callers(std::vector<endpoint> entries, double per_second, std::string name,
                      std::function<request(std::size_t)> make);

    void stop() { timer_.stop(); }
    [[nodiscard]] double served_share(instant from, instant until) const;

    std::vector<result> results;

private:
    void send_due();
    void send(std::size_t to);

    std::vector<endpoint> entries_;
    double per_second_;
    std::string name_;
    std::function<request(std::size_t)> make_;
    instant began_;
    std::vector<std::size_t> turns_; ///< entry daemons, each as often as its share
    runner_pool pool_;
    QTimer timer_;
    std::size_t sent_ = 0;
};

} // namespace cedarpoint::testing_support
