/// \file
/// Answers to requests that this entry host refuses itself, before the request flow starts.
#pragma once

#include "ports/http.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// Reason and status of a refusal.
struct refusal
{
    int status = 0;
    std::string reason;    ///< name of the rule that refused the request
    std::string text;      ///< message for the caller's developers
    int retry_after_s = 0; ///< 0 when a retry is pointless
    /// A request with the same key may already have run through another entry host.
    bool may_have_run_before = false;
};

/// \return the request's idempotency key, or an empty string.
std::string idempotency_key_of(const ports::http_request& r);

/// \return the response. Its outcome is not-run, or unknown with attempt not-sent for a request
/// that may have run before.
ports::http_response make_response(const refusal& it);

} // namespace camphorhitch::daemon
