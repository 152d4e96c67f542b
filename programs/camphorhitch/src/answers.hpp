/// \file
/// Interpretation of a daemon's answer: output texts and an exit code.
#pragma once

#include <string>

namespace camphorhitch::client
{

/// Exit codes, documented in docs/operators/client.md.
enum class exit_code
{
    ok = 0,
    refused = 1,        ///< a statement is wrong or was refused; findings are printed
    usage = 2,          ///< the command line is wrong
    conflict = 3,       ///< a concurrent change took effect first
    unavailable = 4,    ///< certainly not done; a repeat may succeed later
    unknown_effect = 5, ///< may have been done: repeat with the same --command-id
    unauthorized = 6,   ///< the token is missing or wrong
    wait_ended = 7      ///< done, but not in force on all daemons within --wait-seconds
};

/// Result of one call to a daemon.
struct call_outcome
{
    exit_code code = exit_code::unavailable;
    std::string text;    ///< for standard output
    std::string problem; ///< for standard error
    bool settled = true; ///< for --wait: the command is in force on all daemons
};

/// Answer of a server, or the reason why there is none.
struct raw_answer
{
    bool answered = false; ///< a complete answer was received
    bool sent = false;     ///< bytes of the request were sent, so that it may have been executed
    std::string error;     ///< reason when there is no answer
    long status = 0;       ///< HTTP status
    std::string body;
};

/// \param raw a received answer.
/// \param as_json the text is the JSON answer itself instead of its tables.
call_outcome read_answer(const std::string& server, const raw_answer& raw, bool as_json);

} // namespace camphorhitch::client
