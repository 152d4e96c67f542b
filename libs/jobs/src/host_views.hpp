/// \file
/// The hosts of a pool as a round sees them: room, load, tasks.
#pragma once

#include "jobs/round.hpp"

#include <limits>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorhitch::jobs
{

inline constexpr core::millis never{std::numeric_limits<std::int32_t>::max()};

/// A job with its document, for the time of one round.
struct placed_job
{
    job* it = nullptr;
    bucket_view* bucket = nullptr;
    task_view* task = nullptr;
};

struct host_view
{
    const model::host_record* record = nullptr;
    amounts capacity;
    amounts load;     ///< what its tasks are counted with, measured or reserved
    amounts declared; ///< what its tasks declared
    amounts claimed;  ///< room being made for urgent jobs
    int zone = 0;
    int rack = 0;
    bool open = false; ///< takes new jobs
    bool proven = false;
    bool aside = false;
    int unsettled = 0; ///< tasks that were started and haven't proved anything yet
    int allowed = 0;   ///< tasks that may still be started in this round
    core::millis leaving_in = never;
    const std::string* kept_for = nullptr; ///< a job that the host is reserved for
    core::mono_time kept_free_at{};
    std::vector<placed_job> tasks;
};

struct host_views
{
    std::vector<host_view> hosts;
    std::unordered_map<std::string_view, std::size_t> by_id;
    int zones = 0;
    int racks = 0;
    std::size_t open_hosts = 0; ///< open and not set aside
    bool any_proven = false;    ///< some open host is proven
    bool any_staying = false;   ///< some open host isn't about to leave
};

/// \return what one task counts for on a host of that capacity.
amounts load_of(const placed_job& task, const amounts& capacity, const round_input& in);

/// \return the predicted time until the task ends.
core::millis time_left(const job& j, const task_view* task, core::mono_time now);

/// The jobs that may hold a task, or whose task's reports matter, each with its task's view.
using active_jobs = std::vector<placed_job>;

active_jobs collect_active(pool_jobs& all, core::mono_time now);

host_views make_host_views(const pool_jobs& all, const active_jobs& active, const round_input& in);

/// \return the host, or nullptr when the pool has it no more.
host_view* find_host_view(host_views& views, const std::string& id);

} // namespace camphorhitch::jobs
