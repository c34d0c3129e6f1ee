#include "daemon/runner_client.h"

#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/json_text.h"
#include "io/log_line.h"

#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

/// Number of bytes after which no more of an answer's body is read.
constexpr std::size_t max_report_bytes = 65536;
/// Limits for establishing the connection and for the time between bytes of the answer.
constexpr call_options call_limits{milliseconds{800}, milliseconds{1500}};

std::optional<runner_phase> parse_phase(const std::string& text)
{
    if (text == "idle") {
        return runner_phase::idle;
    }
    if (text == "loading") {
        return runner_phase::loading;
    }
    if (text == "ready") {
        return runner_phase::ready;
    }
    return {};
}

} // namespace

std::optional<runner_report> parse_runner_report(const std::string& text)
{
    faults found;
    const auto value = parse_json(text, found);
    if (!value) {
        return {};
    }
    json_reader in{*value, "", found};
    runner_report out;
    const auto phase = parse_phase(in.string("phase"));
    out.assignment.value = static_cast<std::uint64_t>(in.integer("epoch", {}));
    out.group = in.string_or("group", "");
    out.in_flight = static_cast<int>(in.integer_or("in_flight", 0, {0, 1'000'000}));
    out.leaving = in.boolean_or("leaving", false);
    if (!phase || !found.empty()) {
        return {};
    }
    out.phase = *phase;
    return out;
}

runner_client::~runner_client()
{
    for (auto& [key, it] : pending_) {
        it.call->cancel();
    }
}

void runner_client::begin(const std::string& key, const runner_id& runner, const endpoint& to,
                          const http_request& request)
{
    upstream_call::handlers handlers;
    handlers.on_head = [this, key](const http_head& head) {
        pending_.at(key).status = head.status;
    };
    handlers.on_body = [this, key](const std::string& bytes) {
        auto& it = pending_.at(key);
        if (it.body.size() < max_report_bytes) {
            it.body += bytes;
        }
    };
    handlers.on_end = [this, key, runner](call_end how, const reason& why) {
        end(key, runner, how, why);
    };
    auto& it = pending_[key];
    it.call = std::make_unique<upstream_call>(to, request, call_limits, std::move(handlers));
    it.call->start();
}

void runner_client::end(const std::string& key, const runner_id& runner, call_end how,
                        const reason& why)
{
    auto node = pending_.extract(key);
    auto& it = node.mapped();
    it.call.release()->deleteLater();
    const auto report = how == call_end::complete && it.status == http_status::ok
                            ? parse_runner_report(it.body)
                            : std::nullopt;
    if (report) {
        last_failures_.erase(key);
        on_report_(runner, *report);
        return;
    }
    const auto text = std::to_string(it.status) + why.text;
    if (std::exchange(last_failures_[key], text) == text) {
        return;
    }
    log_line("runner_unclear")
        .with("runner", runner.str())
        .with("call", key)
        .with("status", it.status)
        .with("step", why.step)
        .with("peer", why.peer)
        .with("reason", why.text)
        .write();
}

void runner_client::poll_states(const std::vector<runner_spec>& runners)
{
    for (const auto& it : runners) {
        const auto key = "state " + it.id.str();
        if (pending_.contains(key)) {
            continue;
        }
        http_request request{"GET", "/engine/state", {}, {}};
        request.fields.add("Host", it.address.str());
        begin(key, it.id, it.address, request);
    }
}

void runner_client::order(const runner_order& it)
{
    const auto key = "order " + it.runner.str();
    if (pending_.contains(key)) {
        return;
    }
    const nlohmann::json body{{"epoch", it.assignment.value},
                              {"action", it.load ? "load" : "stop"},
                              {"group", it.group.str()},
                              {"rank", it.rank},
                              {"size", it.size},
                              {"model", it.model.str()},
                              {"version", it.version},
                              {"adapters", it.adapters},
                              {"role", std::string{name_of(it.role)}}};
    http_request request{"POST", "/engine/orders", {}, write_json(body)};
    request.fields.add("Host", it.address.str());
    request.fields.add("Content-Type", "application/json");
    log_line("order")
        .with("runner", it.runner.str())
        .with("action", it.load ? "load" : "stop")
        .with("group", it.group.str())
        .with("epoch", it.assignment.value)
        .with("rank", it.rank)
        .write();
    begin(key, it.runner, it.address, request);
}

} // namespace cedarpoint
