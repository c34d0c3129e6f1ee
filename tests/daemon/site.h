#pragma once

#include "cedarpoint/config/settings.h"
#include "daemon/daemon.h"
#include "stand_in/stand_in_runner.h"

#include <QTcpSocket>
#include <QTemporaryDir>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// Runs the event loop until `done` or until far longer than anything takes. True if done.
bool wait_until(const std::function<bool()>& done);
/// Runs the event loop for this long.
void pass_time(duration time);

/// A caller's connection, byte by byte.
class raw_caller {
public:
    explicit raw_caller(const endpoint& to);
    void send(const std::string& bytes);
    /// What has come so far.
    const std::string& received();
    bool wait_for(const std::string& text);
    bool wait_closed();
    void close();
    QTcpSocket& socket() { return socket_; }

private:
    QTcpSocket socket_;
    std::string received_;
};

/// How a request to a model looks.
struct ask {
    bool stream = true;
    int tokens = 8;
    std::string text = "why";
    std::string headers; ///< further lines, each with its line end
    std::string key = "secret";
};

std::string chat_request(const ask& it);
std::string plain_request(const std::string& method, const std::string& target,
                          const std::string& headers, const std::string& body);
/// The token numbers in a streamed answer, in their order.
std::vector<int> tokens_in(const std::string& answer);
/// The status of the n-th answer in `text`, 0 if there are fewer.
int status_of(const std::string& text);

/// One daemon that is its own quorum, with stand-in engines and a plain service.
class site {
public:
    struct options {
        int groups = 1;
        int spares = 0;
        int slots = 8;
        int max_in_flight = 1000;
        stand_in_runner::options engine;
        caller_limits limits;
        milliseconds stop_bound{5000};
        std::string operator_key; ///< empty: none is needed
    };

    explicit site(const options& how);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// True once every declared group serves.
    bool wait_serving();
    /// Stops the daemon and starts it anew on the same data folder.
    void restart();
    daemon& it() { return *daemon_; }
    bool has_daemon() const { return daemon_ != nullptr; }
    [[nodiscard]] endpoint callers() const { return daemon_->callers(); }
    [[nodiscard]] endpoint operators() const { return daemon_->operators(); }
    stand_in_runner& engine(std::size_t n) { return *engines_[n]; }
    stand_in_runner& shop() { return *shop_; }
    /// Ends an engine's process: its connections break, its address refuses.
    void kill_engine(std::size_t n) { engines_[n].reset(); }
    /// The engine that takes the requests of a group.
    std::size_t first_of(const std::string& group);
    [[nodiscard]] int arrivals(const std::string& body) const;
    [[nodiscard]] int exit_code() const { return exit_code_; }
    /// The declarative file in use, with another change id and revision.
    std::string file(int based_on, const std::string& change, int groups) const;
    bool apply(const std::string& text);
    bool drain(const std::string& kind, const std::string& id, bool draining);

private:
    void start_daemon();

    options options_;
    QTemporaryDir folder_;
    std::vector<std::unique_ptr<stand_in_runner>> engines_;
    std::vector<endpoint> addresses_;
    std::unique_ptr<stand_in_runner> shop_;
    std::unique_ptr<daemon> daemon_;
    int exit_code_ = -1;
};

} // namespace cedarpoint::testing_support
