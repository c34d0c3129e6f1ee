#include "cli/operator_client.h"

#include "io/upstream_call.h"

#include <QEventLoop>
#include <QUrl>

namespace cedarpoint {
namespace {

/// A call fails if no byte is transferred for this long.
constexpr milliseconds transfer_timeout{15'000};

/// Returns the target with the characters encoded that a request line can't hold.
std::string encode_target(const std::string& path)
{
    const QUrl url{QString::fromStdString(path)};
    auto out = url.path(QUrl::FullyEncoded);
    if (url.hasQuery()) {
        out += "?" + url.query(QUrl::FullyEncoded);
    }
    return out.toStdString();
}

} // namespace

std::optional<operator_response> operator_client::get(const std::string& path, reason& why) const
{
    return call("GET", path, {}, why);
}

std::optional<operator_response> operator_client::post(const std::string& path,
                                                       const std::string& body, reason& why) const
{
    return call("POST", path, body, why);
}

std::optional<operator_response> operator_client::call(const char* method, const std::string& path,
                                                       const std::string& body, reason& why) const
{
    http_request request{method, encode_target(path), {}, body};
    request.fields.add("Host", daemon_.str());
    request.fields.add("Content-Type", "application/json");
    // Read from the environment: a command line is visible in the list of processes.
    if (const auto key = qgetenv("CEDARPOINT_OPERATOR_KEY"); !key.isEmpty()) {
        request.fields.add("Authorization", "Bearer " + key.toStdString());
    }
    int status = 0;
    std::string text;
    std::optional<call_end> end;
    QEventLoop loop;
    upstream_call::handlers handlers;
    handlers.on_head = [&](const http_head& head) { status = head.status; };
    handlers.on_body = [&](const std::string& bytes) { text += bytes; };
    handlers.on_end = [&](call_end how, const reason& cause) {
        end = how;
        why = {request.method + " " + path, daemon_.str(), cause.text};
        loop.quit();
    };
    upstream_call call{daemon_, request, {transfer_timeout, transfer_timeout}, std::move(handlers)};
    call.start();
    if (!end) {
        loop.exec();
    }
    if (end != call_end::complete) {
        return {};
    }
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        parsed = text;
    }
    return operator_response{status, std::move(parsed)};
}

} // namespace cedarpoint
