#pragma once

// Stand-ins and helpers of the cases of the second review: processes of the program under test on
// loopback addresses, an HTTP client, the operator, and a runner that follows the users' pages.
// Uses the standard library and POSIX only.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Writes lines with the time since the start of the case to its file and to standard output.
class recorder {
public:
    explicit recorder(const std::string& file);
    ~recorder();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    FILE* file_;
    steady::time_point start_ = steady::now();
};

/// Ends the case with `exit_not_run`.
struct can_not_run {
    std::string why;
};

struct address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string str() const { return ip + ":" + std::to_string(port); }
    auto operator<=>(const address&) const = default;
};

using fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of a field, ignoring the case of its name; empty if it is missing.
[[nodiscard]] std::string find_field(const fields& in, std::string_view name);

struct message {
    std::string first_line; ///< without the line end
    fields head;
    std::string body;
    bool is_complete = false;                 ///< false if the connection ended before
    [[nodiscard]] int status() const;         ///< of an answer
    [[nodiscard]] std::string method() const; ///< of a request
    [[nodiscard]] std::string target() const; ///< of a request
};

/// A blocking TCP connection with a time limit for each read.
class connection {
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] static std::unique_ptr<connection> open(const address& to,
                                                          milliseconds limit = milliseconds{1000});
    /// Returns false if the peer has closed.
    bool write(std::string_view bytes);
    /// Reads an HTTP message. `is_answer`: one without a length ends with the connection. Returns
    /// nothing if the connection ended, or the time was up, before its first byte.
    [[nodiscard]] std::optional<message> read(bool is_answer, milliseconds limit);
    /// Waits until the peer closes or `limit` has passed. Returns true if it has closed.
    [[nodiscard]] bool wait_closed(milliseconds limit);
    void close();
    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    bool fill(steady::time_point until); ///< reads more bytes; false at the end

    int descriptor_;
    std::string bytes_;
    bool ended_ = false;
};

[[nodiscard]] std::string make_request(const std::string& method, const std::string& target,
                                       const fields& head, const std::string& body);
[[nodiscard]] std::string make_answer(int status, const fields& head, const std::string& body);

/// Sends one request on a new connection. Returns nothing if no answer came.
[[nodiscard]] std::optional<message> call(const address& to, const std::string& method,
                                          const std::string& target, const std::string& body,
                                          milliseconds limit = milliseconds{1000});

/// A process of the program under test.
class process {
public:
    process(std::vector<std::string> arguments, std::string log);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number);
    [[nodiscard]] bool is_running();
    /// Returns the resident memory in bytes; 0 if it has ended.
    [[nodiscard]] std::size_t memory() const;
    [[nodiscard]] pid_t id() const { return id_; }

private:
    pid_t id_ = -1;
    bool reaped_ = false;
};

/// Control and entry daemons, started as the deploy file says, with the settings of a small
/// deployment. All addresses are loopback addresses of one free network 127.N.
class fleet {
public:
    fleet(recorder& log, int entries);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    static constexpr int control_count = 3;
    [[nodiscard]] address control(int n) const { return {ip(1, n), control_port_}; }
    [[nodiscard]] address callers(int n) const { return {ip(3, n), front_port_}; }
    [[nodiscard]] address ready(int n) const { return {ip(3, n), ready_port_}; }
    /// Returns a free address for a runner.
    [[nodiscard]] std::string runner_ip() const { return ip(5, 0); }
    [[nodiscard]] process& control_process(int n) { return *controls_.at(n); }
    [[nodiscard]] process& entry_process(int n) { return *entries_.at(n); }
    void start_control(int n, bool first);
    void start_entry(int n);
    [[nodiscard]] const std::string& folder() const { return folder_; }

    /// Calls the control daemons in turn like the operator and the runners do: follows 307 twice,
    /// goes to the next daemon after a failure. Returns the last answer.
    [[nodiscard]] std::optional<message> call_control(const std::string& method,
                                                      const std::string& target,
                                                      const std::string& body,
                                                      milliseconds patience = milliseconds{8000});
    /// Returns true once the entry daemon answers 200 at its `ready` address.
    [[nodiscard]] bool wait_ready(int n, milliseconds limit);
    /// Returns the daemon that leads: the one that answers a read of the configuration itself.
    [[nodiscard]] std::optional<int> leader() const;

private:
    [[nodiscard]] std::string ip(int kind, int n) const;
    [[nodiscard]] std::string seeds() const;
    void start(const std::string& name, const std::string& settings, std::unique_ptr<process>& out);

    recorder& log_;
    std::string folder_;
    int net_ = 0;
    int mesh_port_ = 0;
    int forward_port_ = 0;
    int control_port_ = 0;
    int front_port_ = 0;
    int ready_port_ = 0;
    std::vector<std::unique_ptr<process>> controls_;
    std::vector<std::unique_ptr<process>> entries_;
};

/// A server that runs one thread for each connection.
class server {
public:
    /// Returns the bytes of the answer; nothing closes the connection.
    using handler = std::function<std::optional<std::string>(const message&)>;
    /// Handles a request that is answered in another way. Returns false to leave it to the handler;
    /// the connection is closed after true.
    using raw_handler = std::function<bool(const message&, connection&)>;
    server(const std::string& ip, int port, handler on_request, raw_handler on_raw = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    [[nodiscard]] const address& at() const { return at_; }
    void stop();

private:
    void accept_all();
    void serve(int descriptor);

    handler handler_;
    raw_handler raw_handler_;
    address at_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<int> open_;
    std::atomic<int> serving_{0}; ///< threads that serve a connection
    std::thread acceptor_;
};

/// A plain runner: sends heartbeats, works on requests for `work`, answers each with its signature.
class plain_runner {
public:
    struct options {
        std::string id;
        std::string service;
        int slots = 6;
        milliseconds work{60};
        std::string zone = "z1";
        /// Each answer of this number has a spoiled status line, "000" in place of "200". 0: none.
        int spoiled_answer = 0;
    };
    plain_runner(fleet& fleet, recorder& log, options options);
    ~plain_runner();
    plain_runner(const plain_runner&) = delete;
    plain_runner& operator=(const plain_runner&) = delete;

    [[nodiscard]] const std::string& id() const { return options_.id; }
    [[nodiscard]] const address& at() const { return server_->at(); }
    [[nodiscard]] int acknowledged() const { return acknowledged_; }
    /// Returns how often requests with this id have run.
    [[nodiscard]] int runs_of(const std::string& request);
    [[nodiscard]] int runs();
    [[nodiscard]] int spoiled() const { return spoiled_; }
    std::function<void(const message&)> on_run; ///< called before the work

private:
    std::optional<std::string> on_request(const message& in);
    void send_heartbeats();
    [[nodiscard]] std::string heartbeat();
    std::atomic<int> answers_{0};
    std::atomic<int> spoiled_{0};

    fleet& fleet_;
    recorder& log_;
    options options_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    int working_ = 0;
    int sequence_ = 0;
    std::uint64_t born_;
    std::atomic<int> acknowledged_{0};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<server> server_;
    std::thread heart_;
};

/// A runner of a service with groups: takes orders as PROTOCOL.md says, checks fences, and answers
/// requests with a stream of events while it is the head of an open group.
class group_runner {
public:
    struct options {
        std::string id;
        std::string service;
        std::string domain = "d1";
        std::string zone = "z1";
        int slots = 6;
        std::map<std::string, milliseconds> load_times; ///< of each model
        milliseconds warm{300};
        milliseconds form{300};
        int events = 5;
        milliseconds event_gap{60};
        bool checks_fences = true; ///< `requireFencing`
        /// In each stream of this number one bit of the first event's id is wrong. 0: in none.
        int spoiled_stream = 0;
    };
    group_runner(fleet& fleet, recorder& log, options options);
    ~group_runner();
    group_runner(const group_runner&) = delete;
    group_runner& operator=(const group_runner&) = delete;

    struct membership {
        std::string group;
        std::uint64_t epoch = 0;
        std::size_t rank = 0;
        std::string state; ///< empty: in no group
        std::string model;
        std::vector<std::string> members;
    };
    [[nodiscard]] const std::string& id() const { return options_.id; }
    [[nodiscard]] const address& at() const { return server_->at(); }
    [[nodiscard]] membership now();
    [[nodiscard]] std::vector<std::string> staged();
    [[nodiscard]] int runs() const { return runs_; }
    [[nodiscard]] int spoiled() const { return spoiled_; }
    struct order {
        std::string op;
        std::string group;
        std::string text;
        steady::time_point arrived;
    };
    /// Called with each order. If it returns true, the order gets no answer and is carried out when
    /// `carry_out` is called. Set before the first order.
    std::function<bool(const order&)> is_late;
    /// Carries out an order that got no answer.
    void carry_out(const order& late);
    /// Returns how often it has taken a join of another group as the head of an open group.
    [[nodiscard]] int joins_while_open() const { return joins_while_open_; }
    /// Returns the body of its next heartbeat, with another service if one is given.
    [[nodiscard]] std::string heartbeat(const std::string& service = "");
    /// Reports from now on that it drains. Returns true once that is acknowledged.
    [[nodiscard]] bool drain(milliseconds limit);
    /// Tells that it ends, as a runner does at its planned end.
    void deregister();
    /// Partitions the runner from the control daemons: it sends no heartbeats and answers none of
    /// their calls, while requests still reach it. The end of the cut sends a heartbeat at once.
    void cut_from_control(bool cut);
    std::function<void(const message&)> on_run; ///< called before the work
    /// From now on the bodies of its answers are no events and have no end, until the caller closes
    /// or `limit` has passed.
    void send_without_end(milliseconds limit) { endless_ = limit; }
    [[nodiscard]] std::string path() const
    {
        return "/cedarpoint/instances/" + options_.id + "/heartbeat";
    }

private:
    std::optional<std::string> on_request(const message& in);
    bool answer_without_end(const message& in, connection& to);
    std::string on_order(const std::string& text, const std::string& note);
    bool hold_order(const message& in);
    void advance(); ///< completes what is due
    void send_heartbeats();

    fleet& fleet_;
    recorder& log_;
    options options_;
    std::mutex mutex_;
    membership in_;
    std::string loaded_; ///< model of the last group
    std::vector<std::string> staged_;
    std::string staging_;
    steady::time_point staged_at_;
    steady::time_point due_at_; ///< when the present transition ends
    std::uint64_t highest_epoch_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t born_;
    std::atomic<int> runs_{0};
    std::atomic<int> spoiled_{0};
    std::atomic<int> joins_while_open_{0};
    std::atomic<int> working_{0};
    std::atomic<bool> changed_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> drain_acknowledged_{false};
    std::atomic<bool> cut_{false};
    std::atomic<milliseconds> endless_{milliseconds{0}};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<server> server_;
    std::thread heart_;
};

/// Returns the string or number under a key of a flat JSON object; empty if it is missing.
[[nodiscard]] std::string json_value(const std::string& text, const std::string& key);

/// Sleeps.
void wait(milliseconds time);
/// Waits until `done` returns true. Returns false when `limit` has passed.
bool wait_until(milliseconds limit, const std::function<bool()>& done);
/// Returns false if the environment has TROUBLE=0.
[[nodiscard]] bool has_trouble();
/// Runs a case: `body` returns the exit code. `argv[1]` is the file to record in.
int run_case(int argc, char** argv, const std::function<int(recorder&)>& body);

} // namespace review
