#include "io/log_line.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

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
    return text.find_first_of(" \"=\n\r\t") != std::string::npos;
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
                   (needs_quotes(value)
                        ? nlohmann::json(value).dump(-1, ' ', false,
                                                     nlohmann::json::error_handler_t::replace)
                        : value);
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
    return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void log_line::write() const
{
    const auto time = wall_time();
    const auto line = (json_lines ? as_json(time) : as_text(time)) + "\n";
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace cedarpoint
