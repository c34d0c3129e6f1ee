#pragma once

namespace cedarpoint {

/// The `step` of a reason that reports a failure to listen at an address.
inline constexpr const char* listen_step = "listen";
/// The `step` if another process uses the address. The address may become free shortly.
inline constexpr const char* listen_in_use_step = "listen (in use)";

} // namespace cedarpoint
