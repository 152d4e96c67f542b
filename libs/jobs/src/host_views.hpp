/// \file
/// The hosts of a pool in a round: their capacity, load and tasks.
#pragma once

#include "jobs/round.hpp"

#include <limits>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorhitch::jobs
{

inline constexpr core::millis no_drain_expected{std::numeric_limits<std::int32_t>::max()};

/// References to a job, its document and its task. Valid for one round.
struct job_ref
{
    job* it = nullptr;
    bucket_state* bucket = nullptr;
    task_record* task = nullptr;
};

/// One host of the pool in a round.
struct host_view
{
    const model::host_record* record = nullptr;
    resources capacity;
    resources load;     ///< resources counted for its tasks, measured or reserved
    resources declared; ///< resources that its tasks declared
    resources claimed;  ///< capacity that is being freed for urgent jobs
    int zone = 0;
    int rack = 0;
    bool accepts_jobs = false; ///< the host is in service
    bool proven = false;
    bool set_aside = false;
    int unproven_tasks = 0; ///< started tasks that have not run for min_proof_run_time yet
    int starts_left = 0;    ///< tasks that may still be started in this round
    core::millis time_to_drain = no_drain_expected;
    /// Id of the job that the host is reserved for, or null.
    const std::string* reserved_for = nullptr;
    core::mono_time reserved_free_at{};
    std::vector<job_ref> tasks;
};

/// All hosts of the pool in a round.
struct host_views
{
    std::vector<host_view> hosts;
    std::unordered_map<std::string_view, std::size_t> by_id;
    int zones = 0;
    int racks = 0;
    std::size_t usable_hosts = 0;  ///< accept jobs and are not set aside
    bool any_proven = false;       ///< some host that accepts jobs is proven
    bool any_not_draining = false; ///< some host that accepts jobs has no expected drain
};

/// \return the resources that one task counts for on a host of that capacity.
resources load_of(const job_ref& task, const resources& capacity, const round_input& in);

/// \return the predicted time until the task ends.
core::millis remaining_time(const job& j, const task_record* task, core::mono_time now);

/// The jobs that may occupy a host, or whose task's reports are still needed, each with its task.
using active_jobs = std::vector<job_ref>;

active_jobs collect_active(pool_jobs& all, core::mono_time now);

host_views make_host_views(const pool_jobs& all, const active_jobs& active, const round_input& in);

/// \return the host, or nullptr when it is no longer in the pool.
host_view* find_host_view(host_views& views, const std::string& id);

} // namespace camphorhitch::jobs
