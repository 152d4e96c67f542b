#include "task_mix.hpp"

#include "bookkeeping.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
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

/// Scales the tasks of the mix to the pool's need in cores.
void apply_task_ratio(double cpu, const batch_mix& mix, pool_need& to)
{
    double mix_cpu = 0;
    for (const auto& [each, tasks] : mix)
    {
        mix_cpu += static_cast<double>(std::get<0>(each)) * tasks;
    }
    const double factor = mix_cpu > 0 ? cpu / mix_cpu : 1;
    double memory_mb = 0;
    double gpus = 0;
    for (const auto& [each, tasks] : mix)
    {
        const auto& [task_cpu, task_memory, task_gpus] = each;
        to.batch_tasks.push_back({{task_cpu, task_memory, task_gpus}, tasks * factor, 0});
        memory_mb += static_cast<double>(task_memory) * tasks * factor;
        gpus += static_cast<double>(task_gpus) * tasks * factor;
    }
    to.batch.memory_mb = std::llround(memory_mb);
    to.batch.gpus = std::llround(gpus);
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
            to[{s.need.cpu, s.need.memory_mb, s.need.gpus}] += tasks;
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
        if (mix != mixes.end() && !mix->second.empty())
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
