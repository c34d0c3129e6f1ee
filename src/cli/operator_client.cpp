#include "cli/operator_client.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

namespace cedarpoint {
namespace {

/// A call fails if no byte is transferred for this long.
constexpr int transfer_timeout_ms = 15'000;

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
    QNetworkAccessManager manager;
    QNetworkRequest request{QUrl{QString::fromStdString("http://" + daemon_.str() + path)}};
    request.setTransferTimeout(transfer_timeout_ms);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    // Read from the environment: a command line is visible in the list of processes.
    if (const auto key = qgetenv("CEDARPOINT_OPERATOR_KEY"); !key.isEmpty()) {
        request.setRawHeader("Authorization", "Bearer " + key);
    }
    auto* reply = manager.sendCustomRequest(request, method, QByteArray::fromStdString(body));
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0) {
        why = {std::string{method} + " " + path, daemon_.str(), reply->errorString().toStdString()};
        reply->deleteLater();
        return {};
    }
    const auto text = reply->readAll().toStdString();
    reply->deleteLater();
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        parsed = text;
    }
    return operator_response{status, std::move(parsed)};
}

} // namespace cedarpoint
