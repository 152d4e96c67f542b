/// \file
/// Orders and commands that follow from what is stored.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

/// Orders the recorded tasks, each once, and sends commands to tasks: only for jobs whose record is
/// stored, so that whoever takes over knows of whatever was asked.
void command_stored(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions);

/// Renews leases that are due, one command a host.
void renew_leases(const active_jobs& active, const round_input& in, std::vector<action>& actions);

} // namespace camphorhitch::jobs
