#pragma once

#include "cedarpoint/core/reason.h"

#include <optional>

namespace cedarpoint {

/// Writes a line when a daemon's disk begins or ceases to refuse writes.
class disk_watch {
public:
    /// `refused`: why the latest write was refused; empty if it worked.
    void note(const std::optional<reason>& refused);
    [[nodiscard]] bool refuses() const { return refuses_; }

private:
    bool refuses_ = false;
};

} // namespace cedarpoint
