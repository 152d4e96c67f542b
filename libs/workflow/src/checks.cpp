#include "workflow/checks.hpp"

#include <algorithm>

namespace camphorhitch::workflow
{

namespace
{

void add(core::findings& all, const std::string& pointer, std::string text)
{
    all.push_back({{"job", pointer, 0, 0}, std::move(text), {}});
}

void check_after(const step& s, int number, const std::string& at, core::findings& all)
{
    for (std::size_t i = 0; i < s.after.size(); ++i)
    {
        const int before = s.after[i];
        const auto place = at + "/after/" + std::to_string(i);
        if (before == number)
        {
            add(all, place, "step " + std::to_string(number) + " waits for itself");
        }
        else if (before < 0 || before > number)
        {
            add(all, place, "step " + std::to_string(before) + " is not an earlier step");
        }
    }
}

void check_step(const step& s, int number, core::findings& all)
{
    const auto at = "/steps/" + std::to_string(number);
    if (s.tasks < 1)
    {
        add(all, at, "a step has at least 1 task");
    }
    if (s.need.cpu < 0 || s.need.memory_mb < 0 || s.need.gpus < 0)
    {
        add(all, at, "what a task needs can't be negative");
    }
    if (s.estimate < core::millis{0} || s.tail_target < core::millis{0})
    {
        add(all, at, "a duration can't be negative");
    }
    if (s.most_per_host < 0 || s.may_be_away < 0)
    {
        add(all, at, "a bound on tasks can't be negative");
    }
    check_after(s, number, at, all);
}

void check_schedule(const job& j, core::findings& all)
{
    if (j.timing.occurrences < 0)
    {
        add(all, "", "a job can't occur less than 0 times");
    }
    if (j.timing.interval_ms < 0)
    {
        add(all, "", "the time between occurrences can't be negative");
    }
    // In whole milliseconds; the time of the last occurrence must fit 64 bits with room for sums.
    constexpr std::int64_t latest = std::int64_t{1} << 53;
    const std::int64_t times = std::max(j.timing.occurrences, 1);
    if (j.timing.first_unix_ms < 0 || j.timing.first_unix_ms > latest ||
        j.timing.interval_ms > latest / times)
    {
        add(all, "", "the last occurrence is too far in the future");
    }
}

} // namespace

core::findings check_job(const job& j, const job_bounds& most)
{
    core::findings all;
    if (j.payload.size() > most.payload_bytes)
    {
        add(all,
            "",
            "the text for the tasks is longer than " + std::to_string(most.payload_bytes) +
                " bytes");
    }
    if (j.steps.empty())
    {
        add(all, "/steps", "a job has at least 1 step");
    }
    if (j.steps.size() > most.steps)
    {
        add(all, "/steps", "more than " + std::to_string(most.steps) + " steps");
        return all;
    }
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        check_step(j.steps[i], static_cast<int>(i), all);
    }
    check_schedule(j, all);
    if (all.empty() &&
        tasks_per_occurrence(j) * static_cast<std::size_t>(occurrences_of(j)) > most.tasks)
    {
        add(all, "/steps", "more than " + std::to_string(most.tasks) + " tasks");
    }
    return all;
}

} // namespace camphorhitch::workflow
