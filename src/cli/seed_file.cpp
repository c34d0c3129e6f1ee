#include "cli/seed_file.h"

#include "cedarpoint/config/fleet_settings.h"
#include "io/log_line.h"
#include "storage/posix_file_system.h"

#include <optional>
#include <utility>

namespace cedarpoint {
namespace {

/// Returns nothing, with the reason in `why`, if the file can't be read or is invalid.
std::optional<fleet_settings> read_quietly(const std::string& path, std::string& why)
{
    posix_file_system files;
    reason failure;
    const auto text = files.read(path, failure);
    if (!text) {
        why = failure.step.empty() ? "no such file" : failure.str();
        return {};
    }
    faults found;
    auto out = fleet_settings::parse(*text, found);
    if (!out && !found.empty()) {
        why = found.front().path + ": " + found.front().text;
    }
    return out;
}

std::string join(const std::vector<daemon_id>& all)
{
    std::string out;
    for (const auto& each : all) {
        out += (out.empty() ? "" : " ") + each.str();
    }
    return out;
}

} // namespace

seed_file::seed_file(std::string path, std::vector<daemon_id> known)
    : path_{std::move(path)}, latest_{std::move(known)}
{
}

std::vector<daemon_id> seed_file::read()
{
    std::string why;
    const auto present = read_quietly(path_, why);
    if (!present) {
        if (std::exchange(usable_, false)) {
            log_line("seeds_unreadable").with("file", path_).with("reason", why).write();
        }
        return {};
    }
    usable_ = true;
    auto seeds = seed_daemons(*present);
    if (seeds != latest_) {
        log_line("seeds").with("now", join(seeds)).with("before", join(latest_)).write();
        latest_ = seeds;
    }
    return seeds;
}

} // namespace cedarpoint
