/// \file
/// Places waiting jobs on hosts.
#pragma once

#include "host_views.hpp"

#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// A team's use of its quota in this pool.
struct team_usage
{
    resources in_use;
    resources wanted; ///< declared sizes of the running and the waiting jobs
    resources grant;
    resources quota; ///< from the configuration
    bool configured = false;
};

/// The jobs of one team and kind in this round.
struct group_usage
{
    correction size;
    std::vector<int> in_zone; ///< number of tasks, by zone
    std::vector<int> in_rack;
    int tasks = 0;
    int unproven_tasks = 0;
    bool start_limited = false;
    bool initialized = false; ///< the other fields are filled in
};

/// The state of one round, shared by its steps.
struct round_state
{
    pool_jobs& all;
    const round_input& in;
    host_views views;
    const active_jobs& active;
    std::vector<team_usage> teams;   ///< by team index
    std::vector<group_usage> groups; ///< by group index
    std::vector<job_ref> waiting;    ///< in the order of placement; placed jobs are removed
    std::vector<action> actions;
};

/// Collects the teams, the groups and the waiting jobs in order.
void collect_waiting(round_state& r);

/// Places the jobs that fit. The others remain in \p r.waiting with the reason.
void place(round_state& r);

/// Records a new task of the job on the host.
void assign(round_state& r,
    job_ref& waiting,
    host_view& host,
    const estimate& size,
    const std::string& rule,
    const std::string& weighed);

/// \return the usage of a job's team and group.
team_usage& team_usage_of(round_state& r, job& j);
group_usage& group_usage_of(round_state& r, job& j);

/// \return the free resources that the job needs on the host: its corrected size, but not more than
/// the whole host when its declared size fits there.
resources required_resources(
    const resources& size, const resources& declared, const resources& capacity);

/// \return whether the host can take the job in addition to its load and to the capacity that is
/// being freed for other jobs.
bool has_capacity(const host_view& v,
    const resources& need,
    const resources& declared,
    const resources& own_claim,
    const settings& rules);

} // namespace camphorhitch::jobs
