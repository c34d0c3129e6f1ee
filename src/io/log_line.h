#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarpoint {

/// A structured line on standard output: the time, the event, then the fields in the order they
/// were added. Never blocks. The rate of lines with the same event is limited, and a summary line
/// gives the number of lines left out. Fields must not contain prompts or keys.
class log_line {
public:
    explicit log_line(std::string_view event) : event_{event} {}

    template <class T>
    log_line& with(std::string_view name, const T& value)
    {
        fields_.emplace_back(name, fmt::format("{}", value));
        return *this;
    }

    /// Writes the line without its empty fields.
    void write() const;

    /// Selects JSON lines instead of key=value lines for the whole process.
    static void use_json(bool it);

private:
    [[nodiscard]] std::string as_text(const std::string& time) const;
    [[nodiscard]] std::string as_json(const std::string& time) const;

    std::string event_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace cedarpoint
