// A runner of a plain service, and its heartbeats.
#pragma once

#include "fleet.h"
#include "server.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace review {

/// Sends a runner's heartbeats to the control daemons.
class heartbeats {
public:
    heartbeats(std::vector<endpoint> controls, std::string id, std::string service,
               endpoint address)
        : controls_{std::move(controls)}, id_{std::move(id)}, service_{std::move(service)},
          address_{std::move(address)}
    {
        thread_ = std::thread{[this] { run(); }};
    }
    ~heartbeats()
    {
        stopping_ = true;
        thread_.join();
    }
    heartbeats(const heartbeats&) = delete;
    heartbeats& operator=(const heartbeats&) = delete;

private:
    void run()
    {
        std::uint64_t sequence = 0;
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        while (!stopping_) {
            const json body{{"service", service_},  {"address", address_.str()},
                            {"zone", "zone-0"},     {"version", "v1"},
                            {"slots", 6},           {"state", "ready"},
                            {"coldRemainingMs", 0}, {"sequence", ++sequence},
                            {"born", born}};
            control_call(controls_, "POST", "/cedarpoint/instances/" + id_ + "/heartbeat",
                         body.dump());
            for (int n = 0; n < 30 && !stopping_; ++n) {
                sleep_ms(20);
            }
        }
    }

    std::vector<endpoint> controls_;
    std::string id_;
    std::string service_;
    endpoint address_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// A runner of one service, which runs each request at once.
class plain_runner {
public:
    plain_runner(const fleet& site, int number, std::string id, std::string service)
        : id_{std::move(id)}, service_{std::move(service)}, server_{std::make_unique<server>(
                                                                endpoint{site.runner_ip(number), 0},
                                                                [this](int fd) { serve(fd); })},
          heartbeats_{
              std::make_unique<heartbeats>(site.controls(), id_, service_, server_->address())}
    {
    }
    /// Ends as a crashed process does: silent to control, and its port refuses connections.
    void crash()
    {
        heartbeats_.reset();
        server_.reset();
        record("%s of %s crashes", id_.c_str(), service_.c_str());
    }

private:
    void serve(int fd)
    {
        message_reader reader{fd};
        message request;
        while (reader.read_head(request) && reader.read_body(request)) {
            const auto id = request.get("x-cedarpoint-request-id");
            const bool is_meant = request.get("x-cedarpoint-expect-instance") == id_;
            if (is_meant) {
                record("%s of %s runs %s", id_.c_str(), service_.c_str(), id.c_str());
            }
            const std::string head =
                is_meant
                    ? "HTTP/1.1 200 OK\r\nX-Cedarpoint-Instance-Signature: signed-" + id_ + "\r\n"
                    : "HTTP/1.1 421 Misdirected Request\r\n";
            send_all(fd, head + "X-Cedarpoint-Request-Id: " + id + "\r\nContent-Length: " +
                             std::to_string(service_.size()) + "\r\n\r\n" + service_);
        }
    }

    std::string id_;
    std::string service_;
    std::unique_ptr<server> server_;
    std::unique_ptr<heartbeats> heartbeats_;
};

} // namespace review
