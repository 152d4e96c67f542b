#include "workflow/checks.hpp"

#include <algorithm>

namespace camphorhitch::workflow
{

namespace
{

void add_finding(core::findings& all, const std::string& pointer, std::string text)
{
    all.push_back({{"job", pointer, 0, 0}, std::move(text), {}});
}

void check_dependencies(const step& s,
    int step_index,
    const std::string& pointer,
    std::size_t max_count,
    core::findings& all)
{
    if (s.depends_on.size() > max_count)
    {
        add_finding(
            all, pointer + "/after", "more than " + std::to_string(max_count) + " dependencies");
        return;
    }
    for (std::size_t i = 0; i < s.depends_on.size(); ++i)
    {
        const int dependency = s.depends_on[i];
        const auto entry = pointer + "/after/" + std::to_string(i);
        if (dependency == step_index)
        {
            add_finding(all, entry, "step " + std::to_string(step_index) + " waits for itself");
        }
        else if (dependency < 0 || dependency > step_index)
        {
            add_finding(
                all, entry, "step " + std::to_string(dependency) + " is not an earlier step");
        }
    }
}

void check_upper_bounds(
    const step& s, const std::string& pointer, const job_bounds& bounds, core::findings& all)
{
    if (std::max({s.need.cpu, s.need.memory_mb, s.need.gpus}) > bounds.amount)
    {
        add_finding(all,
            pointer,
            "each resource of a task must be at most " + std::to_string(bounds.amount));
    }
    if (std::max(s.estimated_run_time, s.tail_latency_target) > bounds.duration)
    {
        add_finding(all,
            pointer,
            "a duration must be at most " + std::to_string(bounds.duration.count()) + " ms");
    }
    if (std::max({s.required_label.size(), s.preferred_rack.size(), s.image.size()}) >
        bounds.name_bytes)
    {
        add_finding(all,
            pointer,
            "a label, rack or image must have at most " + std::to_string(bounds.name_bytes) +
                " bytes");
    }
}

void check_step(const step& s, int step_index, const job_bounds& bounds, core::findings& all)
{
    const auto pointer = "/steps/" + std::to_string(step_index);
    if (s.tasks < 1)
    {
        add_finding(all, pointer, "a step has at least 1 task");
    }
    if (s.need.cpu < 0 || s.need.memory_mb < 0 || s.need.gpus < 0)
    {
        add_finding(all, pointer, "the resources of a task must not be negative");
    }
    if (s.estimated_run_time < core::millis{0} || s.tail_latency_target < core::millis{0})
    {
        add_finding(all, pointer, "a duration must not be negative");
    }
    if (s.max_per_host < 0 || s.max_unavailable < 0)
    {
        add_finding(all, pointer, "a bound on tasks must not be negative");
    }
    check_upper_bounds(s, pointer, bounds, all);
    check_dependencies(s, step_index, pointer, bounds.steps, all);
}

void check_schedule(const job& j, const job_bounds& bounds, core::findings& all)
{
    if (j.timing.occurrences < 0)
    {
        add_finding(all, "", "the number of occurrences must not be negative");
    }
    if (j.timing.interval_ms < 0)
    {
        add_finding(all, "", "the interval between occurrences must not be negative");
    }
    const std::int64_t count = std::max(j.timing.occurrences, 1);
    if (j.timing.first_unix_ms < 0 || j.timing.first_unix_ms > bounds.unix_ms ||
        j.timing.interval_ms > bounds.unix_ms / count)
    {
        add_finding(all, "", "the last occurrence is too far in the future");
    }
}

/// Divides, because the product of two valid counts may exceed 64 bits.
bool has_more_tasks(const job& j, std::size_t max_tasks)
{
    return tasks_per_occurrence(j) > max_tasks / static_cast<std::size_t>(occurrence_count(j));
}

} // namespace

core::findings check_job(const job& j, const job_bounds& bounds)
{
    core::findings all;
    if (j.payload.size() > bounds.payload_bytes)
    {
        add_finding(all,
            "",
            "the payload is longer than " + std::to_string(bounds.payload_bytes) + " bytes");
    }
    if (j.steps.empty())
    {
        add_finding(all, "/steps", "a job has at least 1 step");
    }
    if (j.steps.size() > bounds.steps)
    {
        add_finding(all, "/steps", "more than " + std::to_string(bounds.steps) + " steps");
        return all;
    }
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        check_step(j.steps[i], static_cast<int>(i), bounds, all);
    }
    check_schedule(j, bounds, all);
    if (all.empty() && has_more_tasks(j, bounds.tasks))
    {
        add_finding(all, "/steps", "more than " + std::to_string(bounds.tasks) + " tasks");
    }
    return all;
}

} // namespace camphorhitch::workflow
