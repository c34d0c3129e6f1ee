#pragma once

namespace cedarpoint::http_status {

// The HTTP status codes that the product sends or checks, under their standard names. They are in
// `core` because decision code uses them as well.
inline constexpr int ok = 200;
inline constexpr int accepted = 202;
inline constexpr int temporary_redirect = 307;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int request_timeout = 408;
inline constexpr int conflict = 409;
inline constexpr int precondition_failed = 412;
inline constexpr int misdirected_request = 421;
inline constexpr int unprocessable_content = 422;
inline constexpr int too_many_requests = 429;
inline constexpr int bad_gateway = 502;
inline constexpr int service_unavailable = 503;
inline constexpr int gateway_timeout = 504;

/// @name First status codes of the error classes.
/// @{
inline constexpr int first_error = 400;
inline constexpr int first_server_error = 500;
/// @}

} // namespace cedarpoint::http_status
