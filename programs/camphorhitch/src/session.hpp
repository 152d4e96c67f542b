/// \file
/// One call of the client: sends statements to a daemon, and tries the next when it can't be
/// reached.
#pragma once

#include "arguments.hpp"

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

/// \param command_id the same one makes a repeat have its effect once.
/// \param check_only only asks whether the command is in force everywhere by now.
call_outcome execute(const arguments& a, const std::string& command_id, bool check_only);

/// \return a random UUID.
std::string new_command_id();

} // namespace camphorhitch::client
