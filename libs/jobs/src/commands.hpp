/// \file
/// Orders and commands that follow from the stored documents.
#pragma once

#include "place.hpp"

namespace camphorhitch::jobs
{

/// Orders each recorded task once and sends commands to tasks. This is done only for jobs whose
/// record is stored, so that the next owner has a record of everything that was requested.
void issue_commands(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions);

/// Renews the leases that are due, with one command for each host.
void renew_leases(const active_jobs& active, const round_input& in, std::vector<action>& actions);

} // namespace camphorhitch::jobs
