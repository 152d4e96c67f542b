/// \file
/// Forecast of which waiting jobs of a pool can be completed in time with its capacity.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// When a job is expected to end, compared with its objective.
enum class job_outlook
{
    in_time,
    late,
    worthless ///< it ends when its result has no value any more
};

inline constexpr core::name_table<job_outlook, 3> job_outlook_names{{
    {job_outlook::in_time, "in_time"},
    {job_outlook::late, "late"},
    {job_outlook::worthless, "worthless"},
}};

/// Work that is left of one job.
struct forecast_job
{
    std::string id;
    double core_seconds = 0;       ///< of all its batch tasks that are not done
    core::millis critical_path{0}; ///< shortest time in which they can be done
    core::mono_time due;
    int priority = 0;     ///< 0 is the most urgent
    double share = 0;     ///< jobs with a lower value come first
    bool started = false; ///< some of its tasks were started
};

/// Capacity of a pool from a time on.
struct capacity_step
{
    core::mono_time from;
    double cores = 0;
};

/// Forecast of one pool.
struct pool_forecast
{
    std::map<std::string, job_outlook> jobs; ///< by id
    double in_time_core_seconds = 0;         ///< work of the jobs that are expected in time
    double late_core_seconds = 0;            ///< work of the others
    double cores = 0;                        ///< usable within the next second
    /// Time until a job that is accepted now could start, behind the jobs that are expected in
    /// time.
    core::millis wait{0};
};

} // namespace camphorhitch::coordinator
