/// \file
/// Why a job is where it is, in the coordinator's view, for people who ask.
#pragma once

#include "coordinator/fleet.hpp"

#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// \param unix_ms wall time
/// \return a line for each step that is not done: its counts, where its tasks run, and why others
/// wait; empty when the job is not known or final.
std::vector<std::string> explain_job(
    const fleet& f, const std::string& id, core::mono_time now, std::int64_t unix_ms);

} // namespace camphorhitch::coordinator
