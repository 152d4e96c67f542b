#include "hosted/keys.hpp"
#include "hosted_fakes/hosts.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::hosted_fakes
{

namespace
{

/// Runners that a task may crash, and how often it may start after that.
constexpr int most_crashes = 3;
constexpr int most_starts_after = 2;
/// Crashes under one task after which its job may be given up.
constexpr int crashes_to_fail = 2;

int count_of(const std::map<std::string, int>& of, const std::string& task)
{
    const auto it = of.find(task);
    return it == of.end() ? 0 : it->second;
}

} // namespace

int hosts::crashes_of(const std::string& task) const
{
    return count_of(crashed_, task);
}

void hosts::check_crashes(const std::string& task)
{
    if (crashes_of(task) >= most_crashes && ++starts_past_crashes_[task] > most_starts_after)
    {
        breach("starts again and again after it crashed its runners: " + task);
    }
}

void hosts::crash_later(const fake_host& h, const ports::start_order& o)
{
    if (!crashes.task || !crashes.task(core::value(workflow::read_task_name(o.task))))
    {
        return;
    }
    time_.after(crashes.after,
        [this, machine = h.machine, runner = h.runner, task = o.task, run = o.run]
        {
            const auto& at = machines.at(machine);
            const auto it = at.runs.find(task);
            const bool there = it != at.runs.end() && it->second.number == run;
            if (at.runner == runner && at.up && there)
            {
                ++crashed_[task];
                crash(machine, crashes.down);
                break_gang(task);
            }
        });
}

void hosts::break_gang(const std::string& task)
{
    const auto name = core::value(workflow::read_task_name(task));
    const auto& s = jobs_.at(name.job).steps[static_cast<std::size_t>(name.step)];
    if (!s.gang)
    {
        return;
    }
    for (auto& [machine, h] : machines)
    {
        for (int i = 0; i < s.tasks; ++i)
        {
            const auto other = workflow::write_task_name({name.job, name.occurrence, name.step, i});
            if (h.up && h.runs.contains(other))
            {
                end(h, other, ports::run_end::member_ended);
            }
        }
    }
}

std::vector<std::string> hosts::failed_without_cause() const
{
    std::vector<std::string> out;
    for (const auto& [id, j] : jobs_)
    {
        const auto* const it = store_.find(hosted::state_key(id));
        const auto read = workflow::read_progress_state(it == nullptr ? std::string{} : it->value);
        if (!core::is_ok(read) || core::value(read) != workflow::job_state::failed)
        {
            continue;
        }
        bool cause = false;
        const auto tasks = workflow::tasks_per_occurrence(j);
        for (std::size_t i = 0; i < tasks * static_cast<std::size_t>(occurrence_count(j)); ++i)
        {
            const auto task = workflow::write_task_name(workflow::name_of_task(j, i));
            cause = cause || count_of(ended_failed_, task) >= j.max_attempts ||
                    count_of(crashed_, task) >= crashes_to_fail;
        }
        if (!cause)
        {
            out.push_back("shown as failed without cause: " + id);
        }
    }
    return out;
}

} // namespace camphorhitch::hosted_fakes
