#include "coordinator/explain.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "losses.hpp"
#include "starts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// Hosts that one line names at most; more are counted.
constexpr std::size_t most_named = 6;

std::string list_hosts(const job_entry& j, int occurrence, int step)
{
    std::map<std::string, int> by_host;
    const auto first = workflow::task_index(j.spec, occurrence, step, 0);
    const auto tasks = static_cast<std::size_t>(j.spec.steps[static_cast<std::size_t>(step)].tasks);
    for (std::size_t i = first; i < first + tasks; ++i)
    {
        for (const auto& it : j.tasks[i].runs)
        {
            ++by_host[it.host];
        }
    }
    std::string out;
    std::size_t named = 0;
    for (const auto& [host, n] : by_host)
    {
        if (named++ == most_named)
        {
            return out + " and " + std::to_string(by_host.size() - most_named) + " more";
        }
        out += (out.empty() ? "" : ", ") + host + " (" + std::to_string(n) + ")";
    }
    return out;
}

std::string steps_before(const job_entry& j, int occurrence, int step)
{
    std::string out;
    for (const int it : j.spec.steps[static_cast<std::size_t>(step)].depends_on)
    {
        const auto all = j.spec.steps[static_cast<std::size_t>(it)].tasks;
        if (step_of(j, occurrence, it).done < all)
        {
            out += (out.empty() ? "step " : ", step ") + std::to_string(it);
        }
    }
    return out;
}

/// How many hosts of the pool are ruled out by what.
struct host_counts
{
    int all = 0;
    int closed = 0; ///< silent, leaving, or not looked at yet
    int unfit = 0;  ///< without the label
    int full = 0;
};

host_counts count_hosts(
    const fleet& f, const job_entry& j, int occurrence, int step, core::mono_time now)
{
    const auto& s = j.spec.steps[static_cast<std::size_t>(step)];
    host_counts n;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.pool != j.spec.pool || !h.listed)
        {
            continue;
        }
        ++n.all;
        if (!may_host(f, h, now))
        {
            ++n.closed;
        }
        else if (!has_label(h, s.required_label))
        {
            ++n.unfit;
        }
        else if (!may_run_there(h, j, occurrence, step, s))
        {
            ++n.full;
        }
    }
    return n;
}

std::string why_no_host(const host_counts& n, const job_entry& j)
{
    if (n.closed + n.unfit + n.full == n.all)
    {
        return "none of the " + std::to_string(n.all) + " hosts of pool " + j.spec.pool +
               " may take one: " + std::to_string(n.closed) + " silent, leaving or closed, " +
               std::to_string(n.unfit) + " without the label, " + std::to_string(n.full) +
               " without room";
    }
    return j.spec.needs_advice ? "the advice service has named no host yet"
                               : "the next plan starts them";
}

std::string why_waiting(const fleet& f,
    const job_entry& j,
    int occurrence,
    int step,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto due = due_at(j.spec, occurrence);
    if (due > unix_ms && workflow::is_scheduled(j.spec))
    {
        return "due in " + std::to_string(due - unix_ms) + " ms";
    }
    if (const auto before = steps_before(j, occurrence, step); !before.empty())
    {
        return "after " + before;
    }
    if (j.inherited && covers(find_unexamined(f, now), j.spec.pool))
    {
        return "a silent host of the pool may still run them for a former coordinator";
    }
    return why_no_host(count_hosts(f, j, occurrence, step, now), j);
}

std::string step_line(const fleet& f,
    const job_entry& j,
    int occurrence,
    int step,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto& counts = step_of(j, occurrence, step);
    const int tasks = j.spec.steps[static_cast<std::size_t>(step)].tasks;
    const int running = tasks - counts.done - counts.idle;
    auto out = (workflow::is_scheduled(j.spec) ? "occurrence " + std::to_string(occurrence) + ", "
                                               : std::string{}) +
               "step " + std::to_string(step) + ": " + std::to_string(counts.done) + " of " +
               std::to_string(tasks) + " tasks done";
    if (running > 0)
    {
        out += ", " + std::to_string(running) + " on " + list_hosts(j, occurrence, step);
    }
    if (counts.idle > 0)
    {
        out += ", " + std::to_string(counts.idle) +
               " wait: " + why_waiting(f, j, occurrence, step, now, unix_ms);
        const auto lost = describe_losses(f, j, occurrence, step, now);
        out += lost.empty() ? "" : "; of these " + lost;
    }
    return out;
}

} // namespace

std::vector<std::string> explain_job(
    const fleet& f, const std::string& id, core::mono_time now, std::int64_t unix_ms)
{
    std::vector<std::string> out;
    const auto found = f.jobs.find(id);
    if (found == f.jobs.end() || workflow::is_final(found->second->state))
    {
        return out;
    }
    const auto& j = *found->second;
    const int steps = static_cast<int>(j.spec.steps.size());
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        for (int s = 0; s < steps; ++s)
        {
            if (step_of(j, k, s).done < j.spec.steps[static_cast<std::size_t>(s)].tasks)
            {
                out.push_back(step_line(f, j, k, s, now, unix_ms));
            }
        }
    }
    return out;
}

} // namespace camphorhitch::coordinator
