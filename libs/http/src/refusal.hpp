/// \file
/// Refusals that the server makes by itself. None of them has reached the owner.
#pragma once

#include "ports/http.hpp"

namespace camphorhitch::http
{

inline constexpr int status_bad_request = 400;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_body_too_large = 413;
inline constexpr int status_header_too_large = 431;
inline constexpr int status_unavailable = 503;

/// \param reason a sentence without quotes
ports::http_response make_refusal(int status, const std::string& reason);

/// \param retry_after sent in whole seconds, rounded up
ports::http_response make_overload_refusal(const std::string& reason, core::millis retry_after);

/// Writes a refusal past libmicrohttpd, which can't answer before the end of a body, and shuts the
/// connection down. Nothing else may have been written for the request.
void refuse_on_socket(
    int fd, const ports::http_response& refusal, const ports::http_fields& extra_fields);

} // namespace camphorhitch::http
