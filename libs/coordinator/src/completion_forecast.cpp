#include "coordinator/completion_forecast.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double epsilon = 1e-9; ///< rounding of core-seconds
/// A job that can start within this time, in seconds, does not wait for others.
constexpr double no_delay = 0.05;
constexpr std::size_t slot_count = 256;
/// Slots of equal length at the begin, where most jobs are due.
constexpr std::size_t short_slots = 128;
constexpr double short_slot = 0.04; ///< seconds
constexpr double slot_growth = 1.04;
/// The last slot holds the work that does not fit into the others.
constexpr double last_slot = 86400; ///< seconds
/// A new job can start when this share of the capacity is not reserved.
constexpr double min_free_share = 0.1;

double seconds(core::micros t)
{
    return std::chrono::duration<double>(t).count();
}

/// Capacity within a span of time that is not reserved yet.
struct time_slot
{
    double begin = 0; ///< in seconds from now
    double length = 0;
    double capacity = 0; ///< core-seconds
    double free = 0;     ///< core-seconds

    double end() const
    {
        return begin + length;
    }
};

using time_slots = std::array<time_slot, slot_count>;

/// \return core-seconds between two times, in seconds from now.
double capacity_between(
    const std::vector<capacity_step>& steps, double from, double to, core::mono_time now)
{
    double sum = 0;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        const double begin = i == 0 ? from : std::max(from, seconds(steps[i].from - now));
        const double end =
            i + 1 == steps.size() ? to : std::min(to, seconds(steps[i + 1].from - now));
        sum += std::max(end - begin, 0.0) * steps[i].cores;
    }
    return sum;
}

time_slots make_slots(
    const std::vector<capacity_step>& steps, double usable_share, core::mono_time now)
{
    time_slots out;
    double begin = 0;
    double length = short_slot;
    for (std::size_t i = 0; i < slot_count; ++i)
    {
        length = i < short_slots ? short_slot : length * slot_growth;
        auto& it = out[i];
        it.begin = begin;
        it.length = i + 1 == slot_count ? last_slot : length;
        begin = it.end();
        it.capacity = capacity_between(steps, it.begin, it.end(), now) * usable_share;
        it.free = it.capacity;
    }
    return out;
}

/// Reserves the capacity that the runs of the job occupy. They may occupy more than the forecast
/// may use, since the capacity falls when hosts are lost.
void reserve_running(const forecast_job& j, time_slots& slots)
{
    const double until = seconds(j.running_time);
    for (auto& it : slots)
    {
        if (it.begin >= until)
        {
            return;
        }
        const double used = j.running_cores * (std::min(until, it.end()) - it.begin);
        it.free = std::max(it.free - used, 0.0);
    }
}

/// Places the work of a job into the free capacity, spread over its critical path: a job whose
/// steps depend on each other can't use the whole pool.
class work_placement
{
public:
    work_placement(const forecast_job& j, time_slots& slots)
        : slots_(slots), work_(j.core_seconds), from_(seconds(j.ready_in))
    {
        const double chain = std::max(seconds(j.critical_path) - from_, short_slot);
        cores_ = work_ / chain;
    }

    /// \return when the work is done, in seconds from now; infinite: not until \p latest.
    double expected_end(double latest)
    {
        double left = work_;
        for (std::size_t i = 0; i < slot_count && left > epsilon; ++i)
        {
            const auto& it = slots_[i];
            if (it.begin >= latest)
            {
                return std::numeric_limits<double>::infinity();
            }
            const double part = part_in(it);
            if (left <= part)
            {
                const double begin = std::max(it.begin, from_);
                return begin + left / part * (it.end() - begin);
            }
            left -= part;
        }
        return left > epsilon ? std::numeric_limits<double>::infinity() : 0;
    }

    void reserve()
    {
        double left = work_;
        for (std::size_t i = 0; i < slot_count && left > epsilon; ++i)
        {
            const double used = std::min(left, part_in(slots_[i]));
            slots_[i].free -= used;
            left -= used;
        }
    }

private:
    time_slots& slots_;
    double work_;
    double from_;
    double cores_ = 0;

    /// \return the core-seconds of the job that fit into the slot.
    double part_in(const time_slot& it) const
    {
        return std::min(it.free, cores_ * std::max(it.end() - std::max(it.begin, from_), 0.0));
    }
};

bool is_overdue(const forecast_job& j, const forecast_settings& s, core::mono_time now)
{
    return now - j.waits_since > s.max_late_wait;
}

double work_of(const forecast_job& j)
{
    return j.core_seconds + j.running_cores * seconds(j.running_time);
}

/// Work that was admitted, in core-seconds by workspace; only of workspaces with a cap.
using workspace_work = std::unordered_map<std::string_view, double>;

/// Work beyond the cap of its workspace can't start, so it must not reserve the capacity that
/// others could use.
/// \param latest latest end of the job, in seconds from now
bool fits_cap(const forecast_job& j, workspace_work& admitted, double latest)
{
    return j.cap_cores <= 0 || admitted[j.workspace] + work_of(j) <= j.cap_cores * latest;
}

bool keeps_its_place(const forecast_job& j)
{
    return j.started || j.admitted;
}

/// \return by how much the job may be delayed from its acceptance on, in seconds.
double slack_of(const forecast_job& j, const forecast_settings& s)
{
    return std::max(seconds(latest_end(j, s) - j.waits_since - j.critical_path), 0.0);
}

/// Jobs with more slack, which are the longer ones, would be admitted behind a queue that is too
/// long for all others, and would then keep it that long. All jobs are therefore admitted up to the
/// same length of the queue.
/// \return the lower quartile of the slack of the jobs that have not started, in seconds.
double find_common_slack(const std::vector<forecast_job>& jobs, const forecast_settings& s)
{
    std::vector<double> all;
    all.reserve(jobs.size());
    for (const auto& it : jobs)
    {
        if (!it.started)
        {
            all.push_back(slack_of(it, s));
        }
    }
    if (all.empty())
    {
        return 0;
    }
    constexpr std::ptrdiff_t quartiles = 4;
    const auto quartile = all.begin() + static_cast<std::ptrdiff_t>(all.size()) / quartiles;
    std::nth_element(all.begin(), quartile, all.end());
    return *quartile;
}

/// \return by how much a job that was not admitted yet may be delayed from now on, in seconds.
double max_new_delay(
    const forecast_job& j, const forecast_settings& s, core::mono_time now, double common_slack)
{
    return std::min(slack_of(j, s), common_slack) - seconds(now - j.waits_since);
}

job_outlook evaluate(const forecast_job& j,
    const forecast_settings& s,
    core::mono_time now,
    double common_slack,
    time_slots& slots,
    workspace_work& cap_use)
{
    const double chain = seconds(j.critical_path);
    const double latest = seconds(latest_end(j, s) - now);
    const double tolerance = seconds(latest_end(j, s) - j.due);
    if (chain > seconds(j.worthless_from - now) + tolerance)
    {
        return job_outlook::worthless;
    }
    if (chain > latest)
    {
        return job_outlook::late;
    }
    if (!fits_cap(j, cap_use, latest))
    {
        return job_outlook::late;
    }
    work_placement work(j, slots);
    const double delay = std::max(work.expected_end(latest) - chain, 0.0);
    if (!keeps_its_place(j) && delay > no_delay &&
        delay * s.caution > max_new_delay(j, s, now, common_slack))
    {
        return job_outlook::late;
    }
    if (chain + delay > latest)
    {
        return job_outlook::late;
    }
    work.reserve();
    if (j.cap_cores > 0)
    {
        cap_use[j.workspace] += work_of(j);
    }
    return job_outlook::in_time;
}

/// \param waiting core-seconds of late jobs that are admitted before new ones once capacity is free
core::millis new_job_wait(const time_slots& slots, double waiting, const forecast_settings& s)
{
    constexpr double milli = 1000;
    const auto it = std::find_if(slots.begin(),
        slots.end() - 1,
        [](const time_slot& slot)
        { return slot.free > epsilon && slot.free >= slot.capacity * min_free_share; });
    const double cores = it->capacity / it->length;
    const double behind_waiting = cores > epsilon ? waiting / cores : 0;
    const double wait = std::min(it->begin * s.caution + behind_waiting, last_slot);
    return core::millis{static_cast<std::int64_t>(wait * milli)};
}

double max_cores_soon(const std::vector<capacity_step>& capacity, core::mono_time now)
{
    double cores = 0;
    for (const auto& it : capacity)
    {
        cores = it.from <= now + std::chrono::seconds(1) ? std::max(cores, it.cores) : cores;
    }
    return cores;
}

} // namespace

core::mono_time latest_end(const forecast_job& j, const forecast_settings& s)
{
    const auto chain = std::chrono::duration<double, std::milli>(j.critical_path);
    return j.due + s.tolerance +
           std::chrono::duration_cast<core::micros>(chain * s.tolerance_share);
}

pool_forecast forecast_pool(std::vector<forecast_job> jobs,
    const std::vector<capacity_step>& capacity,
    const forecast_settings& s,
    core::mono_time now)
{
    pool_forecast out;
    out.cores = max_cores_soon(capacity, now);
    if (std::none_of(capacity.begin(),
            capacity.end(),
            [](const capacity_step& it) { return it.cores > epsilon; }))
    {
        return out;
    }
    std::sort(jobs.begin(),
        jobs.end(),
        [](const forecast_job& a, const forecast_job& b)
        {
            const auto key = [](const forecast_job& it)
            {
                return std::tie(it.share, it.priority);
            };
            return std::tuple(!a.started, key(a), !a.admitted, a.due, std::string_view{a.id}) <
                   std::tuple(!b.started, key(b), !b.admitted, b.due, std::string_view{b.id});
        });
    const bool reserves_for_late = std::any_of(jobs.begin(),
        jobs.end(),
        [&](const forecast_job& it) { return !it.admitted && is_overdue(it, s, now); });
    auto slots = make_slots(capacity, reserves_for_late ? 1 - s.late_share : 1, now);
    for (const auto& it : jobs)
    {
        reserve_running(it, slots);
    }
    const double common_slack = find_common_slack(jobs, s);
    workspace_work cap_use;
    double overdue_running = 0;
    double still_possible = 0;
    const forecast_job* oldest = nullptr;
    for (const auto& it : jobs)
    {
        const auto outlook = evaluate(it, s, now, common_slack, slots, cap_use);
        const bool in_time = outlook == job_outlook::in_time;
        (in_time ? out.in_time_core_seconds : out.late_core_seconds) += work_of(it);
        out.lacks_capacity |=
            in_time && it.core_seconds > epsilon && it.ready_in == core::millis{0};
        if (outlook == job_outlook::late && max_new_delay(it, s, now, common_slack) > 0)
        {
            still_possible += it.core_seconds;
        }
        if (!in_time && is_overdue(it, s, now))
        {
            overdue_running += it.running_cores;
            const bool waits = it.core_seconds > epsilon && it.ready_in == core::millis{0};
            const bool older = oldest == nullptr || std::tie(it.waits_since, it.id) <
                                                        std::tie(oldest->waits_since, oldest->id);
            oldest = waits && older ? &it : oldest;
        }
        out.jobs.emplace(it.id, outlook);
    }
    out.wait = new_job_wait(slots, still_possible, s);
    if (oldest != nullptr)
    {
        out.overdue_job = oldest->id;
        out.overdue_runs = overdue_running > epsilon;
        out.overdue_cores = std::max(out.cores * s.late_share - overdue_running, 0.0);
    }
    return out;
}

} // namespace camphorhitch::coordinator
