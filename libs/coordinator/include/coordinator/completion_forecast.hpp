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

/// Work that is left of one job. All of its tasks below are batch tasks that are not done.
struct forecast_job
{
    std::string id;
    double core_seconds = 0;       ///< of the tasks that do not run
    double running_cores = 0;      ///< that its runs occupy now
    core::millis running_time{0};  ///< mean time until these runs end
    core::millis ready_in{0};      ///< time until a task that does not run could start
    core::millis critical_path{0}; ///< shortest time in which all tasks can be done
    core::mono_time due;
    core::mono_time worthless_from; ///< when its result has no value any more
    core::mono_time waits_since;    ///< when it was accepted, or its oldest occurrence was due
    int priority = 0;               ///< 0 is the most urgent
    double share = 0;               ///< jobs with a lower value come first
    bool started = false;           ///< some of its tasks were started
    std::string workspace;
    double cap_cores = 0;  ///< cap of the workspace; 0: none
    bool admitted = false; ///< its outlook in the previous forecast was in_time
};

/// Capacity of a pool from a time on, until the time of the next step.
struct capacity_step
{
    core::mono_time from;
    double cores = 0;
};

/// Tolerances and bounds of the forecast.
struct forecast_settings
{
    /// Expected run times are means, so a job that is expected to miss its objective by less than
    /// this and a share of its critical path may still be in time.
    core::millis tolerance{200};
    double tolerance_share = 0.1;
    /// The expected delay of a job that was not admitted yet is multiplied by this. Under overload
    /// the delay of new jobs rises until they do not fit any more. Without the factor all admitted
    /// jobs would end at the end of the tolerance, so late. With run times that differ by half from
    /// their mean, at 2 to 5 times the capacity, work of 0.67 to 0.70 of the capacity ended in time
    /// with factor 1, and of 0.97 to 1.00 with 2.5.
    double caution = 1.5;
    /// The oldest late job that has waited longer than this receives late_share of the cores.
    core::millis max_late_wait{10000};
    double late_share = 0.1;
};

/// Forecast of one pool.
struct pool_forecast
{
    std::map<std::string, job_outlook> jobs; ///< by id; empty when the pool has no capacity
    double in_time_core_seconds = 0;         ///< work of the jobs that are expected in time
    double late_core_seconds = 0;            ///< work of the others
    double cores = 0;                        ///< usable within the next second
    /// Time until a job that is accepted now could start, behind the jobs that are expected in time
    /// (multiplied by forecast_settings::caution, as in the outlook of new jobs) and behind late
    /// ones that would be admitted before it.
    core::millis wait{0};
    /// The oldest job that has waited too long as late or worthless; empty: none.
    std::string overdue_job;
    bool overdue_runs = false; ///< tasks of such jobs run
    double overdue_cores = 0;  ///< that it may occupy in addition to what such jobs occupy now
    /// Jobs that are expected in time have tasks that could start now but for lack of capacity.
    bool lacks_capacity = false;
};

/// \return the latest expected end with which the job counts as in time.
core::mono_time latest_end(const forecast_job& j, const forecast_settings& s);

/// Evaluates the jobs of one pool in the order in which their work is admitted.
/// \param capacity of the pool without what long-running tasks occupy, in the order of time; the
/// first step holds from now on
pool_forecast forecast_pool(std::vector<forecast_job> jobs,
    const std::vector<capacity_step>& capacity,
    const forecast_settings& s,
    core::mono_time now);

} // namespace camphorhitch::coordinator
