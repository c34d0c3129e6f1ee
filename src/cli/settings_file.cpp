#include "cli/settings_file.h"

#include "storage/posix_file_system.h"

#include <fmt/format.h>

namespace cedarpoint {

std::optional<std::string> read_input_file(const std::string& path)
{
    posix_file_system files;
    reason why;
    auto text = files.read(path, why);
    if (!text) {
        fmt::print(stderr, "{}\n",
                   why.step.empty() ? "open " + path + ": no such file" : why.str());
    }
    return text;
}

void print_faults(const std::string& file, const faults& all)
{
    for (const auto& it : all) {
        fmt::print(stderr, "{}: {}: {}\n", file, it.path.empty() ? "/" : it.path, it.text);
    }
}

} // namespace cedarpoint
