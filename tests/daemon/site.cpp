#include "daemon/site.h"

#include "io/clock.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {
namespace {

constexpr int nodes_per_group = 4;
constexpr int wait_limit_s = 60;

using json = nlohmann::json;

} // namespace

bool wait_until(const std::function<bool()>& done)
{
    const auto until = steady_now() + seconds{wait_limit_s};
    while (!done()) {
        if (steady_now() > until) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

void pass_time(duration time)
{
    wait_until([until = steady_now() + time] { return steady_now() > until; });
}

raw_caller::raw_caller(const endpoint& address)
{
    socket_.connectToHost(QHostAddress{QString::fromStdString(address.ip)}, address.port);
    wait_until([&] {
        return socket_.state() == QAbstractSocket::ConnectedState ||
               socket_.state() == QAbstractSocket::UnconnectedState;
    });
}

void raw_caller::send(const std::string& bytes)
{
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
}

const std::string& raw_caller::received()
{
    received_ += socket_.readAll().toStdString();
    return received_;
}

bool raw_caller::wait_for(const std::string& text)
{
    return wait_until([&] { return received().find(text) != std::string::npos; });
}

bool raw_caller::wait_closed()
{
    const bool closed = wait_until([&] {
        received();
        return socket_.state() == QAbstractSocket::UnconnectedState;
    });
    received();
    return closed;
}

void raw_caller::close()
{
    socket_.abort();
}

std::string plain_request(const std::string& method, const std::string& target,
                          const std::string& headers, const std::string& body)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                       "secret\r\n{}Content-Length: {}\r\n\r\n{}",
                       method, target, headers, body.size(), body);
}

std::string chat_request(const chat_options& options)
{
    const json body{{"model", "m"},
                    {"stream", options.stream},
                    {"max_tokens", options.tokens},
                    {"messages", json::array({{{"role", "user"}, {"content", options.text}}})}};
    const auto text = body.dump();
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                       "{}\r\n{}Content-Length: {}\r\n\r\n{}",
                       options.key, options.headers, text.size(), text);
}

std::vector<int> tokens_in(const std::string& answer)
{
    std::vector<int> out;
    const std::string marker = "\"content\":\"t";
    for (auto position = answer.find(marker); position != std::string::npos;
         position = answer.find(marker, position + 1)) {
        out.push_back(std::stoi(answer.substr(position + marker.size())));
    }
    return out;
}

int status_of(const std::string& text)
{
    constexpr std::size_t status_offset = 9;
    return text.size() < status_offset + 3 ? 0 : std::stoi(text.substr(status_offset, 3));
}

site::site(const options& options) : options_{options}
{
    for (int n = 0; n < options.groups * nodes_per_group + options.spares; ++n) {
        engines_.push_back(std::make_unique<stand_in_runner>(options.engine));
        reason why;
        engines_.back()->start({"127.0.0.1", 0}, why);
        addresses_.push_back(engines_.back()->address());
    }
    shop_ = std::make_unique<stand_in_runner>(options.engine);
    reason why;
    shop_->start({"127.0.0.1", 0}, why);
    start_daemon();
    apply(declarative_file(0, "first", options.groups));
    wait_until([&] { return daemon_->is_ready(); });
}

site::~site() = default;

void site::start_daemon()
{
    settings daemon_settings;
    daemon_settings.id = daemon_id{"d1"};
    daemon_settings.failure_domain = failure_domain_id{"zone"};
    daemon_settings.callers = {"127.0.0.1", 0};
    daemon_settings.operators = {"127.0.0.1", 0};
    daemon_settings.data_folder = folder_.path().toStdString();
    daemon_settings.watch_interval = milliseconds{50};
    daemon_settings.limits = options_.limits;
    daemon_settings.stop_bound = options_.stop_bound;
    if (!options_.operator_key.empty()) {
        daemon_settings.operator_key_sha256 = sha256_hex(options_.operator_key);
    }
    reason why;
    daemon_ = daemon::start(daemon_settings, why);
    if (daemon_ == nullptr) {
        fmt::print(stderr, "{}\n", why.str());
        std::abort();
    }
    exit_code_ = -1;
    daemon_->on_stopped = [this](int code) { exit_code_ = code; };
}

void site::restart()
{
    daemon_.reset();
    start_daemon();
    wait_until([&] { return daemon_->is_ready(); });
}

std::string site::declarative_file(int based_on, const std::string& change, int groups) const
{
    json out{{"based_on", based_on},
             {"change_id", change},
             {"failure_domains", {"zone"}},
             {"fabric_domains", json::array({{{"id", "rack"}, {"failure_domain", "zone"}}})},
             {"models", json::array({{{"id", "m"}, {"versions", {"1"}}}})},
             {"routing_rules", json::array({{{"model", "m"}, {"replica_groups", {"pool"}}}})}};
    for (std::size_t n = 0; n < addresses_.size(); ++n) {
        out["nodes"].push_back({{"id", fmt::format("n{}", n)}, {"fabric_domain", "rack"}});
        out["runners"].push_back({{"id", fmt::format("r{}", n)},
                                  {"node", fmt::format("n{}", n)},
                                  {"address", addresses_[n].str()},
                                  {"slots", options_.slots}});
    }
    out["replica_groups"].push_back({{"id", "pool"},
                                     {"model", "m"},
                                     {"version", "1"},
                                     {"failure_domain", "zone"},
                                     {"size", nodes_per_group},
                                     {"count", groups}});
    out["services"].push_back(
        {{"id", "shop"},
         {"path_prefix", "/shop"},
         {"upstreams", json::array({{{"id", "shop-1"},
                                     {"failure_domain", "zone"},
                                     {"address", shop_->address().str()}}})}});
    out["client_accounts"].push_back({{"id", "acme"},
                                      {"key_sha256", sha256_hex("secret")},
                                      {"home_failure_domain", "zone"},
                                      {"priorities", {"normal", "alarm", "bulk"}},
                                      {"max_in_flight", options_.max_in_flight}});
    return out.dump();
}

bool site::apply(const std::string& document)
{
    raw_caller it{operators()};
    it.send(plain_request("POST", "/v1/configuration", "Connection: close\r\n", document));
    it.wait_closed();
    return status_of(it.received()) == 200;
}

bool site::drain(const std::string& kind, const std::string& id, bool draining)
{
    raw_caller it{operators()};
    const json body{{"kind", kind}, {"id", id}, {"draining", draining}};
    it.send(plain_request("POST", "/v1/drain", "Connection: close\r\n", body.dump()));
    it.wait_closed();
    return status_of(it.received()) == 200;
}

bool site::wait_serving()
{
    return wait_until([&] {
        const auto& all = daemon_->control().domain().groups().records();
        return static_cast<int>(all.size()) == options_.groups &&
               std::all_of(all.begin(), all.end(),
                           [](const auto& it) { return it.second.state == group_state::serving; });
    });
}

std::size_t site::engine_index_of(const std::string& group)
{
    const auto* it = daemon_->control().domain().groups().find(group_id{group});
    return it == nullptr ? 0
                         : static_cast<std::size_t>(std::stoi(it->nodes.front().str().substr(1)));
}

int site::arrivals(const std::string& text) const
{
    int out = 0;
    for (const auto& it : engines_) {
        if (it != nullptr) {
            for (const auto& [body, n] : it->arrivals()) {
                out += body.find(text) != std::string::npos ? n : 0;
            }
        }
    }
    for (const auto& [body, n] : shop_->arrivals()) {
        out += body.find(text) != std::string::npos ? n : 0;
    }
    return out;
}

} // namespace cedarpoint::testing_support
