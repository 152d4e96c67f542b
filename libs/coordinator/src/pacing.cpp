#include "coordinator/pacing.hpp"

#include "bookkeeping.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

constexpr int full = 100; // percent

bool serves(const workflow::step& s)
{
    return s.tail_latency_target.count() > 0;
}

/// One run on a host with its step.
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

/// \return the worst tail latency of a serving task, as a share of its target; 0 without one.
double worst_share(const std::vector<placed_run>& runs)
{
    double worst = 0;
    for (const auto& it : runs)
    {
        if (serves(*it.step))
        {
            worst = std::max(worst,
                static_cast<double>(it.run->load_metric) /
                    static_cast<double>(it.step->tail_latency_target.count()));
        }
    }
    return worst;
}

int next_pace(const pacing_settings& s, int pace, double worst)
{
    if (worst > s.high)
    {
        return pace / 2 < s.least ? 0 : pace / 2;
    }
    return worst < s.low ? std::min(pace + s.step, full) : pace;
}

} // namespace

std::vector<pace_action> plan_paces(
    fleet& f, const pacing_settings& s, core::mono_time now, task_events& out)
{
    std::vector<pace_action> actions;
    for (auto& [id, h] : f.hosts)
    {
        if (h.best_effort_runs == 0 || !h.reachable || now - h.throttled_at < s.period)
        {
            continue;
        }
        h.throttled_at = now;
        const auto runs = runs_of(f, h);
        const double worst = worst_share(runs);
        for (const auto& it : runs)
        {
            const int pace = next_pace(s, it.run->cpu_percent, worst);
            if (!it.step->best_effort || pace == it.run->cpu_percent)
            {
                continue;
            }
            it.run->cpu_percent = pace;
            actions.push_back({h.ref, it.task, it.run->number, pace});
            note(out,
                "pace_ordered",
                it.task,
                it.run->number,
                id,
                "percent=" + std::to_string(pace) +
                    " worst_percent_of_target=" + std::to_string(static_cast<int>(worst * full)));
        }
    }
    return actions;
}

int disturbing_runs(const fleet& f, const host_entry& h, const workflow::step& s)
{
    if (!s.best_effort && !serves(s))
    {
        return 0;
    }
    int n = 0;
    for (const auto& [text, name] : h.runs)
    {
        const auto j = f.jobs.find(name.job);
        const auto& other = j->second->spec.steps[static_cast<std::size_t>(name.step)];
        n += (s.best_effort && serves(other)) || (serves(s) && other.best_effort) ? 1 : 0;
    }
    return n;
}

} // namespace camphorhitch::coordinator
