/// \file
/// Tells jobs that fail everywhere from workers that fail everything, and bounds wasted starts.
#pragma once

#include "core/time.hpp"
#include "jobs/job.hpp"
#include "jobs/settings.hpp"

#include <set>
#include <string>
#include <unordered_map>

namespace camphorhitch::jobs
{

/// What a pool's owner knows of one host as a worker.
struct host_health
{
    bool proven = false;               ///< has run something since it was last suspected
    std::set<std::string> failed_jobs; ///< different jobs that failed in a row
    std::set<std::string> failed_groups;
    bool set_aside = false;
    core::mono_time probe_at{}; ///< when set aside: earliest time of the next probe
    core::millis probe_wait{0};
    bool probing = false; ///< a probe was started and hasn't ended
};

/// What it knows of a team's kind of job.
struct group_health
{
    std::set<std::string> failed_hosts; ///< different hosts in a row, nothing having run
};

struct pool_health
{
    std::unordered_map<std::string, host_health> hosts;
    std::unordered_map<std::string, group_health> groups;
};

/// Notes that a task ran well on its host.
void note_success(pool_health& all, const job& j);

/// Notes a failed task. May set the host aside.
/// \param hosts_in_pool bounds how many may be set aside at once.
/// \return whether the host was set aside by it.
bool note_failure(pool_health& all,
    const job& j,
    const settings& rules,
    std::size_t hosts_in_pool,
    core::mono_time now);

/// \return how many more tasks may be started on the host now.
/// \param unsettled tasks there that were started and haven't proved anything yet.
int starts_allowed(const pool_health& all,
    const std::string& host,
    int unsettled,
    const settings& rules,
    core::mono_time now);

bool is_set_aside(const pool_health& all, const std::string& host);
bool is_proven(const pool_health& all, const std::string& host);

/// Notes that a job is being started on a host that is set aside, to probe it.
void note_probe(pool_health& all, const std::string& host);

/// \return whether jobs of the group fail wherever they go, so that they start one at a time.
bool is_held_back(const pool_health& all, const std::string& group, const settings& rules);

/// \return whether the job is at fault: failed on several hosts that aren't set aside themselves,
/// or so often that a small pool has no other host left to try.
bool job_at_fault(const pool_health& all, const job& j, const settings& rules);

} // namespace camphorhitch::jobs
