/// \file
/// Distinguishes jobs that fail on every host from workers that fail every job, and bounds the
/// number of wasted starts.
#pragma once

#include "core/time.hpp"
#include "jobs/job.hpp"
#include "jobs/settings.hpp"

#include <set>
#include <string>
#include <unordered_map>

namespace camphorhitch::jobs
{

/// The state that a pool's owner keeps of one host as a worker.
struct host_health
{
    bool proven = false;               ///< a task has run well since the last failure
    std::set<std::string> failed_jobs; ///< different jobs that failed in a row
    std::set<std::string> failed_groups;
    bool set_aside = false;
    core::mono_time probe_at{}; ///< when set aside: earliest time of the next probe
    core::millis probe_delay{0};
    bool probe_running = false; ///< a probe was started and has not ended
};

/// The state that a pool's owner keeps of the jobs of one team and kind.
struct group_health
{
    /// Different hosts on which the group's jobs failed since the last success.
    std::set<std::string> failed_hosts;
};

/// The health of a pool's hosts by host id, and of its job groups by group_name().
struct pool_health
{
    std::unordered_map<std::string, host_health> hosts;
    std::unordered_map<std::string, group_health> groups;
};

/// Records that a task ran well on its host. The host is not set aside any more.
void record_success(pool_health& all, const job& j);

/// Records a failed task. May set the host aside: it gets no jobs then, except for single probes.
/// \param hosts_in_pool bounds how many hosts may be set aside at once.
/// \return whether this failure caused the host to be set aside.
bool record_failure(pool_health& all,
    const job& j,
    const settings& rules,
    std::size_t hosts_in_pool,
    core::mono_time now);

/// \return how many more tasks may be started on the host at \p now.
/// \param unproven_tasks started tasks on the host that have not run for min_proof_run_time yet.
int allowed_starts(const pool_health& all,
    const std::string& host,
    int unproven_tasks,
    const settings& rules,
    core::mono_time now);

bool is_set_aside(const pool_health& all, const std::string& host);
bool is_proven(const pool_health& all, const std::string& host);

/// Records that a job is started on a host that is set aside, to probe it.
void record_probe(pool_health& all, const std::string& host);

/// \return whether jobs of the group fail on so many hosts that they are started one at a time.
bool is_start_limited(const pool_health& all, const std::string& group, const settings& rules);

/// \return whether the job itself is at fault: it failed on several hosts that are not set aside,
/// or so often that a small pool has no other host left to try.
bool is_job_at_fault(const pool_health& all, const job& j, const settings& rules);

} // namespace camphorhitch::jobs
