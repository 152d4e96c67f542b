/// \file
/// Refusals that the server itself makes, without passing the request to the handler.
#pragma once

#include "ports/http.hpp"

namespace camphorhitch::http
{

inline constexpr int status_bad_request = 400;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_body_too_large = 413;
inline constexpr int status_header_too_large = 431;
inline constexpr int status_unavailable = 503;

/// \return an answer which states that the request was not run.
/// \param reason text for the caller; must not contain quotes
ports::http_response make_refusal(int status, const std::string& reason);

/// \return a refusal with status 503 and Retry-After.
/// \param retry_after sent in whole seconds, rounded up
ports::http_response make_overload_refusal(const std::string& reason, core::millis retry_after);

/// Writes a refusal directly to the socket and shuts the connection down. libmicrohttpd is bypassed
/// because it can't answer before the end of a body. No other data may have been written for the
/// request.
void refuse_on_socket(
    int fd, const ports::http_response& refusal, const ports::http_fields& extra_fields);

} // namespace camphorhitch::http
