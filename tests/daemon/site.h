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

/// Runs the event loop until `done` returns true or a generous time limit has passed. Returns
/// false in the latter case.
bool wait_until(const std::function<bool()>& done);
/// Runs the event loop for the given time.
void pass_time(duration time);

/// A caller's connection that sends and receives raw bytes.
class raw_caller {
public:
    explicit raw_caller(const endpoint& address);
    void send(const std::string& bytes);
    /// Returns all bytes received so far.
    const std::string& received();
    bool wait_for(const std::string& text);
    bool wait_closed();
    void close();
    QTcpSocket& socket() { return socket_; }

private:
    QTcpSocket socket_;
    std::string received_;
};

/// The contents of a request to a model.
struct chat_options {
    bool stream = true;
    int tokens = 8;
    std::string text = "why";
    std::string headers; ///< additional lines, each with its line end
    std::string key = "secret";
};

std::string chat_request(const chat_options& options);
std::string plain_request(const std::string& method, const std::string& target,
                          const std::string& headers, const std::string& body);
/// Returns the token numbers in a streamed answer, in order.
std::vector<int> tokens_in(const std::string& answer);
/// Returns the status of the first answer in `text`; 0 if there is none.
int status_of(const std::string& text);

/// A single daemon that forms the quorum alone, with stand-in engines and a plain service.
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
        std::string operator_key; ///< empty: no key is required
    };

    explicit site(const options& options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Waits until all declared groups serve; returns false if they do not in time.
    bool wait_serving();
    /// Stops the daemon and starts a new one on the same data folder.
    void restart();
    daemon& running_daemon() { return *daemon_; }
    bool has_daemon() const { return daemon_ != nullptr; }
    [[nodiscard]] endpoint callers() const { return daemon_->callers(); }
    [[nodiscard]] endpoint operators() const { return daemon_->operators(); }
    stand_in_runner& engine(std::size_t n) { return *engines_[n]; }
    stand_in_runner& shop() { return *shop_; }
    /// Destroys an engine: its connections break and its address refuses new ones.
    void kill_engine(std::size_t n) { engines_[n].reset(); }
    /// Returns the index of the engine that receives the requests of a group; 0 if there is no such
    /// group.
    std::size_t engine_index_of(const std::string& group);
    /// Returns how often the engines and the service received a request with `text` in its body.
    [[nodiscard]] int arrivals(const std::string& text) const;
    /// Returns the exit code of the daemon; -1 until it has stopped.
    [[nodiscard]] int exit_code() const { return exit_code_; }
    /// Returns the declarative file in use with the given base revision, change id and group count.
    std::string declarative_file(int based_on, const std::string& change, int groups) const;
    bool apply(const std::string& document);
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
