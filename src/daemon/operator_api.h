#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/reason.h"
#include "io/http_listener.h"

#include <memory>
#include <string>

namespace cedarpoint {

class daemon;

/// Serves the operators' HTTP interface: configuration, status, drains, stop, explain, health and
/// metrics.
class operator_api {
public:
    explicit operator_api(daemon& owner);

    bool start(const endpoint& at, reason& why);
    [[nodiscard]] endpoint address() const { return listener_.address(); }

private:
    using reply_ptr = std::shared_ptr<http_reply>;
    using route = void (operator_api::*)(const http_request&, const reply_ptr&);
    struct route_entry;

    [[nodiscard]] bool is_allowed(const http_request& request) const;
    void on_request(const http_request& request, const reply_ptr& reply);
    void get_metrics(const http_request& request, const reply_ptr& reply);
    void get_health(const http_request& request, const reply_ptr& reply);
    void get_readiness(const http_request& request, const reply_ptr& reply);
    void get_status(const http_request& request, const reply_ptr& reply);
    void get_configuration(const http_request& request, const reply_ptr& reply);
    void get_explanation(const http_request& request, const reply_ptr& reply);
    void post_configuration(const http_request& request, const reply_ptr& reply);
    void post_plan(const http_request& request, const reply_ptr& reply);
    void post_drain(const http_request& request, const reply_ptr& reply);
    void post_stop(const http_request& request, const reply_ptr& reply);

    daemon& owner_;
    http_listener listener_;
};

} // namespace cedarpoint
