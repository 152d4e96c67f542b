#include "workflow/model.hpp"

#include <algorithm>

namespace camphorhitch::workflow
{

std::size_t tasks_per_occurrence(const job& j)
{
    std::size_t n = 0;
    for (const auto& it : j.steps)
    {
        n += static_cast<std::size_t>(it.tasks);
    }
    return n;
}

std::size_t task_index(const job& j, int occurrence, int step, int index)
{
    std::size_t n = tasks_per_occurrence(j) * static_cast<std::size_t>(occurrence);
    for (int i = 0; i < step; ++i)
    {
        n += static_cast<std::size_t>(j.steps[static_cast<std::size_t>(i)].tasks);
    }
    return n + static_cast<std::size_t>(index);
}

task_name name_of_task(const job& j, std::size_t index)
{
    const auto each = tasks_per_occurrence(j);
    task_name out{j.id, static_cast<int>(index / each), 0, static_cast<int>(index % each)};
    while (out.index >= j.steps[static_cast<std::size_t>(out.step)].tasks)
    {
        out.index -= j.steps[static_cast<std::size_t>(out.step)].tasks;
        ++out.step;
    }
    return out;
}

bool has_task(const job& j, const task_name& name)
{
    if (name.occurrence < 0 || name.occurrence >= occurrence_count(j) || name.step < 0 ||
        name.step >= static_cast<int>(j.steps.size()))
    {
        return false;
    }
    return name.index >= 0 && name.index < j.steps[static_cast<std::size_t>(name.step)].tasks;
}

core::millis critical_path(const std::vector<step>& steps)
{
    std::vector<core::millis> ends(steps.size(), core::millis{0});
    core::millis longest{0};
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        core::millis start{0};
        for (const int dependency : steps[i].depends_on)
        {
            start = std::max(start, ends[static_cast<std::size_t>(dependency)]);
        }
        ends[i] = start + steps[i].estimated_run_time;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace camphorhitch::workflow
