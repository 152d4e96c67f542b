/// \file
/// The placement round: one decision about all jobs of a pool.
#pragma once

#include "core/time.hpp"
#include "jobs/actions.hpp"
#include "jobs/pool_jobs.hpp"
#include "jobs/settings.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// The input of a round beside the jobs themselves.
struct round_input
{
    const model::pool_document& hosts;
    const std::vector<model::team_config>& teams;
    /// By host: time until a drain of the host is expected (a wave's next batches, hosts marked as
    /// leaving). Hosts without a known drain are missing.
    const std::map<std::string, core::millis>& time_to_drain;
    const settings& rules;
    core::mono_time now;
    core::wall_time wall_now;
};

/// Runs one round: applies reports to the jobs, releases jobs from hosts that are drained, places
/// waiting jobs, and frees capacity for urgent ones. The round changes the documents in memory only
/// (see begin_due_writes()). Actions that must not happen before a change is stored are returned by
/// a round after that write has ended, so the caller runs a round again then. A round without work
/// is cheap.
/// \return the actions to carry out now.
std::vector<action> decide_round(pool_jobs& all, const round_input& in);

/// \return lines that explain the job's state, from what was recorded when it was decided.
std::vector<std::string> explain(const job& j);

} // namespace camphorhitch::jobs
