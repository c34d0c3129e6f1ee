#include "io/log_line.h"

#include "cedarpoint/core/json_text.h"
#include "cedarpoint/core/text.h"
#include "io/clock.h"
#include "io/log_sink.h"

#include <unistd.h>

#include <chrono>
#include <fmt/chrono.h>
#include <map>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

constexpr double lines_per_second = 200; ///< limit for lines with the same event

bool json_lines = false;

std::string wall_time()
{
    const auto now = std::chrono::system_clock::now();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms);
}

bool needs_quotes(const std::string& text)
{
    return text.find_first_of(" \"=\n\r\t") != std::string::npos || !is_text(text);
}

} // namespace

void log_line::use_json(bool it)
{
    json_lines = it;
}

std::string log_line::as_text(const std::string& time) const
{
    std::string out = "time=" + time + " event=" + event_;
    for (const auto& [name, value] : fields_) {
        if (!value.empty()) {
            out += " " + name + "=" +
                   (needs_quotes(value) ? write_json(nlohmann::json(value)) : value);
        }
    }
    return out;
}

std::string log_line::as_json(const std::string& time) const
{
    nlohmann::ordered_json out{{"time", time}, {"event", event_}};
    for (const auto& [name, value] : fields_) {
        if (!value.empty()) {
            out[name] = value;
        }
    }
    return write_json(out);
}

void log_line::write() const
{
    static log_sink sink{STDOUT_FILENO};
    static std::map<std::string, log_rate_limiter, std::less<>> rates;
    const auto now_ms = to_ms(steady_now().time_since_epoch());
    auto& rate = rates.try_emplace(event_, lines_per_second).first->second;
    if (!rate.take(now_ms)) {
        return;
    }
    const auto time = wall_time();
    if (const auto count = rate.take_suppressed(); count > 0) {
        log_line summary{"suppressed"};
        summary.with("kind", event_).with("count", count);
        sink.write((json_lines ? summary.as_json(time) : summary.as_text(time)) + "\n");
    }
    sink.write((json_lines ? as_json(time) : as_text(time)) + "\n");
}

} // namespace cedarpoint
