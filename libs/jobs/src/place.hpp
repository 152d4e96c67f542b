/// \file
/// Places waiting jobs on hosts.
#pragma once

#include "host_views.hpp"

#include <string>
#include <vector>

namespace camphorhitch::jobs
{

/// What a team uses of its quota in this pool.
struct team_view
{
    amounts in_use;
    amounts wanted; ///< in use and waiting together
    amounts grant;
    amounts quota; ///< of the configuration
    bool configured = false;
};

/// Jobs of one team and kind in this round.
struct group_view
{
    correction size;
    std::vector<int> in_zone; ///< tasks, by zone
    std::vector<int> in_rack;
    int tasks = 0;
    int unsettled = 0;
    bool held_back = false;
    bool known = false; ///< the rest is filled in
};

/// The state of one round, shared by its steps.
struct round_state
{
    pool_jobs& all;
    const round_input& in;
    host_views views;
    const active_jobs& active;
    std::vector<team_view> teams;    ///< by number
    std::vector<group_view> groups;  ///< by number
    std::vector<placed_job> waiting; ///< in the order of placement; those placed are removed
    std::vector<action> actions;
};

/// Collects teams, groups and the waiting jobs in order.
void collect(round_state& r);

/// Places what fits. Leaves the others in \p r.waiting with the reason.
void place(round_state& r);

/// Records a task of the job on the host.
void assign(round_state& r,
    placed_job& waiting,
    host_view& host,
    const estimate& size,
    const std::string& rule,
    const std::string& weighed);

/// \return the team and the group of a job.
team_view& team_view_of(round_state& r, job& j);
group_view& group_view_of(round_state& r, job& j);

/// \return what the job must find free on that host: its corrected size, but not more than the
/// whole host when its declared size fits there.
amounts need_on(const amounts& size, const amounts& declared, const amounts& capacity);

/// \return whether the host can take the job beside its load and the room being made for others.
bool has_room(const host_view& v,
    const amounts& need,
    const amounts& declared,
    const amounts& own_claim,
    const settings& rules);

} // namespace camphorhitch::jobs
