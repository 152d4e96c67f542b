#include "coordinator/throttling.hpp"

#include "bookkeeping.hpp"
#include "ports/incarnation.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

constexpr int full_percent = 100; // percent
/// Time of at least one further order, after two orders that were open at the same time.
constexpr core::millis overlap_time{1000};

bool has_latency_target(const workflow::step& s)
{
    return s.tail_latency_target.count() > 0;
}

/// One run on a host, with its step.
struct placed_run
{
    workflow::task_name task;
    const workflow::step* step = nullptr;
    run_entry* run = nullptr;
};

std::vector<placed_run> runs_of(fleet& f, const host_entry& h)
{
    std::vector<placed_run> out;
    for (const auto& [text, name] : h.runs)
    {
        auto& t = *find_task(f, name);
        const auto& j = *find_job(f, name.job);
        for (auto& it : t.runs)
        {
            if (it.host == h.ref.id && it.phase == run_phase::running)
            {
                out.push_back({name, &j.spec.steps[static_cast<std::size_t>(name.step)], &it});
            }
        }
    }
    return out;
}

/// \return the highest tail latency of a task with a target, as a share of its target; 0: no such
/// task.
double worst_latency_ratio(const std::vector<placed_run>& runs)
{
    double worst = 0;
    for (const auto& it : runs)
    {
        if (has_latency_target(*it.step))
        {
            worst = std::max(worst,
                static_cast<double>(it.run->load_metric) /
                    static_cast<double>(it.step->tail_latency_target.count()));
        }
    }
    return worst;
}

/// \return the share that the runner applies to the run, estimated from the processor time in use
/// if it is not known.
int current_cpu_percent(const placed_run& it)
{
    const auto cpu = it.step->need.cpu;
    if (it.run->cpu_percent_known || cpu <= 0)
    {
        return it.run->cpu_percent;
    }
    const auto in_use = std::clamp(it.run->load_metric, std::int64_t{0}, cpu);
    return static_cast<int>(in_use * full_percent / cpu);
}

int next_cpu_percent(const throttling_settings& s, int cpu_percent, double worst)
{
    if (worst > s.high_mark)
    {
        return cpu_percent / 2 < s.min_percent ? 0 : cpu_percent / 2;
    }
    return worst < s.low_mark ? std::min(cpu_percent + s.step, full_percent) : cpu_percent;
}

} // namespace

std::vector<throttle_action> plan_throttling(
    fleet& f, const throttling_settings& s, core::mono_time now, task_events& out)
{
    std::vector<throttle_action> actions;
    for (auto& [id, h] : f.hosts)
    {
        if (h.best_effort_runs == 0 || !h.reachable || now - h.throttled_at < s.interval)
        {
            continue;
        }
        h.throttled_at = now;
        const auto runs = runs_of(f, h);
        const double worst = worst_latency_ratio(runs);
        for (const auto& it : runs)
        {
            const int cpu_percent = next_cpu_percent(s, current_cpu_percent(it), worst);
            const bool is_applied = it.run->cpu_percent_known &&
                                    cpu_percent == it.run->cpu_percent &&
                                    now >= it.run->throttle_again_until;
            if (!it.step->best_effort || is_applied)
            {
                continue;
            }
            it.run->cpu_percent = cpu_percent;
            it.run->cpu_percent_known = true;
            actions.push_back({h.ref, it.task, it.run->number, cpu_percent});
            record_event(out,
                "pace_ordered",
                it.task,
                it.run->number,
                id,
                "percent=" + std::to_string(cpu_percent) + " worst_percent_of_target=" +
                    std::to_string(static_cast<int>(worst * full_percent)));
        }
    }
    return actions;
}

void handle_throttle_answer(
    fleet& f, const throttle_action& a, const ports::runner_answer& answer, core::mono_time now)
{
    auto* const t = find_task(f, a.task);
    const auto index = t == nullptr ? 0 : run_index(*t, a.host.id, a.run);
    if (t == nullptr || index == t->runs.size())
    {
        return;
    }
    auto& run = t->runs[index];
    const auto born = ports::read_incarnation(a.host.id).born_ms;
    const bool by_other = born != 0 && answer.born_ms != 0 && answer.born_ms != born;
    const bool was_carried_out = answer.verdict == ports::runner_verdict::done && !by_other;
    core::millis again{0};
    if (!was_carried_out)
    {
        again = f.settings.max_late_call;
    }
    else if (run.cpu_percent != a.cpu_percent)
    {
        again = overlap_time;
    }
    run.throttle_again_until = std::max(run.throttle_again_until, now + again);
}

int interfering_runs(const fleet& f, const host_entry& h, const workflow::step& s)
{
    if (!s.best_effort && !has_latency_target(s))
    {
        return 0;
    }
    int n = 0;
    for (const auto& [text, name] : h.runs)
    {
        const auto j = f.jobs.find(name.job);
        const auto& other = j->second->spec.steps[static_cast<std::size_t>(name.step)];
        n += (s.best_effort && has_latency_target(other)) ||
                     (has_latency_target(s) && other.best_effort)
                 ? 1
                 : 0;
    }
    return n;
}

} // namespace camphorhitch::coordinator
