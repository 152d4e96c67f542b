/// \file
/// What a daemon's answer means to the operator: texts and an exit code.
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
    conflict = 3,       ///< somebody else's change came first
    unavailable = 4,    ///< certainly not done; may work later
    unknown_effect = 5, ///< may have been done: repeat with the same --command-id
    unauthorized = 6,   ///< the token is missing or wrong
    wait_ended = 7      ///< done, but not in force everywhere within --wait-seconds
};

struct call_outcome
{
    exit_code code = exit_code::unavailable;
    std::string text;    ///< for standard output
    std::string problem; ///< for standard error
    bool settled = true; ///< with --wait: in force everywhere
};

/// One server's answer, or why there is none.
struct raw_answer
{
    bool answered = false; ///< a whole answer came
    bool sent = false;     ///< bytes of the request left: it may have been done
    std::string why;       ///< why no answer came
    long status = 0;       ///< of HTTP
    std::string body;
};

/// \param raw an answer that came.
/// \param as_json the answer itself is wanted, not its tables.
call_outcome read_answer(const std::string& server, const raw_answer& raw, bool as_json);

} // namespace camphorhitch::client
