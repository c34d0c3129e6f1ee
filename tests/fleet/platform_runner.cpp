#include "fleet/platform_runner.h"

#include "io/clock.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace cedarpoint::testing_support {
namespace {

using nlohmann::json;

/// Bytes of a request's body that are kept for the test.
constexpr std::size_t max_kept_body = 65536;

caller_limits runner_limits()
{
    caller_limits out;
    out.max_connections = 100;
    out.max_bodies_bytes = std::size_t{1} << 30; // bounds belong to the daemons
    return out;
}

} // namespace

std::string complete_heartbeat(const std::string& service)
{
    return fmt::format(R"({{"service":"{}","address":"127.0.0.1:9","zone":"z","version":"v1",)"
                       R"("slots":6,"state":"ready","coldRemainingMs":0,"sequence":1}})",
                       service);
}

platform_runner::platform_runner(std::string id, std::string service,
                                 std::vector<endpoint> controls, std::uint64_t start_ms,
                                 std::uint64_t sequence)
    : id_{std::move(id)}, service_{std::move(service)}, controls_{std::move(controls)},
      start_ms_{start_ms}, sequence_{sequence}
{
    QObject::connect(&timer_, &QTimer::timeout, [this] { announce(); });
    begin_incarnation();
}

void platform_runner::keep_port_open()
{
    listener_ = std::make_unique<http_listener>(
        runner_limits(),
        [](const http_request&, const std::shared_ptr<http_reply>& reply) { reply->abort(); });
    reason why;
    EXPECT_TRUE(listener_->start(address_, why)) << why.str();
}

void platform_runner::begin_incarnation()
{
    is_down_ = false;
    listener_.reset();
    listener_ = std::make_unique<http_listener>(
        runner_limits(),
        [this](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            on_request(request, reply);
        });
    reason why;
    EXPECT_TRUE(listener_->start(front_options_ ? endpoint{address_.ip, 0} : address_, why))
        << why.str();
    if (front_options_) {
        front_ = std::make_unique<runner_front>(address_, listener_->address(), *front_options_);
    }
    else {
        address_ = listener_->address();
    }
    timer_.start(runner_heartbeat);
}

void platform_runner::change_answers(runner_front::options how)
{
    front_options_ = std::move(how);
    begin_incarnation();
}

void platform_runner::crash()
{
    if (is_down_) {
        return;
    }
    is_down_ = true;
    is_silent_ = false;
    deferred_.clear();
    ends.push_back(steady_now());
    timer_.stop();
    front_.reset();
    listener_.reset();
    if (keeps_port_open) {
        keep_port_open();
    }
    group_.clear();
    state_.clear();
    orders_ = 0;
    highest_epoch_ = 0;
    sequence_ = 0;
    ++start_ms_;
    ++crashes_;
    if (is_replaced) {
        id_ = fmt::format("{}+{}", id_.substr(0, id_.find('+')), crashes_);
        address_.port = 0;
    }
    QTimer::singleShot(restart_delay, &timer_, [this] { begin_incarnation(); });
}

void platform_runner::fall_silent(milliseconds time)
{
    is_silent_ = true;
    QTimer::singleShot(time, &timer_, [this, life = ends.size()] {
        if (life != ends.size()) {
            return; // it has restarted meanwhile and speaks
        }
        is_silent_ = false;
        for (const auto& step : std::exchange(deferred_, {})) {
            step();
        }
    });
}

void platform_runner::run_unless_silent(std::function<void()> step)
{
    if (is_silent_) {
        deferred_.push_back(std::move(step));
    }
    else {
        step();
    }
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
    add_state(out);
    return out.dump();
}

std::string platform_runner::report_text() const
{
    json out{{"sequence", orders_}};
    add_state(out);
    return out.dump();
}

void platform_runner::add_state(json& out) const
{
    if (start_ms_ > 0) {
        out["born"] = start_ms_;
    }
    if (!group_.empty()) {
        out["group"] = {{"name", group_}, {"epoch", epoch_}, {"rank", rank_}, {"state", state_}};
    }
}

void platform_runner::announce()
{
    if (announcing_ || is_silent_ || heartbeats_stopped_) {
        return;
    }
    announcing_ = true;
    const auto body = announcement_text();
    const bool reports_draining = draining_;
    exchange_request request;
    request.bytes.head = fmt::format("POST /cedarpoint/instances/{}/heartbeat HTTP/1.1\r\n"
                                     "Host: h\r\nContent-Length: {}\r\n\r\n{}",
                                     id_, body.size(), body);
    auto* connection = pool_.take(controls_[control_index_]);
    const auto status = std::make_shared<int>(0);
    exchange_handlers handlers;
    handlers.on_head = [status](const http_head& head) { *status = head.status; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_end = [this, connection, status, reports_draining](exchange_end, const reason&) {
        pool_.release(connection);
        announcing_ = false;
        if (*status == 200) {
            drain_acknowledged_ = drain_acknowledged_ || reports_draining;
            return;
        }
        control_index_ = (control_index_ + 1) % controls_.size();
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
    if (is_silent_) {
        deferred_.emplace_back([this, request, reply] {
            if (reply->is_open()) {
                on_request(request, reply);
            }
            else if (!request.target.starts_with("/cedarpoint/")) {
                ++abandoned; // calls of control daemons don't count
            }
        });
        return;
    }
    if (request.target == "/cedarpoint/report") {
        reply->send({200, {}}, report_text());
        return;
    }
    if (request.target == "/cedarpoint/order") {
        if (!hold_order || !hold_order(request.body)) {
            reply->send({carry_out(request.body), {}}, "");
        }
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
    if (try_refuse(request, reply)) {
        return;
    }
    auto head = make_head(request);
    ++served_;
    arrivals.push_back(
        {steady_now(), std::string{request.fields.get("X-Cedarpoint-Request-Id")},
         request.body.substr(0, max_kept_body),
         std::string{request.fields.get("X-Cedarpoint-Prompt-Prefix")}, !rate_limit.empty(),
         std::atoi(std::string{request.fields.get("X-Cedarpoint-Deadline-Ms")}.c_str()),
         std::string{request.fields.get("Last-Event-Id")}});
    reply->on_caller_disconnected = [this] { ++abandoned; };
    if (is_crashed_by(request)) {
        crash_under(request, reply);
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
    const auto text = "plain " + (answer_bytes > 0 ? std::string(answer_bytes, 'a') : request.body);
    if (answer_time == milliseconds{0}) {
        send_plain(reply, std::move(head), text);
        return;
    }
    QTimer::singleShot(answer_time, &timer_, [this, reply, head, text] {
        run_unless_silent([this, reply, head, text] { send_plain(reply, head, text); });
    });
}

void platform_runner::send_plain(const std::shared_ptr<http_reply>& reply, http_head head,
                                 const std::string& body) const
{
    if (!front_options_ || !front_options_->unframed) {
        reply->send(std::move(head), body);
        return;
    }
    reply->begin(std::move(head));
    reply->write(body);
    reply->finish();
}

bool platform_runner::is_crashed_by(const http_request& request) const
{
    const auto has_text = [](std::string_view text, const std::string& part) {
        return !part.empty() && text.find(part) != std::string_view::npos;
    };
    const auto parts = request.fields.get("X-Cedarpoint-Prompt-Prefix");
    return has_text(request.body, crash_trigger) ||
           std::any_of(crash_parts.begin(), crash_parts.end(),
                       [&](const auto& part) { return has_text(parts, part); });
}

void platform_runner::crash_under(const http_request& request,
                                  const std::shared_ptr<http_reply>& reply)
{
    QTimer::singleShot(crash_delay, &timer_, [this] { crash(); });
    if (stage == crash_stage::before_head) {
        return;
    }
    auto head = make_head(request);
    if (service_ == "pool") {
        head.fields.add("Content-Type", "text/event-stream");
    }
    reply->begin(std::move(head));
    reply->write("id: 1\ndata: token 1\n\n");
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

bool platform_runner::try_refuse(const http_request& request,
                                 const std::shared_ptr<http_reply>& reply)
{
    std::erase_if(open_streams_, [](const auto& each) { return !each->is_open(); });
    const bool is_full = open_streams_.size() >= max_streams;
    if (!refuse_request && !is_full) {
        return false;
    }
    const auto retry_after =
        is_full ? std::optional<std::string>{""}
                : refuse_request(std::string{request.fields.get("X-Cedarpoint-Request-Id")});
    if (!retry_after) {
        return false;
    }
    auto head = make_head(request);
    head.status = 503;
    if (reports_not_executed) {
        head.fields.add("X-Cedarpoint-Not-Executed", "1");
    }
    if (!retry_after->empty()) {
        head.fields.add("Retry-After", *retry_after);
    }
    reply->send(std::move(head), "");
    return true;
}

void platform_runner::set_heartbeats_stopped(bool stopped)
{
    heartbeats_stopped_ = stopped;
}

} // namespace cedarpoint::testing_support
