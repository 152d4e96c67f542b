#include "hosted/keys.hpp"
#include "hosted_fakes/hosts.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::hosted_fakes
{

namespace
{

/// Maximum number of runners that a task may crash.
constexpr int max_crashes = 3;
/// Maximum number of starts of a task that has crashed max_crashes runners.
constexpr int max_starts_after_crashes = 2;
/// Number of crashes by one task from which on its job may fail.
constexpr int crashes_to_fail = 2;

int find_count(const std::map<std::string, int>& of, const std::string& task)
{
    const auto it = of.find(task);
    return it == of.end() ? 0 : it->second;
}

} // namespace

int hosts::crashes_of(const std::string& task) const
{
    return find_count(crashed_, task);
}

void hosts::check_crashes(const std::string& task)
{
    if (crashes_of(task) >= max_crashes && ++starts_past_crashes_[task] > max_starts_after_crashes)
    {
        record_violation("starts repeatedly after it crashed its runners: " + task);
    }
}

void hosts::schedule_crash(const fake_host& h, const ports::start_order& o)
{
    if (!crashes.task || !crashes.task(core::value(workflow::read_task_name(o.task))))
    {
        return;
    }
    after_in_life(h,
        crashes.after,
        [this, task = o.task, run = o.run](fake_host& at)
        {
            const auto it = at.runs.find(task);
            if (it != at.runs.end() && it->second.number == run)
            {
                ++crashed_[task];
                crash(at.machine, crashes.down);
                end_gang(task);
            }
        });
}

void hosts::end_gang(const std::string& task)
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
                end_run(h, other, ports::run_end::member_ended);
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
            cause = cause || find_count(ended_failed_, task) >= j.max_attempts ||
                    find_count(crashed_, task) >= crashes_to_fail;
        }
        if (!cause)
        {
            out.push_back("stored as failed without cause: " + id);
        }
    }
    return out;
}

} // namespace camphorhitch::hosted_fakes
