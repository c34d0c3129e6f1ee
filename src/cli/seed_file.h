#pragma once

#include "cedarpoint/core/ids.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// The seeds in the settings file, which may change while a daemon runs. Logs when they change, and
/// when the file has become unreadable or invalid.
class seed_file {
public:
    /// `known`: the seeds with which the daemon was started.
    seed_file(std::string path, std::vector<daemon_id> known);

    /// Returns the daemons at the present seeds; nothing if the file can't be used.
    [[nodiscard]] std::vector<daemon_id> read();

private:
    std::string path_;
    std::vector<daemon_id> latest_;
    bool usable_ = true; ///< as logged
};

} // namespace cedarpoint
