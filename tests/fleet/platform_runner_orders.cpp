// How `platform_runner` carries out orders.

#include "cedarpoint/core/http_status.h"
#include "fleet/platform_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {

using nlohmann::json;

int platform_runner::carry_out(const std::string& body)
{
    const auto order = json::parse(body);
    int status = http_status::conflict;
    if (!order.contains("expectedRevision") || order.at("expectedRevision") == orders_) {
        status = order.at("op") == "join" ? join(order) : change_state(order);
    }
    orders_ += status == http_status::accepted ? 1 : 0;
    announce();
    return status;
}

int platform_runner::join(const json& order)
{
    const auto group = order.at("group").get<std::string>();
    const auto its_epoch = order.at("epoch").get<std::uint64_t>();
    if (its_epoch < highest_epoch_) {
        return http_status::precondition_failed;
    }
    if (group == group_ && its_epoch == epoch_) {
        return http_status::ok;
    }
    if (on_joining) {
        on_joining(group);
    }
    highest_epoch_ = epoch_ = its_epoch;
    group_ = group;
    const auto members = order.at("members").get<std::vector<std::string>>();
    rank_ =
        static_cast<std::size_t>(std::find(members.begin(), members.end(), id_) - members.begin());
    change_state_after(join_time, "joining", "ready");
    return http_status::accepted;
}

int platform_runner::change_state(const json& order)
{
    const auto op = order.at("op").get<std::string>();
    if (op == "stage") {
        return http_status::accepted;
    }
    if (order.at("group") != group_ || order.at("epoch") != epoch_) {
        return http_status::conflict;
    }
    if (op == "leave") {
        group_.clear();
        state_.clear();
        return http_status::accepted;
    }
    if (op != "open" || state_ == "joining") {
        return http_status::conflict;
    }
    if (state_ == "ready") {
        change_state_after(open_time, "ready", "open");
    }
    return http_status::accepted;
}

void platform_runner::change_state_after(milliseconds time, const std::string& now,
                                         const std::string& then)
{
    if (time == milliseconds{0}) {
        state_ = then;
        return;
    }
    state_ = now;
    QTimer::singleShot(time, &timer_, [this, now, then, group = group_, its_epoch = epoch_] {
        if (group == group_ && its_epoch == epoch_ && state_ == now) {
            state_ = then;
            announce();
        }
    });
}

} // namespace cedarpoint::testing_support
