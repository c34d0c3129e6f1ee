#pragma once

#include "cedarpoint/core/reason.h"

#include <optional>

namespace cedarpoint {

/// Writes a log line when writes to a daemon's disk start to fail and when they succeed again.
class disk_watch {
public:
    /// `refused`: why the latest write failed; empty if it succeeded.
    void note(const std::optional<reason>& refused);
    [[nodiscard]] bool refuses() const { return refuses_; }

private:
    bool refuses_ = false;
};

} // namespace cedarpoint
