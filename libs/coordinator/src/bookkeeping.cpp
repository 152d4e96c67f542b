#include "bookkeeping.hpp"

#include "core/invariant.hpp"
#include "lost_runs.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

job_entry* find_job(fleet& f, const std::string& id)
{
    const auto it = f.jobs.find(id);
    return it == f.jobs.end() ? nullptr : it->second.get();
}

task_entry* find_task(fleet& f, const workflow::task_name& name)
{
    auto* const j = find_job(f, name.job);
    if (j == nullptr || j->tasks.empty() || !workflow::has_task(j->spec, name))
    {
        return nullptr;
    }
    return &j->tasks[workflow::task_index(j->spec, name.occurrence, name.step, name.index)];
}

host_entry* find_host(fleet& f, const std::string& id)
{
    const auto it = f.hosts.find(id);
    return it == f.hosts.end() ? nullptr : &it->second;
}

step_entry& step_of(job_entry& j, int occurrence, int step)
{
    return j.steps[static_cast<std::size_t>(occurrence) * j.spec.steps.size() +
                   static_cast<std::size_t>(step)];
}

const step_entry& step_of(const job_entry& j, int occurrence, int step)
{
    return j.steps[static_cast<std::size_t>(occurrence) * j.spec.steps.size() +
                   static_cast<std::size_t>(step)];
}

bool is_step_ready(const job_entry& j, int occurrence, int step)
{
    const auto& before = j.spec.steps[static_cast<std::size_t>(step)].depends_on;
    return std::all_of(before.begin(),
        before.end(),
        [&](int it)
        {
            const auto& s = j.spec.steps[static_cast<std::size_t>(it)];
            return step_of(j, occurrence, it).done >= s.tasks;
        });
}

workflow::resources required_resources(const workflow::step& s)
{
    auto need = s.need;
    if (s.best_effort)
    {
        need.cpu = 0;
    }
    return need;
}

bool fits(const host_entry& h, const workflow::resources& need)
{
    return h.used.cpu + need.cpu <= h.capacity.cpu &&
           h.used.memory_mb + need.memory_mb <= h.capacity.memory_mb &&
           h.used.gpus + need.gpus <= h.capacity.gpus;
}

int long_running_tasks(const fleet& f, const host_entry& h)
{
    int n = 0;
    for (const auto& [text, name] : h.runs)
    {
        const auto& j = *f.jobs.at(name.job);
        n += j.spec.steps[static_cast<std::size_t>(name.step)].long_running ? 1 : 0;
    }
    return n;
}

bool is_empty(const host_entry& h)
{
    return !h.inherited && h.runs.empty() && h.orphaned_runs == 0 &&
           h.last_stored_end >= h.last_applied_end;
}

const workflow::step& step_spec(const job_entry& j, const workflow::task_name& name)
{
    return j.spec.steps[static_cast<std::size_t>(name.step)];
}

namespace
{

task_entry& task_of(job_entry& j, const workflow::task_name& name)
{
    return j.tasks[workflow::task_index(j.spec, name.occurrence, name.step, name.index)];
}

/// Adds the run to the counts and the used capacity of the host, or removes it from them.
/// \param sign 1 to add, -1 to remove
void count_run(host_entry& h, const workflow::step& s, const run_entry& run, int sign)
{
    const auto need = required_resources(s);
    h.used.cpu += sign * need.cpu;
    h.used.memory_mb += sign * need.memory_mb;
    h.used.gpus += sign * need.gpus;
    h.best_effort_runs += s.best_effort ? sign : 0;
    h.runs_after_loss += run.after_loss ? sign : 0;
    h.isolated_runs += run.isolated ? sign : 0;
    core::require(h.used.cpu >= 0 && h.used.memory_mb >= 0, "used capacity is never negative");
    core::require(h.runs_after_loss >= 0 && h.isolated_runs >= 0,
        "counts of isolated runs and of runs after a loss are never negative");
}

/// Adds the run to what its workspace uses, or removes it.
/// \param sign 1 to add, -1 to remove
void count_for_workspace(fleet& f, const job_entry& j, const workflow::task_name& name, int sign)
{
    if (j.spec.workspace.empty())
    {
        return;
    }
    auto& used = f.workspaces.entries[j.spec.workspace].used;
    used += step_spec(j, name).need * sign;
    core::require(used.cpu >= 0 && used.memory_mb >= 0 && used.gpus >= 0,
        "the use of a workspace is never negative");
}

/// The runner refuses to begin the run later; its next incarnation wouldn't.
void record_unanswered_start(const fleet& f,
    host_entry& h,
    const workflow::task_name& name,
    const run_entry& run,
    core::mono_time now)
{
    std::erase_if(h.unanswered_starts,
        [&](const auto& it) { return now - it.second >= f.settings.max_late_call; });
    if (now - run.ordered_at < f.settings.max_late_call)
    {
        h.unanswered_starts[workflow::write_task_name(name)] = run.ordered_at;
    }
}

bool runs_on(const task_entry& t, const std::string& host)
{
    return std::any_of(
        t.runs.begin(), t.runs.end(), [&](const run_entry& it) { return it.host == host; });
}

} // namespace

run_entry& add_run(fleet& f, job_entry& j, const workflow::task_name& name, run_entry run)
{
    auto& t = task_of(j, name);
    if (t.runs.empty() && !t.progress.done)
    {
        --step_of(j, name.occurrence, name.step).idle;
    }
    if (auto* const h = find_host(f, run.host))
    {
        count_run(*h, step_spec(j, name), run, 1);
        h->runs.emplace(workflow::write_task_name(name), name);
    }
    count_for_workspace(f, j, name, 1);
    charge_run(f, j, step_spec(j, name), run);
    t.highest_run_number = std::max(t.highest_run_number, run.number);
    ++j.live_runs;
    f.open_jobs.insert(j.spec.id);
    t.runs.push_back(std::move(run));
    return t.runs.back();
}

void remove_run(
    fleet& f, job_entry& j, const workflow::task_name& name, std::size_t index, core::mono_time now)
{
    auto& t = task_of(j, name);
    const auto run = t.runs[index];
    t.runs.erase(t.runs.begin() + static_cast<std::ptrdiff_t>(index));
    if (t.reserved_run_number != 0 && t.reserved_run_number == run.number)
    {
        release_isolated_run(f, j, t, run.number);
    }
    if (auto* const h = find_host(f, run.host))
    {
        count_run(*h, step_spec(j, name), run, -1);
        if (!run.all_sends_answered)
        {
            record_unanswered_start(f, *h, name, run, now);
        }
        if (!runs_on(t, run.host))
        {
            h->runs.erase(workflow::write_task_name(name));
        }
    }
    count_for_workspace(f, j, name, -1);
    settle_run(f, j, step_spec(j, name), run, now);
    --j.live_runs;
    if (t.runs.empty() && !t.progress.done)
    {
        ++step_of(j, name.occurrence, name.step).idle;
    }
    if (j.live_runs == 0 && workflow::is_final(j.state))
    {
        f.open_jobs.erase(j.spec.id);
    }
}

void move_run(const job_entry& j,
    const workflow::task_name& name,
    run_entry& run,
    host_entry& from,
    host_entry& to)
{
    const auto text = workflow::write_task_name(name);
    count_run(from, step_spec(j, name), run, -1);
    run.host = to.ref.id;
    const auto& t = j.tasks[workflow::task_index(j.spec, name.occurrence, name.step, name.index)];
    if (!runs_on(t, from.ref.id))
    {
        from.runs.erase(text);
    }
    to.runs.emplace(text, name);
    count_run(to, step_spec(j, name), run, 1);
}

bool runs_nothing_else(const host_entry& h, const job_entry& j, const workflow::task_name& name)
{
    const bool gang = step_spec(j, name).gang;
    const auto own = [&](const auto& it)
    {
        const auto& other = it.second;
        return other == name || (gang && other.job == name.job &&
                                    other.occurrence == name.occurrence && other.step == name.step);
    };
    return std::all_of(h.runs.begin(), h.runs.end(), own);
}

void clear_loss_flags(host_entry& h, run_entry& run)
{
    h.runs_after_loss -= run.after_loss ? 1 : 0;
    h.isolated_runs -= run.isolated ? 1 : 0;
    core::require(h.runs_after_loss >= 0 && h.isolated_runs >= 0,
        "counts of isolated runs and of runs after a loss are never negative");
    run.after_loss = false;
    run.isolated = false;
}

std::size_t run_index(const task_entry& t, const std::string& host, std::int64_t number)
{
    std::size_t i = 0;
    while (i < t.runs.size() && (t.runs[i].host != host || t.runs[i].number != number))
    {
        ++i;
    }
    return i;
}

void mark_dirty(fleet& f, job_entry& j)
{
    if (!j.dirty)
    {
        j.dirty = true;
        f.dirty_jobs.push_back(j.spec.id);
    }
}

void mark_job_started(job_entry& j)
{
    if (j.state == workflow::job_state::queued)
    {
        j.state = workflow::job_state::running;
    }
}

void finish_job(fleet& f, job_entry& j, workflow::job_state state, core::mono_time now)
{
    j.state = state;
    mark_dirty(f, j);
    for (auto& t : j.tasks)
    {
        for (auto& it : t.runs)
        {
            if (it.phase != run_phase::stopping)
            {
                it.phase = run_phase::stopping;
                it.phase_changed_at = now;
            }
        }
    }
    if (j.live_runs == 0)
    {
        f.open_jobs.erase(j.spec.id);
    }
}

void record_event(task_events& out,
    const char* what,
    const workflow::task_name& task,
    std::int64_t run,
    const std::string& host,
    std::string reason)
{
    out.push_back({what, workflow::write_task_name(task), run, host, std::move(reason)});
}

} // namespace camphorhitch::coordinator
