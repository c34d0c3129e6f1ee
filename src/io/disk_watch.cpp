#include "io/disk_watch.h"

#include "io/log_line.h"

namespace cedarpoint {

void disk_watch::note(const std::optional<reason>& refused)
{
    if (refused.has_value() == refuses_) {
        return;
    }
    refuses_ = refused.has_value();
    log_line(refuses_ ? "dependency_lost" : "dependency_regained")
        .with("kind", "disk")
        .with("reason", refused ? refused->str() : "a write succeeded")
        .write();
}

} // namespace cedarpoint
