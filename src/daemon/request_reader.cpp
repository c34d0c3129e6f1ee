#include "daemon/request_reader.h"

#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/core/hash.h"

#include <QCryptographicHash>

#include <algorithm>
#include <charconv>

namespace cedarpoint {
namespace {

/// Largest length of an id in a header, in bytes.
constexpr std::size_t max_header_id = 256;
/// Largest deadline, one day.
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;
/// Length of the prompt prefix used for routing; enough to distinguish system prompts.
constexpr std::size_t prefix_bytes = 1024;

bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<std::string> read_id(const http_request& request, const char* name, refusal& error)
{
    const auto text = request.fields.get(name);
    if (text.size() > max_header_id || !is_printable(text)) {
        error.text = std::string{name} + " must be at most 256 printable characters without blanks";
        return {};
    }
    return std::string{text};
}

bool read_flag(const http_request& request, bool& out, refusal& error)
{
    const auto text = request.fields.get(caller_header::not_repeatable);
    if (!text.empty() && text != "true" && text != "false") {
        error.text = std::string{caller_header::not_repeatable} + " must be true or false";
        return false;
    }
    out = text == "true";
    return true;
}

bool read_priority(const http_request& request, std::optional<priority_class>& out, refusal& error)
{
    const auto text = request.fields.get(caller_header::priority);
    if (text.empty()) {
        return true;
    }
    out = parse_priority(text);
    if (!out) {
        error.text = std::string{caller_header::priority} + " must be alarm, normal or bulk";
    }
    return out.has_value();
}

bool read_deadline(instant now, const http_request& request, std::optional<instant>& out,
                   refusal& error)
{
    const auto text = request.fields.get(caller_header::deadline_ms);
    if (text.empty()) {
        return true;
    }
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc{} || end != text.data() + text.size() || ms < 0 || ms > max_deadline_ms) {
        error.text = std::string{caller_header::deadline_ms} +
                     " must be a whole number of milliseconds, at most a day";
        return false;
    }
    out = now + milliseconds{ms};
    return true;
}

std::string prompt_text(const nlohmann::json& body)
{
    std::string out;
    if (const auto it = body.find("prompt"); it != body.end() && it->is_string()) {
        out = it->get<std::string>();
    }
    if (const auto it = body.find("messages"); it != body.end() && it->is_array()) {
        for (const auto& message : *it) {
            const auto content = message.is_object() ? message.find("content") : message.end();
            if (message.is_object() && content != message.end() && content->is_string()) {
                out += content->get_ref<const std::string&>() + "\n";
            }
            if (out.size() >= prefix_bytes) {
                break;
            }
        }
    }
    out.resize(std::min(out.size(), prefix_bytes));
    return out;
}

bool read_model_body(const http_request& request, request_facts& out, refusal& error)
{
    faults found;
    const auto body = parse_json(request.body, found);
    if (!body || !body->is_object()) {
        error.text = found.empty() ? "the body must be a JSON object"
                                   : "the body is not valid JSON: " + found.front().text;
        return false;
    }
    const auto model = body->find("model");
    if (model == body->end() || !model->is_string()) {
        error.text = "\"model\" must be a string";
        return false;
    }
    const auto stream = body->find("stream");
    if (stream != body->end() && !stream->is_boolean()) {
        error.text = "\"stream\" must be true or false";
        return false;
    }
    const char* prompt_field = request.target.starts_with("/v1/chat/") ? "messages" : "prompt";
    const auto prompt = body->find(prompt_field);
    const bool is_chat = prompt_field[0] == 'm';
    if (prompt == body->end() ||
        (is_chat ? !prompt->is_array() || prompt->empty() : !prompt->is_string())) {
        error.text = is_chat ? "\"messages\" must be an array that is not empty"
                             : "\"prompt\" must be a string";
        return false;
    }
    out.model = model_id{model->get<std::string>()};
    out.streamed = stream != body->end() && stream->get<bool>();
    const auto text = prompt_text(*body);
    out.prefix = text.empty() ? 0 : hash_of(text);
    return true;
}

} // namespace

std::string sha256_hex(std::string_view bytes)
{
    const QByteArray in{bytes.data(), static_cast<qsizetype>(bytes.size())};
    return QCryptographicHash::hash(in, QCryptographicHash::Sha256).toHex().toStdString();
}

std::optional<std::string> bearer_digest(const http_request& request)
{
    constexpr std::string_view bearer = "Bearer ";
    const auto authorization = request.fields.get("Authorization");
    if (!authorization.starts_with(bearer)) {
        return {};
    }
    return sha256_hex(authorization.substr(bearer.size()));
}

bool is_model_path(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

std::optional<request_facts> read_facts(instant now, const http_request& request, request_id id,
                                        refusal& error)
{
    error = {error_code::bad_request, run_state::not_run, "", {}};
    request_facts out;
    out.id = std::move(id);
    const auto digest = bearer_digest(request);
    if (!digest) {
        error = {error_code::unauthorized,
                 run_state::not_run,
                 "needs Authorization: Bearer and the account's key",
                 {}};
        return {};
    }
    out.key_digest = *digest;
    out.path = request.target.substr(0, request.target.find('?'));
    out.safe_method = request.method == "GET" || request.method == "HEAD";
    const auto session = read_id(request, caller_header::session, error);
    const auto key = read_id(request, caller_header::idempotency, error);
    if (!session || !key) {
        return {};
    }
    if (!session->empty()) {
        out.session = session_id{*session};
    }
    out.idempotency_key = *key;
    if (!read_flag(request, out.not_repeatable, error) ||
        !read_priority(request, out.priority, error) ||
        !read_deadline(now, request, out.deadline, error)) {
        return {};
    }
    if (is_model_path(out.path)) {
        if (request.method != "POST") {
            error.text = "models are called with POST";
            return {};
        }
        if (!read_model_body(request, out, error)) {
            return {};
        }
    }
    return out;
}

} // namespace cedarpoint
