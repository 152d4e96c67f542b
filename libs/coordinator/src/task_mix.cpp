#include "task_mix.hpp"

#include "bookkeeping.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0; ///< thousandths of a core

/// \return the number of tasks of the step that should run at once.
double tasks_at_once(
    const fleet& f, const demand_settings& d, const job_entry& j, std::size_t occurrence_step)
{
    const auto steps = j.spec.steps.size();
    const auto& s = j.spec.steps[occurrence_step % steps];
    const auto& state = j.steps[occurrence_step];
    double out = s.tasks - state.done - state.idle;
    if (state.idle > 0 && is_step_ready(j,
                              static_cast<int>(occurrence_step / steps),
                              static_cast<int>(occurrence_step % steps)))
    {
        const auto time = std::min(expected_run_time(f.run_time_estimates, s), d.horizon);
        out +=
            state.idle * static_cast<double>(time.count()) / static_cast<double>(d.horizon.count());
    }
    return out;
}

/// \return the groups with equal requirements merged, in a fixed order.
std::vector<task_group> merge_groups(std::vector<task_group> all)
{
    const auto key = [](const task_group& it)
    {
        return std::tie(it.each.cpu, it.each.memory_mb, it.each.gpus);
    };
    std::sort(
        all.begin(), all.end(), [&](const auto& a, const auto& b) { return key(a) < key(b); });
    std::vector<task_group> out;
    for (const auto& it : all)
    {
        if (!out.empty() && out.back().each == it.each)
        {
            out.back().tasks += it.tasks;
        }
        else
        {
            out.push_back(it);
        }
    }
    return out;
}

/// Scales the tasks of the mix to the pool's need in cores.
void apply_task_ratio(double cpu, const batch_mix& mix, pool_need& to)
{
    const double factor = mix.cpu > 0 ? cpu / mix.cpu : 1;
    to.batch.memory_mb = std::llround(mix.memory_mb * factor);
    to.batch.gpus = std::llround(mix.gpus * factor);
    to.batch_tasks = merge_groups(mix.groups);
    for (auto& it : to.batch_tasks)
    {
        it.tasks *= factor;
    }
}

bool has_tasks(const batch_mix& mix)
{
    return mix.cpu > 0 || mix.memory_mb > 0 || mix.gpus > 0;
}

void apply_host_ratio(double cpu, const workflow::resources& capacity, pool_need& to)
{
    const double factor = capacity.cpu > 0 ? cpu / static_cast<double>(capacity.cpu) : 0;
    to.batch.memory_mb = std::llround(static_cast<double>(capacity.memory_mb) * factor);
    to.batch.gpus = std::llround(static_cast<double>(capacity.gpus) * factor);
}

std::map<std::string, workflow::resources> capacity_by_pool(const fleet& f)
{
    std::map<std::string, workflow::resources> out;
    for (const auto& [id, h] : f.hosts)
    {
        out[h.pool] += h.capacity;
    }
    return out;
}

} // namespace

void add_batch_tasks(const fleet& f, const demand_settings& d, const job_entry& j, batch_mix& to)
{
    for (std::size_t k = 0; k < j.steps.size(); ++k)
    {
        const auto& s = j.spec.steps[k % j.spec.steps.size()];
        const double tasks = s.long_running || s.best_effort ? 0 : tasks_at_once(f, d, j, k);
        if (tasks > 0)
        {
            to.cpu += static_cast<double>(s.need.cpu) * tasks;
            to.memory_mb += static_cast<double>(s.need.memory_mb) * tasks;
            to.gpus += static_cast<double>(s.need.gpus) * tasks;
            if (d.needs == need_rule::vector)
            {
                to.groups.push_back({s.need, tasks, 0});
            }
        }
    }
}

void add_long_running_tasks(const workflow::step& s, pool_need& to)
{
    const auto each = required_resources(s);
    to.long_running += each * s.tasks;
    auto& groups = to.long_running_tasks;
    // The bound per host applies to each step, so steps with a bound stay separate.
    const auto same = std::find_if(groups.begin(),
        groups.end(),
        [&](const task_group& it)
        { return s.max_per_host == 0 && it.max_per_host == 0 && it.each == each; });
    if (same != groups.end())
    {
        same->tasks += s.tasks;
        return;
    }
    groups.push_back({each, static_cast<double>(s.tasks), s.max_per_host});
}

void set_batch_needs(const fleet& f,
    const std::map<std::string, batch_mix>& mixes,
    std::map<std::string, pool_need>& to)
{
    std::optional<std::map<std::string, workflow::resources>> capacities;
    for (auto& [pool, need] : to)
    {
        const double cpu = (need.cores - need.long_running_cores) * milli;
        need.batch = {std::llround(cpu), 0, 0};
        const auto mix = mixes.find(pool);
        if (mix != mixes.end() && has_tasks(mix->second))
        {
            apply_task_ratio(cpu, mix->second, need);
        }
        else if (need.batch.cpu > 0)
        {
            capacities = capacities ? std::move(capacities) : capacity_by_pool(f);
            apply_host_ratio(cpu, (*capacities)[pool], need);
        }
    }
}

} // namespace camphorhitch::coordinator
