#include "coordinator/workspaces.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

constexpr std::int64_t rate_period_ms = 1000; // weights are jobs per second

workflow::resources all_used(const workspace_entry& w)
{
    auto out = w.used;
    out += w.held;
    out += w.unseen;
    return out;
}

/// \return whether \p used is at most \p cap; a resource with a cap of 0 is not limited.
bool is_within(const workflow::resources& used, const workflow::resources& cap)
{
    return (cap.cpu == 0 || used.cpu <= cap.cpu) &&
           (cap.memory_mb == 0 || used.memory_mb <= cap.memory_mb) &&
           (cap.gpus == 0 || used.gpus <= cap.gpus);
}

std::string amounts(const workflow::resources& r)
{
    return std::to_string(r.cpu) + " milli-cores, " + std::to_string(r.memory_mb) + " MB, " +
           std::to_string(r.gpus) + " GPUs";
}

bool has_unseen_or_orphaned_runs(const fleet& f, const unseen_run_pools& unseen)
{
    return unseen.all_pools || !unseen.pools.empty() ||
           std::any_of(f.hosts.begin(),
               f.hosts.end(),
               [](const auto& it) { return it.second.orphaned_runs > 0; });
}

/// \return what the tasks of a job require that have neither ended nor a recorded run.
workflow::resources idle_resources(const job_entry& j)
{
    workflow::resources sum;
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        sum += j.spec.steps[i % j.spec.steps.size()].need * j.steps[i].idle;
    }
    return sum;
}

} // namespace

void set_workspaces(fleet& f, const std::vector<workspace_settings>& all)
{
    for (const auto& it : all)
    {
        f.workspaces.entries[it.name].settings = it;
    }
    if (!std::exchange(f.workspaces.configured, true))
    {
        for (const auto& id : std::exchange(f.workspaces.unrated_jobs, {}))
        {
            if (auto* const j = find_job(f, id))
            {
                rate_job(f, *j);
            }
        }
    }
}

void rate_job(fleet& f, job_entry& j)
{
    if (j.spec.workspace.empty())
    {
        return;
    }
    if (!f.workspaces.configured)
    {
        f.workspaces.unrated_jobs.push_back(j.spec.id);
        return;
    }
    auto& w = f.workspaces.entries[j.spec.workspace];
    auto& admitted = w.admitted_unix_ms;
    while (!admitted.empty() && admitted.front() + rate_period_ms <= j.spec.accepted_unix_ms)
    {
        admitted.pop_front();
    }
    j.beyond_share = static_cast<int>(admitted.size()) >= w.settings.weight;
    if (!j.beyond_share)
    {
        admitted.push_back(j.spec.accepted_unix_ms);
    }
}

void add_held_resources(fleet& f, const std::string& workspace, const workflow::resources& held)
{
    if (!workspace.empty())
    {
        f.workspaces.entries[workspace].held += held;
    }
}

void update_unseen_use(fleet& f, core::mono_time now)
{
    if (f.workspaces.entries.empty())
    {
        return;
    }
    const auto unseen = find_unseen_run_pools(f, now);
    const bool some = has_unseen_or_orphaned_runs(f, unseen);
    for (auto& [name, w] : f.workspaces.entries)
    {
        w.unseen = {};
        w.held = some ? w.held : workflow::resources{};
        w.capped_steps = 0;
    }
    if (!some)
    {
        return;
    }
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        const bool possible =
            !j.spec.workspace.empty() && j.inherited && may_have_unseen_runs(unseen, j.spec.pool);
        if (possible)
        {
            f.workspaces.entries[j.spec.workspace].unseen += idle_resources(j);
        }
    }
}

bool fits_cap(
    const fleet& f, const job_entry& j, const workflow::resources& each, std::int64_t tasks)
{
    if (j.spec.workspace.empty())
    {
        return true;
    }
    const auto it = f.workspaces.entries.find(j.spec.workspace);
    if (!f.workspaces.configured)
    {
        return false;
    }
    if (it == f.workspaces.entries.end())
    {
        return true;
    }
    const auto& w = it->second;
    if (!w.settings.cap_is_known)
    {
        return false;
    }
    const auto used = all_used(w);
    auto sum = used;
    sum += each * tasks;
    return is_within(sum, w.settings.cap) || (tasks == 1 && used == workflow::resources{});
}

double cores_below_cap(const fleet& f, const std::string& workspace)
{
    constexpr double milli = 1000.0;
    const auto it = f.workspaces.entries.find(workspace);
    if (it == f.workspaces.entries.end() || it->second.settings.cap.cpu == 0)
    {
        return std::numeric_limits<double>::infinity();
    }
    const auto left = it->second.settings.cap.cpu - all_used(it->second).cpu;
    return static_cast<double>(std::max(left, std::int64_t{0})) / milli;
}

void record_capped_step(fleet& f, const job_entry& j)
{
    ++f.workspaces.entries[j.spec.workspace].capped_steps;
}

double weighted_dominant_share(const fleet& f, const std::string& workspace)
{
    const auto it = f.workspaces.entries.find(workspace);
    if (it == f.workspaces.entries.end())
    {
        return 0;
    }
    workflow::resources all;
    for (const auto& [id, h] : f.hosts)
    {
        all += h.capacity;
    }
    const auto share = [](std::int64_t used, std::int64_t of)
    {
        return of > 0 ? static_cast<double>(used) / static_cast<double>(of) : 0.0;
    };
    const auto used = all_used(it->second);
    return std::max({share(used.cpu, all.cpu),
               share(used.memory_mb, all.memory_mb),
               share(used.gpus, all.gpus)}) /
           it->second.settings.weight;
}

std::string describe_cap(const fleet& f, const job_entry& j, const workflow::resources& each)
{
    if (fits_cap(f, j, each))
    {
        return {};
    }
    if (!f.workspaces.configured)
    {
        return "the caps of the workspaces have not been read yet";
    }
    const auto& w = f.workspaces.entries.at(j.spec.workspace);
    const auto name = "workspace " + j.spec.workspace;
    if (!w.settings.cap_is_known)
    {
        return "the configured cap of " + name + " is invalid";
    }
    auto out = name + " is at its cap: " + amounts(w.used) + " running of " +
               amounts(w.settings.cap) + " (0: no limit)";
    auto hidden = w.held;
    hidden += w.unseen;
    if (hidden != workflow::resources{})
    {
        out += ", and up to " + amounts(hidden) + " ordered by a previous coordinator";
    }
    return out;
}

} // namespace camphorhitch::coordinator
