#pragma once

#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_ledger.h"

#include <set>

namespace cedarpoint {

/// Returns the causes to quarantine in addition to those in `known`. A request or a part of a
/// prompt qualifies if enough runners have crashed one after the other while running it, and
/// nothing else explains these crashes as well (see `has_rival`). Otherwise the decision waits for
/// a further crash or answer that tells them apart. After several more crashes the one with the
/// shortest total time in flight is chosen, and its crashes no longer count against the others; but
/// never a part of which another suspect explains more crashes, since it may only accompany the
/// cause.
[[nodiscard]] std::set<crash_cause> find_crash_causes(const crash_ledger& ledger,
                                                      const std::set<crash_cause>& known);

/// Returns true if another suspect shares a crash with `cause` and was in flight during more
/// crashes, or during as many without being the broader one: a part of a prompt is in all requests
/// that have it, so it explains at least as much as one of them.
[[nodiscard]] bool has_rival(const crash_ledger& ledger, const crash_cause& cause,
                             const std::set<crash_cause>& known);

/// Returns true if another suspect shares a crash with `cause` and was in flight during more
/// crashes.
[[nodiscard]] bool has_stronger_rival(const crash_ledger& ledger, const crash_cause& cause,
                                      const std::set<crash_cause>& known);

} // namespace cedarpoint
