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

std::size_t task_place(const job& j, int occurrence, int step, int index)
{
    std::size_t n = tasks_per_occurrence(j) * static_cast<std::size_t>(occurrence);
    for (int i = 0; i < step; ++i)
    {
        n += static_cast<std::size_t>(j.steps[static_cast<std::size_t>(i)].tasks);
    }
    return n + static_cast<std::size_t>(index);
}

task_name name_of_task(const job& j, std::size_t place)
{
    const auto each = tasks_per_occurrence(j);
    task_name out{j.id, static_cast<int>(place / each), 0, static_cast<int>(place % each)};
    while (out.index >= j.steps[static_cast<std::size_t>(out.step)].tasks)
    {
        out.index -= j.steps[static_cast<std::size_t>(out.step)].tasks;
        ++out.step;
    }
    return out;
}

bool has_task(const job& j, const task_name& name)
{
    if (name.occurrence < 0 || name.occurrence >= occurrences_of(j) || name.step < 0 ||
        name.step >= static_cast<int>(j.steps.size()))
    {
        return false;
    }
    return name.index >= 0 && name.index < j.steps[static_cast<std::size_t>(name.step)].tasks;
}

core::millis longest_chain(const std::vector<step>& steps)
{
    std::vector<core::millis> ends(steps.size(), core::millis{0});
    core::millis longest{0};
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        core::millis begin{0};
        for (const int before : steps[i].after)
        {
            begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
        }
        ends[i] = begin + steps[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace camphorhitch::workflow
