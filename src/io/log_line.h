#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cedarpoint {

/// One structured line on standard output: time, event, then the fields in their order. Never
/// blocks; lines of one kind are bounded, and what is left out is counted in a line.
/// Prompts and keys never go into a field.
class log_line {
public:
    explicit log_line(std::string_view event) : event_{event} {}

    template <class T>
    log_line& with(std::string_view name, const T& value)
    {
        fields_.emplace_back(name, fmt::format("{}", value));
        return *this;
    }

    /// Writes the line. A field that is empty is left out.
    void write() const;

    /// Chooses JSON lines over key=value, for the whole process.
    static void use_json(bool it);

private:
    [[nodiscard]] std::string as_text(const std::string& time) const;
    [[nodiscard]] std::string as_json(const std::string& time) const;

    std::string event_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace cedarpoint
