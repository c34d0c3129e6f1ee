#pragma once

namespace cedarpoint {

/// The step of a reason why an address can't be listened to.
inline constexpr const char* listen_step = "listen";
/// The same if another process holds it now: it may be free a little later.
inline constexpr const char* listen_in_use_step = "listen (in use)";

} // namespace cedarpoint
