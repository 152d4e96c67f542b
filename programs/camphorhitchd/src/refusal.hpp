/// \file
/// Answers to requests that this entry host refuses by itself, before the flow of a request begins.
#pragma once

#include "ports/http.hpp"

#include <string>

namespace camphorhitch::daemon
{

struct refusal
{
    int status = 0;
    std::string reason;    ///< the rule's name
    std::string text;      ///< for people
    int retry_after_s = 0; ///< 0: no use in repeating
    /// The same request, by its key, may have run through another entry host before.
    bool may_have_run_before = false;
};

/// \return the key that the request brings, or an empty string.
std::string key_of(const ports::http_request& r);

/// \return the answer: not-run, or for a request that may have run before unknown and not-sent.
ports::http_response answer_of(const refusal& it);

} // namespace camphorhitch::daemon
