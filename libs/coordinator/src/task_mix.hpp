/// \file
/// Collects what the tasks of a pool require, for its need.
#pragma once

#include "coordinator/demand.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// Batch tasks of one pool that should run at once.
struct batch_mix
{
    /// Sums over the tasks, in the units of workflow::resources.
    double cpu = 0;
    double memory_mb = 0;
    double gpus = 0;
    /// A group for each step of each job. Empty with need_rule::cores, which counts no tasks.
    std::vector<task_group> groups;
};

/// Adds the running and waiting batch tasks of a job. Waiting tasks that are shorter than the
/// horizon count with the share of the horizon that they run.
void add_batch_tasks(const fleet& f, const demand_settings& d, const job_entry& j, batch_mix& to);

/// Adds the tasks of a long-running step to the sum and the groups of the need.
void add_long_running_tasks(const workflow::step& s, pool_need& to);

/// Sets the sum and the groups of the batch tasks of each pool.
/// \param mixes batch tasks by pool
void set_batch_needs(const fleet& f,
    const std::map<std::string, batch_mix>& mixes,
    std::map<std::string, pool_need>& to);

} // namespace camphorhitch::coordinator
