/// \file
/// Explains the state of a job to operators and callers.
#pragma once

#include "coordinator/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// \param unix_ms wall time in milliseconds
/// \return one line for each step that is not done: its counts, the hosts of its tasks, and why
/// other tasks wait; empty when the job is unknown or final.
std::vector<std::string> explain_job(
    const fleet& f, const std::string& id, core::mono_time now, std::int64_t unix_ms);

} // namespace camphorhitch::coordinator
