/// \file
/// What one start of the client does: one call, a call and a wait, or a table that is repeated.
#pragma once

#include "session.hpp"

#include <chrono>
#include <iosfwd>

namespace camphorhitch::client
{

/// What a run uses of the process, so that tests can give their own.
struct run_parts
{
    send_function send;
    std::function<std::string()> new_command_id;
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<void(std::chrono::milliseconds)> pause;
    std::ostream& out;
    std::ostream& err;
    bool terminal = false; ///< out is one: repeated tables may clear it
};

/// \return the process's exit code.
exit_code run(const arguments& a, const run_parts& parts);

} // namespace camphorhitch::client
