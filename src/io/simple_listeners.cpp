#include "io/simple_listeners.h"

#include "cedarpoint/core/http_status.h"

namespace cedarpoint {
namespace {

/// Returns the limits for listeners used only by the load balancer and by metrics scrapers.
caller_limits small_limits()
{
    caller_limits out;
    out.max_connections = 32;
    out.max_body_bytes = 4096;
    return out;
}

} // namespace

std::unique_ptr<http_listener> make_ready_listener(std::function<bool()> is_ready)
{
    return std::make_unique<http_listener>(
        small_limits(), [is_ready = std::move(is_ready)](const http_request& /*request*/,
                                                         const std::shared_ptr<http_reply>& reply) {
            reply->send({is_ready() ? http_status::ok : http_status::service_unavailable, {}}, "");
        });
}

std::unique_ptr<http_listener> make_metrics_listener(std::function<std::string()> text)
{
    return std::make_unique<http_listener>(
        small_limits(), [text = std::move(text)](const http_request& request,
                                                 const std::shared_ptr<http_reply>& reply) {
            const bool known = request.target == "/metrics";
            http_head head{known ? http_status::ok : http_status::not_found, {}};
            head.fields.add("Content-Type", "text/plain; version=0.0.4");
            reply->send(std::move(head), known ? text() : "");
        });
}

} // namespace cedarpoint
