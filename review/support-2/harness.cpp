#include "harness.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t read_block = 65536;
constexpr int backlog = 256;

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

sockaddr_in to_sockaddr(const address& in)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(in.port));
    ::inet_pton(AF_INET, in.ip.c_str(), &out.sin_addr);
    return out;
}

/// Returns a listening socket, or -1.
int listen_at(const address& at)
{
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(out, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto to = to_sockaddr(at);
    if (::bind(out, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(out, backlog) != 0) {
        ::close(out);
        return -1;
    }
    return out;
}

bool is_free(const address& at)
{
    const int descriptor = listen_at(at);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    return descriptor >= 0;
}

int port_of(int listener)
{
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::string json_text(const std::string& in)
{
    return "\"" + in + "\"";
}

} // namespace

// --- record -------------------------------------------------------------------------------------

recorder::recorder(const std::string& file) : file_{std::fopen(file.c_str(), "w")} {}

recorder::~recorder()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock{mutex_};
    const auto ms = std::chrono::duration_cast<milliseconds>(steady::now() - start_).count();
    for (FILE* out : {file_, stdout}) {
        if (out != nullptr) {
            std::fprintf(out, "%7.3f  %s\n", static_cast<double>(ms) / 1000.0, text.c_str());
            std::fflush(out);
        }
    }
}

// --- HTTP ---------------------------------------------------------------------------------------

std::string find_field(const fields& in, std::string_view name)
{
    for (const auto& [key, value] : in) {
        if (equal_ignoring_case(key, name)) {
            return value;
        }
    }
    return {};
}

int message::status() const
{
    const auto space = first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const
{
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

std::unique_ptr<connection> connection::open(const address& to, milliseconds limit)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto out = std::make_unique<connection>(descriptor);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto at = to_sockaddr(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        if (errno != EINPROGRESS) {
            return {};
        }
        pollfd it{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&it, 1, static_cast<int>(limit.count())) <= 0 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return {};
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return out;
}

void connection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool connection::fill(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    pollfd it{descriptor_, POLLIN, 0};
    if (left < 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::string block(read_block, '\0');
    const auto n = ::recv(descriptor_, block.data(), block.size(), 0);
    if (n <= 0) {
        ended_ = true;
        return false;
    }
    bytes_.append(block, 0, static_cast<std::size_t>(n));
    return true;
}

bool connection::wait_closed(milliseconds limit)
{
    const auto until = steady::now() + limit;
    while (fill(until)) {
    }
    return ended_;
}

std::optional<message> connection::read(bool is_answer, milliseconds limit)
{
    const auto until = steady::now() + limit;
    auto end = bytes_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(until)) {
            if (bytes_.empty()) {
                return {};
            }
            return message{};
        }
        end = bytes_.find("\r\n\r\n");
    }
    message out;
    std::size_t at = bytes_.find("\r\n");
    out.first_line = bytes_.substr(0, at);
    while (at < end) {
        const auto begin = at + 2;
        at = bytes_.find("\r\n", begin);
        const auto line = bytes_.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.head.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
        }
    }
    bytes_.erase(0, end + 4);
    const auto length = find_field(out.head, "Content-Length");
    const bool is_chunked =
        equal_ignoring_case(find_field(out.head, "Transfer-Encoding"), "chunked");
    if (is_chunked) {
        for (;;) {
            while (bytes_.find("\r\n") == std::string::npos) {
                if (!fill(until)) {
                    return out;
                }
            }
            const auto line_end = bytes_.find("\r\n");
            const auto size = std::strtoul(bytes_.c_str(), nullptr, 16);
            while (bytes_.size() < line_end + 2 + size + 2) {
                if (!fill(until)) {
                    return out;
                }
            }
            out.body += bytes_.substr(line_end + 2, size);
            bytes_.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                out.is_complete = true;
                return out;
            }
        }
    }
    if (length.empty() && is_answer) {
        while (fill(until)) {
        }
        out.body = std::exchange(bytes_, {});
        out.is_complete = ended_;
        return out;
    }
    const auto size = std::strtoul(length.c_str(), nullptr, 10);
    while (bytes_.size() < size) {
        if (!fill(until)) {
            return out;
        }
    }
    out.body = bytes_.substr(0, size);
    bytes_.erase(0, size);
    out.is_complete = true;
    return out;
}

std::string make_request(const std::string& method, const std::string& target, const fields& head,
                         const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : head) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

std::string make_answer(int status, const fields& head, const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : head) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<message> call(const address& to, const std::string& method, const std::string& target,
                            const std::string& body, milliseconds limit)
{
    const auto connected = connection::open(to);
    if (connected == nullptr ||
        !connected->write(make_request(
            method, target, {{"Host", to.str()}, {"Content-Type", "application/json"}}, body))) {
        return {};
    }
    auto out = connected->read(true, limit);
    return out && out->is_complete ? out : std::nullopt;
}

// --- processes ----------------------------------------------------------------------------------

process::process(std::vector<std::string> arguments, std::string log)
{
    std::vector<char*> argv;
    for (auto& each : arguments) {
        argv.push_back(each.data());
    }
    argv.push_back(nullptr);
    const pid_t parent = ::getpid();
    id_ = ::fork();
    if (id_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        if (::getppid() != parent) {
            ::_exit(127);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
}

process::~process()
{
    if (is_running()) {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
    }
}

void process::signal(int number)
{
    if (is_running()) {
        ::kill(id_, number);
    }
}

bool process::is_running()
{
    if (!reaped_ && ::waitpid(id_, nullptr, WNOHANG) == id_) {
        reaped_ = true;
    }
    return !reaped_;
}

std::size_t process::memory() const
{
    std::ifstream in{"/proc/" + std::to_string(id_) + "/statm"};
    std::size_t all = 0;
    std::size_t resident = 0;
    in >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// --- fleet --------------------------------------------------------------------------------------

fleet::fleet(recorder& log, int entries) : log_{log}
{
    if (::access("target/cedarpoint", X_OK) != 0) {
        throw can_not_run{"target/cedarpoint is missing: run the build of the deploy file"};
    }
    std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
        throw can_not_run{"no temporary folder"};
    }
    folder_ = name;
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> nets{20, 250};
    std::uniform_int_distribution<int> ports{12'000, 29'000};
    for (bool found = false; !found;) {
        net_ = nets(random);
        const int base = ports(random);
        mesh_port_ = base;
        forward_port_ = base + 1;
        control_port_ = base + 2;
        front_port_ = base + 3;
        ready_port_ = base + 4;
        found = true;
        for (int kind : {1, 3}) {
            for (int n = 0; n < std::max(control_count, entries); ++n) {
                for (int port = base; port < base + 5; ++port) {
                    found = found && is_free({ip(kind, n), port});
                }
            }
        }
    }
    controls_.resize(control_count);
    entries_.resize(static_cast<std::size_t>(entries));
    for (int n = 0; n < control_count; ++n) {
        start_control(n, true);
    }
    for (int n = 0; n < entries; ++n) {
        start_entry(n);
    }
}

fleet::~fleet()
{
    controls_.clear();
    entries_.clear();
    std::error_code ec;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder_, ec);
    }
}

std::string fleet::ip(int kind, int n) const
{
    return "127." + std::to_string(net_) + "." + std::to_string(kind) + "." + std::to_string(n + 1);
}

std::string fleet::seeds() const
{
    std::string out;
    for (int n = 0; n < control_count; ++n) {
        out += (n == 0 ? "" : ",") + json_text(control(n).str());
    }
    return "[" + out + "]";
}

void fleet::start(const std::string& name, const std::string& settings,
                  std::unique_ptr<process>& out)
{
    const auto file = folder_ + "/" + name + ".json";
    std::ofstream{file} << settings;
    out = std::make_unique<process>(
        std::vector<std::string>{"target/cedarpoint", "fleet", "--settings", file},
        folder_ + "/" + name + ".log");
    log_.line("started " + name + " as process " + std::to_string(out->id()));
}

void fleet::start_control(int n, bool first)
{
    const auto name = "control-" + std::to_string(n + 1);
    const auto data = folder_ + "/" + name;
    std::filesystem::create_directories(data);
    start(name,
          R"({"role":"control","name":)" + json_text(name) + R"(,"failure_domain":"z)" +
              std::to_string(n + 1) + R"(","address":)" +
              json_text(address{ip(1, n), mesh_port_}.str()) + R"(,"control":)" +
              json_text(control(n).str()) + R"(,"data_folder":)" + json_text(data) +
              R"(,"seeds":)" + seeds() + R"(,"tolerated_losses":1,"first_start":)" +
              (first ? "true" : "false") +
              R"(,"heartbeat_ms":1200,"stall_ms":4000,"stop_bound_ms":8000})",
          controls_.at(static_cast<std::size_t>(n)));
}

void fleet::start_entry(int n)
{
    const auto name = "entry-" + std::to_string(n + 1);
    start(name,
          R"({"role":"entry","name":)" + json_text(name) + R"(,"failure_domain":"z)" +
              std::to_string(n + 1) + R"(","address":)" +
              json_text(address{ip(3, n), mesh_port_}.str()) + R"(,"forwards":)" +
              json_text(address{ip(3, n), forward_port_}.str()) + R"(,"callers":)" +
              json_text(callers(n).str()) + R"(,"ready":)" + json_text(ready(n).str()) +
              R"(,"seeds":)" + seeds() +
              R"(,"stall_ms":4000,"stop_bound_ms":8000,)"
              R"("retry_budget":{"ratio":0.2,"window_ms":10000,"slack":136}})",
          entries_.at(static_cast<std::size_t>(n)));
}

std::optional<message> fleet::call_control(const std::string& method, const std::string& target,
                                           const std::string& body, milliseconds patience)
{
    const auto until = steady::now() + patience;
    std::optional<message> out;
    for (int n = 0; steady::now() < until; n = (n + 1) % control_count) {
        auto to = control(n);
        for (int hop = 0; hop < 3; ++hop) {
            out = call(to, method, target, body);
            if (!out || out->status() != 307) {
                break;
            }
            const auto location = find_field(out->head, "Location");
            const auto begin = location.find("//") + 2;
            const auto colon = location.find(':', begin);
            to = {location.substr(begin, colon - begin), std::atoi(location.c_str() + colon + 1)};
        }
        if (out && out->status() != 307 && out->status() < 500) {
            return out;
        }
        wait(milliseconds{150});
    }
    return out;
}

bool fleet::wait_ready(int n, milliseconds limit)
{
    return wait_until(limit, [&] {
        const auto it = call(ready(n), "GET", "/cedarpoint/readyz", "");
        return it && it->status() == 200;
    });
}

std::optional<int> fleet::leader() const
{
    for (int n = 0; n < control_count; ++n) {
        const auto it = call(control(n), "GET", "/cedarpoint/config/get", "", milliseconds{400});
        if (it && it->status() == 200) {
            return n;
        }
    }
    return {};
}

// --- servers ------------------------------------------------------------------------------------

server::server(const std::string& ip, int port, handler on_request, raw_handler on_raw)
    : handler_{std::move(on_request)}, raw_handler_{std::move(on_raw)}, at_{ip, port}
{
    listener_ = listen_at(at_);
    if (listener_ < 0) {
        throw can_not_run{"no server at " + at_.str()};
    }
    at_.port = port_of(listener_);
    acceptor_ = std::thread{[this] { accept_all(); }};
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (stopping_.exchange(true)) {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock{mutex_};
        for (const int each : open_) {
            ::shutdown(each, SHUT_RDWR);
        }
    }
    while (serving_ > 0) {
        wait(milliseconds{5});
    }
}

void server::accept_all()
{
    while (!stopping_) {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (stopping_ || errno == EINVAL) {
                return;
            }
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{mutex_};
        open_.push_back(descriptor);
        ++serving_;
        std::thread{[this, descriptor] {
            serve(descriptor);
            --serving_;
        }}.detach();
    }
}

void server::serve(int descriptor)
{
    connection it{descriptor};
    while (!stopping_) {
        const auto request = it.read(false, milliseconds{30'000});
        if (!request || !request->is_complete) {
            break;
        }
        if (raw_handler_ && raw_handler_(*request, it)) {
            break;
        }
        const auto answer = handler_(*request);
        if (!answer || !it.write(*answer)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    std::erase(open_, descriptor);
    it.close();
}

// --- a plain runner -----------------------------------------------------------------------------

plain_runner::plain_runner(fleet& fleet, recorder& log, options options)
    : fleet_{fleet}, log_{log}, options_{std::move(options)}, born_{unix_ms()}
{
    server_ = std::make_unique<server>(fleet_.runner_ip(), 0,
                                       [this](const message& in) { return on_request(in); });
    heart_ = std::thread{[this] { send_heartbeats(); }};
}

plain_runner::~plain_runner()
{
    stopping_ = true;
    heart_.join();
    server_->stop();
}

int plain_runner::runs_of(const std::string& request)
{
    const std::lock_guard lock{mutex_};
    return runs_[request];
}

int plain_runner::runs()
{
    const std::lock_guard lock{mutex_};
    int out = 0;
    for (const auto& [request, count] : runs_) {
        out += count;
    }
    return out;
}

std::string plain_runner::heartbeat()
{
    return R"({"service":)" + json_text(options_.service) + R"(,"address":)" +
           json_text(server_->at().str()) + R"(,"zone":)" + json_text(options_.zone) +
           R"(,"version":"v1","slots":)" + std::to_string(options_.slots) +
           R"(,"state":"ready","coldRemainingMs":0,"sequence":)" + std::to_string(++sequence_) +
           R"(,"born":)" + std::to_string(born_) + "}";
}

void plain_runner::send_heartbeats()
{
    while (!stopping_) {
        const auto answer =
            fleet_.call_control("POST", "/cedarpoint/instances/" + options_.id + "/heartbeat",
                                heartbeat(), milliseconds{1000});
        acknowledged_ += answer && answer->status() / 100 == 2 ? 1 : 0;
        for (int n = 0; n < 12 && !stopping_; ++n) {
            wait(milliseconds{100});
        }
    }
}

std::optional<std::string> plain_runner::on_request(const message& in)
{
    const auto request = find_field(in.head, "X-Cedarpoint-Request-Id");
    fields head{{"X-Cedarpoint-Request-Id", request}};
    if (in.target() == "/cedarpoint/report") {
        return make_answer(200, {}, R"({"stage":"unified","models":[],"busy":false})");
    }
    if (find_field(in.head, "X-Cedarpoint-Expect-Instance") != options_.id) {
        return make_answer(421, head, "");
    }
    {
        const std::lock_guard lock{mutex_};
        if (working_ >= 2 * options_.slots) {
            head.emplace_back("X-Cedarpoint-Not-Executed", "1");
            return make_answer(503, head, "");
        }
        ++working_;
        ++runs_[request];
    }
    if (on_run) {
        on_run(in);
    }
    wait(options_.work);
    {
        const std::lock_guard lock{mutex_};
        --working_;
    }
    head.emplace_back("X-Cedarpoint-Instance-Signature", "signed-by-" + options_.id);
    auto out = make_answer(200, head, "answer of " + options_.service);
    if (options_.spoiled_answer > 0 && ++answers_ % options_.spoiled_answer == 0) {
        out[out.find("200")] = '0'; // one bit
        ++spoiled_;
        log_.line(options_.id + " spoils its answer to " + request);
    }
    return out;
}

// --- a runner with groups -----------------------------------------------------------------------

std::string json_value(const std::string& text, const std::string& key)
{
    auto at = text.find("\"" + key + "\"");
    if (at == std::string::npos) {
        return {};
    }
    at = text.find_first_not_of(" :", at + key.size() + 2);
    if (text[at] == '"') {
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    }
    if (text[at] == '[') {
        return text.substr(at, text.find(']', at) - at + 1);
    }
    return text.substr(at, text.find_first_of(",}", at) - at);
}

namespace {

std::vector<std::string> split_list(const std::string& json)
{
    std::vector<std::string> out;
    for (auto at = json.find('"'); at != std::string::npos; at = json.find('"', at + 1)) {
        const auto end = json.find('"', at + 1);
        out.push_back(json.substr(at + 1, end - at - 1));
        at = end;
    }
    return out;
}

} // namespace

group_runner::group_runner(fleet& fleet, recorder& log, options options)
    : fleet_{fleet}, log_{log}, options_{std::move(options)}, born_{unix_ms()}
{
    server_ = std::make_unique<server>(
        fleet_.runner_ip(), 0, [this](const message& in) { return on_request(in); },
        [this](const message& in, connection& to) {
            return hold_order(in) || answer_without_end(in, to);
        });
    heart_ = std::thread{[this] { send_heartbeats(); }};
}

group_runner::~group_runner()
{
    stopping_ = true;
    heart_.join();
    server_->stop();
}

group_runner::membership group_runner::now()
{
    const std::lock_guard lock{mutex_};
    advance();
    return in_;
}

std::vector<std::string> group_runner::staged()
{
    const std::lock_guard lock{mutex_};
    advance();
    return staged_;
}

void group_runner::advance()
{
    const auto time = steady::now();
    if (!staging_.empty() && time >= staged_at_) {
        staged_ = {std::exchange(staging_, {})}; // the host keeps one
        changed_ = true;
    }
    if (in_.state == "joining" && time >= due_at_) {
        in_.state = "ready";
        loaded_ = in_.model;
        changed_ = true;
    }
    if (in_.state == "opening" && time >= due_at_) {
        in_.state = "open";
        changed_ = true;
    }
}

std::string group_runner::heartbeat(const std::string& service)
{
    const std::lock_guard lock{mutex_};
    advance();
    std::string out =
        R"({"service":)" + json_text(service.empty() ? options_.service : service) +
        R"(,"address":)" + json_text(server_->at().str()) + R"(,"zone":)" +
        json_text(options_.zone) + R"(,"version":"v1","slots":)" + std::to_string(options_.slots) +
        R"(,"state":)" + (draining_ ? R"("draining")" : R"("ready")") +
        R"(,"coldRemainingMs":0,"stage":"unified","sequence":)" + std::to_string(++sequence_) +
        R"(,"born":)" + std::to_string(born_) + R"(,"domain":)" + json_text(options_.domain) +
        R"(,"models":[)" +
        (loaded_.empty() ? ""
                         : R"({"name":)" + json_text(loaded_) + R"(,"version":1,"adapters":[]})") +
        R"(],"staged":[)";
    for (std::size_t n = 0; n < staged_.size(); ++n) {
        out += (n == 0 ? "" : ",") + json_text(staged_[n]);
    }
    out += "]";
    if (!in_.state.empty()) {
        out += R"(,"group":{"name":)" + json_text(in_.group) + R"(,"epoch":)" +
               std::to_string(in_.epoch) + R"(,"rank":)" + std::to_string(in_.rank) +
               R"(,"state":)" + json_text(in_.state == "opening" ? "ready" : in_.state) + "}";
    }
    return out + "}";
}

void group_runner::send_heartbeats()
{
    while (!stopping_) {
        changed_ = false;
        const bool reports_draining = draining_;
        const auto answer =
            cut_ ? std::nullopt
                 : fleet_.call_control("POST", path(), heartbeat(), milliseconds{1000});
        if (answer && answer->status() / 100 == 2 && reports_draining) {
            drain_acknowledged_ = true;
        }
        for (int n = 0; n < 24 && !stopping_ && !changed_; ++n) {
            wait(milliseconds{50});
            const std::lock_guard lock{mutex_};
            advance();
        }
    }
}

bool group_runner::drain(milliseconds limit)
{
    draining_ = true;
    changed_ = true;
    return wait_until(limit, [this] { return drain_acknowledged_.load(); });
}

void group_runner::deregister()
{
    stopping_ = true;
    const auto answer =
        fleet_.call_control("POST", "/cedarpoint/instances/" + options_.id + "/deregister",
                            R"({"born":)" + std::to_string(born_) + "}", milliseconds{2000});
    log_.line(options_.id +
              " deregisters: " + (answer ? std::to_string(answer->status()) : "no answer"));
}

void group_runner::cut_from_control(bool cut)
{
    cut_ = cut;
    changed_ = true;
}

bool group_runner::hold_order(const message& in)
{
    if (!is_late || in.target() != "/cedarpoint/order" ||
        find_field(in.head, "X-Cedarpoint-Expect-Instance") != options_.id) {
        return false;
    }
    const order it{json_value(in.body, "op"), json_value(in.body, "group"), in.body, steady::now()};
    if (!is_late(it)) {
        return false;
    }
    log_.line("order to " + options_.id + ": " + it.op + " " + it.group + " gets no answer");
    wait_until(milliseconds{2000}, [this] { return stopping_.load(); });
    return true;
}

void group_runner::carry_out(const order& late)
{
    const auto passed =
        std::chrono::duration_cast<milliseconds>(steady::now() - late.arrived).count();
    (void)on_order(late.text, ", carried out " + std::to_string(passed) + " ms late");
}

std::string group_runner::on_order(const std::string& text, const std::string& note)
{
    const std::lock_guard lock{mutex_};
    advance();
    const auto op = json_value(text, "op");
    const auto group = json_value(text, "group");
    const auto epoch = std::strtoull(json_value(text, "epoch").c_str(), nullptr, 10);
    const auto fence = std::strtoull(json_value(text, "fencingToken").c_str(), nullptr, 10);
    const auto answer = [&](int status) {
        log_.line("order to " + options_.id + ": " + op + " " + group + " " +
                  json_value(text, "model") + " -> " + std::to_string(status) + note);
        return make_answer(status, {}, "");
    };
    if (options_.checks_fences && fence < highest_fence_) {
        return answer(412);
    }
    highest_fence_ = std::max<std::uint64_t>(highest_fence_, fence);
    const auto begin_order = [&] {
        ++orders_;
        changed_ = true;
    };
    if (op == "stage") {
        const auto model = json_value(text, "model");
        if (staging_ == model ||
            std::find(staged_.begin(), staged_.end(), model) != staged_.end()) {
            return answer(200);
        }
        begin_order();
        staging_ = model;
        staged_at_ = steady::now() + options_.load_times[model];
        return answer(202);
    }
    if (op == "join") {
        const auto members = split_list(json_value(text, "members"));
        const bool is_same = !in_.state.empty() && in_.group == group && in_.epoch == epoch;
        if (epoch < highest_epoch_ || (is_same && in_.members != members)) {
            return answer(412);
        }
        if (is_same) {
            return answer(200);
        }
        begin_order();
        if (in_.state == "open" && in_.rank == 0) {
            ++joins_while_open_;
            log_.line(options_.id + " takes the join of " + group + " while it is the head of " +
                      in_.group + ", which is open");
        }
        highest_epoch_ = epoch;
        in_ = {group, epoch, 0, "joining", json_value(text, "model"), members};
        in_.rank = static_cast<std::size_t>(std::find(members.begin(), members.end(), options_.id) -
                                            members.begin());
        const bool is_staged =
            std::find(staged_.begin(), staged_.end(), in_.model) != staged_.end();
        const auto time = loaded_ == in_.model ? milliseconds{200}
                          : is_staged          ? options_.warm
                                               : options_.load_times[in_.model];
        if (loaded_ != in_.model && !is_staged) {
            staging_ = in_.model;
            staged_at_ = steady::now() + time;
        }
        due_at_ = steady::now() + time;
        return answer(202);
    }
    if (in_.state.empty() || in_.group != group || in_.epoch != epoch) {
        return answer(409);
    }
    if (op == "open") {
        if (in_.state == "open" || in_.state == "opening") {
            return answer(200);
        }
        if (in_.state != "ready" || in_.rank != 0) {
            return answer(409);
        }
        begin_order();
        in_.state = "opening";
        due_at_ = steady::now() + options_.form;
        return answer(202);
    }
    if (op == "close") {
        begin_order();
        in_.state = "ready";
        return answer(202);
    }
    if (op == "leave") {
        begin_order();
        in_ = {};
        return answer(200);
    }
    return answer(400);
}

bool group_runner::answer_without_end(const message& in, connection& to)
{
    const auto limit = endless_.load();
    if (limit == milliseconds{0} || in.target().starts_with("/cedarpoint/") ||
        find_field(in.head, "X-Cedarpoint-Expect-Instance") != options_.id ||
        now().state != "open" || working_ >= options_.slots) {
        return false;
    }
    ++working_;
    ++runs_;
    if (on_run) {
        on_run(in);
    }
    const auto until = steady::now() + limit;
    bool is_open = to.write("HTTP/1.1 200 OK\r\nX-Cedarpoint-Request-Id: " +
                            find_field(in.head, "X-Cedarpoint-Request-Id") +
                            "\r\nX-Cedarpoint-Instance-Signature: signed-by-" + options_.id +
                            "\r\nContent-Type: text/event-stream\r\n\r\n");
    const std::string block(read_block, 'x');
    while (is_open && !stopping_ && steady::now() < until) {
        is_open = to.write(block);
    }
    --working_;
    return true;
}

std::optional<std::string> group_runner::on_request(const message& in)
{
    const auto request = find_field(in.head, "X-Cedarpoint-Request-Id");
    fields head{{"X-Cedarpoint-Request-Id", request}};
    if (find_field(in.head, "X-Cedarpoint-Expect-Instance") != options_.id) {
        return make_answer(421, head, "");
    }
    if (in.target().starts_with("/cedarpoint/") && cut_) {
        wait_until(milliseconds{10'000}, [this] { return !cut_ || stopping_; });
        return {}; // lost on its way
    }
    if (in.target() == "/cedarpoint/report") {
        return make_answer(200, {{"Content-Type", "application/json"}},
                           heartbeat()); // tells the same of the runner
    }
    if (in.target() == "/cedarpoint/order") {
        return on_order(in.body, "");
    }
    if (now().state != "open") {
        return make_answer(421, head, "");
    }
    if (working_ >= options_.slots) {
        head.emplace_back("X-Cedarpoint-Not-Executed", "1");
        return make_answer(503, head, "");
    }
    ++working_;
    const int run = ++runs_;
    if (on_run) {
        on_run(in);
    }
    const auto after = std::atoi(find_field(in.head, "Last-Event-Id").c_str());
    std::string events;
    for (int n = after + 1; n <= options_.events; ++n) {
        wait(options_.event_gap);
        auto id = std::to_string(n);
        if (n == 1 && options_.spoiled_stream > 0 && run % options_.spoiled_stream == 0) {
            id = "9"; // "1" with one bit wrong
            ++spoiled_;
            log_.line(options_.id + " spoils the first event of " + request);
        }
        events += "id: " + id + "\ndata: token " + std::to_string(n) + "\n\n";
    }
    --working_;
    head.emplace_back("X-Cedarpoint-Instance-Signature", "signed-by-" + options_.id);
    head.emplace_back("X-Cedarpoint-Weight-Versions", "1");
    head.emplace_back("Content-Type", "text/event-stream");
    return make_answer(200, head, events);
}

// --- cases --------------------------------------------------------------------------------------

void wait(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool wait_until(milliseconds limit, const std::function<bool()>& done)
{
    const auto until = steady::now() + limit;
    while (!done()) {
        if (steady::now() >= until) {
            return false;
        }
        wait(milliseconds{50});
    }
    return true;
}

bool has_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string_view{it} != "0";
}

int run_case(int argc, char** argv, const std::function<int(recorder&)>& body)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    recorder log{argv[1]};
    int out = exit_not_run;
    try {
        log.line(std::string{"disruption: "} + (has_trouble() ? "yes" : "no"));
        out = body(log);
    }
    catch (const can_not_run& error) {
        log.line("could not run: " + error.why);
    }
    log.line("exit " + std::to_string(out));
    return out;
}

} // namespace review
