/// \file
/// Newest known checkpoints. A gang has one for all members: they work together only when they
/// resume from the same one.
#pragma once

#include "coordinator/fleet.hpp"

namespace camphorhitch::coordinator
{

/// Applies a checkpoint that a runner has reported for a run of the task; empty: it has none. That
/// of one member is valid for the whole gang, unless it is of an earlier run than the known one.
void record_checkpoint(
    job_entry& j, const workflow::task_name& name, std::int64_t run, const std::string& checkpoint);

/// Gives all members of each gang the newest of their stored checkpoints: that of the latest run,
/// and among those of one run the one that most members have.
void unify_gang_checkpoints(job_entry& j);

} // namespace camphorhitch::coordinator
