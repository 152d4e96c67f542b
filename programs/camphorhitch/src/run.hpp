/// \file
/// One run of the client: a call, a call followed by a wait, or a query that is repeated.
#pragma once

#include "session.hpp"

#include <chrono>
#include <iosfwd>

namespace camphorhitch::client
{

/// Facilities of the process that a run uses. Tests replace them.
struct run_dependencies
{
    send_function send;
    std::function<std::string()> new_command_id;
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<void(std::chrono::milliseconds)> sleep;
    std::ostream& out;
    std::ostream& err;
    bool is_terminal = false; ///< out is a terminal, which is cleared before each repeated table
};

/// \return the exit code of the process.
exit_code run(const arguments& a, const run_dependencies& dependencies);

} // namespace camphorhitch::client
