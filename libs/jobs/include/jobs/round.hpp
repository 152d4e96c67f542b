/// \file
/// The placement round: one decision over all jobs of a pool.
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

/// What a round decides from, beside the jobs themselves.
struct round_input
{
    const model::pool_document& hosts;
    const std::vector<model::team_config>& teams;
    /// By host: time until a drain of it is expected (a wave's next batches, hosts marked as
    /// leaving). Hosts that no drain is known for are missing.
    const std::map<std::string, core::millis>& leaving_in;
    const settings& rules;
    core::mono_time now;
    core::wall_time wall_now;
};

/// Runs one round: takes reports into the jobs, releases jobs from hosts that leave, places waiting
/// jobs, makes room for urgent ones. Changes the documents in memory only (see due_writes()); what
/// must not happen before a change is stored comes out of a round after that write ended, so call
/// it again then. Cheap when nothing is to be done. \return what to do now.
std::vector<action> decide_round(pool_jobs& all, const round_input& in);

/// \return lines that say why a job is where it is, from what was recorded when it was decided.
std::vector<std::string> explain(const job& j);

} // namespace camphorhitch::jobs
