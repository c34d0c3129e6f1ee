#include "fleet/fleet_site.h"

#include "daemon/site.h"
#include "io/clock.h"

#include <QCoreApplication>
#include <QTcpServer>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {
namespace {

using nlohmann::json;

constexpr int heartbeat_ms = 150;

constexpr std::array<const char*, 4> addresses{"127.0.0.11", "127.0.0.12", "127.0.0.13",
                                               "127.0.0.21"};

bool is_free(std::uint16_t port)
{
    return std::all_of(addresses.begin(), addresses.end(), [&](const char* address) {
        QTcpServer server;
        return server.listen(QHostAddress{QString::fromLatin1(address)}, port);
    });
}

/// A port that is free on every address of a site. Test processes run side by side, so each takes
/// its own below the range from which the kernel gives ports to connections.
std::uint16_t free_port()
{
    constexpr int first = 12'000;
    constexpr int count = 20'000;
    constexpr int apart = 101; ///< between the ports that neighbouring processes begin with
    static int next = static_cast<int>(QCoreApplication::applicationPid() * apart % count);
    for (int tries = 0; tries < count; ++tries) {
        next = (next + 1) % count;
        if (const auto port = static_cast<std::uint16_t>(first + next); is_free(port)) {
            return port;
        }
    }
    return 0;
}

caller_limits runner_limits()
{
    caller_limits out;
    out.max_connections = 100;
    return out;
}

} // namespace

http_answer call(const endpoint& to, const std::string& method, const std::string& target,
                 const std::string& headers, const std::string& body)
{
    runner_connection connection{to};
    http_answer out;
    bool done = false;
    exchange_request request;
    request.bytes =
        fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}Content-Length: {}\r\n\r\n{}", method,
                    target, headers, body.size(), body);
    exchange_handlers handlers;
    handlers.on_head = [&](const http_head& head) { out.head = head; };
    handlers.on_body = [&](const std::string& bytes) { out.body += bytes; };
    handlers.on_end = [&](exchange_end how, const reason&) {
        out.end = how;
        done = true;
    };
    connection.start(std::move(request), std::move(handlers));
    wait_until([&] { return done; });
    return out;
}

platform_runner::platform_runner(std::string id, std::string service,
                                 std::vector<endpoint> controls, std::uint64_t born,
                                 std::uint64_t sequence)
    : id_{std::move(id)}, service_{std::move(service)}, controls_{std::move(controls)}, born_{born},
      sequence_{sequence}
{
    QObject::connect(&timer_, &QTimer::timeout, [this] { announce(); });
    begin_life();
}

void platform_runner::begin_life()
{
    listener_ = std::make_unique<http_listener>(
        runner_limits(),
        [this](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            on_request(request, reply);
        });
    reason why;
    EXPECT_TRUE(listener_->start(address_, why)) << why.str();
    address_ = listener_->address();
    timer_.start(heartbeat_ms);
}

void platform_runner::crash()
{
    if (listener_ == nullptr) {
        return;
    }
    ends.push_back(steady_now());
    timer_.stop();
    listener_.reset();
    group_.clear();
    state_.clear();
    sequence_ = 0;
    ++born_;
    QTimer::singleShot(time_away, &timer_, [this] { begin_life(); });
}

std::string platform_runner::announcement_text()
{
    json out{{"service", service_},
             {"address", address_.str()},
             {"zone", "z"},
             {"slots", slots},
             {"version", "v1"},
             {"state", draining_ ? "draining" : "ready"},
             {"coldRemainingMs", 0},
             {"sequence", ++sequence_},
             {"domain", "z-d0"},
             {"staged", {"small"}},
             {"models", json::array({{{"name", "small"}, {"version", 1}}})}};
    if (born_ > 0) {
        out["born"] = born_;
    }
    if (!group_.empty()) {
        out["group"] = {{"name", group_}, {"epoch", epoch_}, {"rank", rank_}, {"state", state_}};
    }
    return out.dump();
}

void platform_runner::announce()
{
    if (announcing_) {
        return;
    }
    announcing_ = true;
    const auto body = announcement_text();
    const bool tells_drain = draining_;
    exchange_request request;
    request.bytes = fmt::format("POST /cedarpoint/instances/{}/heartbeat HTTP/1.1\r\n"
                                "Host: h\r\nContent-Length: {}\r\n\r\n{}",
                                id_, body.size(), body);
    auto* connection = pool_.take(controls_[control_]);
    const auto status = std::make_shared<int>(0);
    exchange_handlers handlers;
    handlers.on_head = [status](const http_head& head) { *status = head.status; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_end = [this, connection, status, tells_drain](exchange_end, const reason&) {
        pool_.give_back(connection);
        announcing_ = false;
        if (*status == 200) {
            drain_acknowledged_ = drain_acknowledged_ || tells_drain;
            return;
        }
        control_ = (control_ + 1) % controls_.size();
    };
    connection->start(std::move(request), std::move(handlers));
}

void platform_runner::drain()
{
    draining_ = true;
}

void platform_runner::on_request(const http_request& request,
                                 const std::shared_ptr<http_reply>& reply)
{
    if (request.target == "/cedarpoint/report") {
        reply->send({200, {}}, "{}");
        return;
    }
    if (request.target == "/cedarpoint/order") {
        take_order(request, reply);
        return;
    }
    accounts.emplace_back(request.fields.get("X-Cedarpoint-Tenant"));
    if (request.fields.get("X-Cedarpoint-Expect-Instance") != id_) {
        http_head head{421, {}};
        head.fields.add("X-Cedarpoint-Request-Id",
                        std::string{request.fields.get("X-Cedarpoint-Request-Id")});
        reply->send(std::move(head), "");
        return;
    }
    if (is_turned_away(request, reply)) {
        return;
    }
    auto head = make_head(request);
    ++served_;
    arrivals.push_back({steady_now(), std::string{request.fields.get("X-Cedarpoint-Request-Id")},
                        request.body, !rate_limit.empty()});
    if (!ended_by.empty() && request.body.find(ended_by) != std::string::npos) {
        QTimer::singleShot(time_to_end, &timer_, [this] { crash(); });
        return;
    }
    if (service_ == "pool") {
        stream(request, reply);
        return;
    }
    if (fail_next > 0) {
        --fail_next;
        head.status = 500;
    }
    if (answer_time == milliseconds{0}) {
        reply->send(std::move(head), "plain " + request.body);
        return;
    }
    QTimer::singleShot(answer_time,
                       [reply, head, body = request.body] { reply->send(head, "plain " + body); });
}

http_head platform_runner::make_head(const http_request& request) const
{
    http_head out{200, {}};
    out.fields.add("X-Cedarpoint-Request-Id",
                   std::string{request.fields.get("X-Cedarpoint-Request-Id")});
    out.fields.add("X-Cedarpoint-Instance-Signature", "signed-by-" + id_);
    if (!rate_limit.empty()) {
        out.fields.add("Server-Limit", rate_limit);
    }
    if (leaving) {
        out.fields.add("Server-Leaving", "1");
    }
    return out;
}

bool platform_runner::is_turned_away(const http_request& request,
                                     const std::shared_ptr<http_reply>& reply)
{
    if (!turn_away) {
        return false;
    }
    const auto retry_after = turn_away(std::string{request.fields.get("X-Cedarpoint-Request-Id")});
    if (!retry_after) {
        return false;
    }
    auto head = make_head(request);
    head.status = 503;
    if (disclaims) {
        head.fields.add("X-Cedarpoint-Not-Executed", "1");
    }
    if (!retry_after->empty()) {
        head.fields.add("Retry-After", *retry_after);
    }
    reply->send(std::move(head), "");
    return true;
}

void platform_runner::be_silent(bool silent)
{
    if (silent) {
        timer_.stop();
    }
    else {
        timer_.start(heartbeat_ms);
    }
}

void platform_runner::stream(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    auto head = make_head(request);
    head.fields.add("Content-Type", "text/event-stream");
    reply->begin(std::move(head));
    const std::string after{request.fields.get("Last-Event-Id")};
    for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= 3; ++event) {
        reply->write(fmt::format("id: {}\ndata: token {}\n\n", event, event));
        if (cut_stream) {
            cut_stream = false;
            reply->write("id: 2\nda");
            QTimer::singleShot(20, [reply] { reply->abort(); });
            return;
        }
    }
    reply->finish();
}

void platform_runner::take_order(const http_request& request,
                                 const std::shared_ptr<http_reply>& reply)
{
    const auto order = json::parse(request.body);
    const auto op = order.at("op").get<std::string>();
    int status = 202;
    if (op == "join") {
        group_ = order.at("group").get<std::string>();
        epoch_ = order.at("epoch").get<std::uint64_t>();
        const auto members = order.at("members").get<std::vector<std::string>>();
        rank_ = static_cast<std::size_t>(std::find(members.begin(), members.end(), id_) -
                                         members.begin());
        state_ = "ready";
    }
    else if (op != "stage" && (order.at("group") != group_ || order.at("epoch") != epoch_)) {
        status = 409;
    }
    else if (op == "open") {
        state_ = "open";
    }
    else if (op == "leave") {
        group_.clear();
        state_.clear();
    }
    reply->send({status, {}}, "");
    announce();
}

fleet_site::fleet_site()
{
    const auto mesh_port = free_port();
    const auto control_port = free_port();
    for (const auto* ip : {"127.0.0.11", "127.0.0.12", "127.0.0.13"}) {
        controls_.push_back({ip, control_port});
    }
    for (const auto& at : controls_) {
        fleet_settings own;
        own.role = fleet_role::control;
        own.name = at.ip;
        own.failure_domain = failure_domain_id{"z"};
        own.address = {at.ip, mesh_port};
        own.control = at;
        own.metrics = endpoint{at.ip, free_port()};
        own.data_folder = folder_.path().toStdString() + "/" + at.ip;
        own.seeds = controls_;
        own.heartbeat = milliseconds{heartbeat_ms};
        settings_.push_back(own);
    }
    daemons_.resize(controls_.size());
    for (std::size_t which = 0; which < controls_.size(); ++which) {
        start_control(which, true);
    }
    entry_settings_.role = fleet_role::entry;
    entry_settings_.name = "entry";
    entry_settings_.failure_domain = failure_domain_id{"z"};
    entry_settings_.address = {"127.0.0.21", mesh_port};
    entry_settings_.callers = endpoint{"127.0.0.21", free_port()};
    entry_settings_.ready = endpoint{"127.0.0.21", free_port()};
    entry_settings_.seeds = controls_;
    reason why;
    entry_ = entry_daemon::start(entry_settings_, why);
    EXPECT_NE(entry_, nullptr) << why.str();
}

fleet_site::~fleet_site() = default;

void fleet_site::start_control(std::size_t which, bool first)
{
    auto own = settings_[which];
    own.first_start = first;
    reason why;
    daemons_[which] = control_daemon::start(own, why);
    EXPECT_NE(daemons_[which], nullptr) << why.str();
    if (daemons_[which] != nullptr) {
        daemons_[which]->on_stopped = [](int) {};
    }
}

void fleet_site::stop_control(std::size_t which)
{
    daemons_[which].reset();
}

http_answer fleet_site::call_leader(const std::string& method, const std::string& target,
                                    const std::string& body)
{
    http_answer out;
    wait_until([&] {
        for (const auto& at : controls_) {
            out = call(at, method, target, "", body);
            const bool elsewhere = out.head.status == 307 || out.head.status == 503;
            if (out.end == exchange_end::complete && !elsewhere) {
                return true;
            }
        }
        return false;
    });
    return out;
}

int fleet_site::put(const std::string& document)
{
    return call_leader("POST", "/cedarpoint/config/put", document).head.status;
}

std::string fleet_site::get()
{
    return call_leader("GET", "/cedarpoint/config/get", "").body;
}

std::optional<std::size_t> fleet_site::leader()
{
    for (std::size_t which = 0; which < controls_.size(); ++which) {
        const auto answer = call(controls_[which], "GET", "/cedarpoint/config/get", "", "");
        if (answer.head.status == 200) {
            return which;
        }
    }
    return {};
}

std::string fleet_site::control_metrics()
{
    std::string out;
    for (const auto& own : settings_) {
        out += call(*own.metrics, "GET", "/metrics", "", "").body;
    }
    return out;
}

bool fleet_site::is_ready()
{
    return call(ready(), "GET", "/cedarpoint/readyz", "", "").head.status == 200;
}

} // namespace cedarpoint::testing_support
