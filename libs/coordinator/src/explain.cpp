#include "coordinator/explain.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "forecast_order.hpp"
#include "lost_runs.hpp"
#include "starts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// Hosts that are named in one line; further hosts are counted.
constexpr std::size_t max_hosts_named = 6;

std::string list_hosts(const job_entry& j, int occurrence, int step)
{
    std::map<std::string, int> by_host;
    const auto first = workflow::task_index(j.spec, occurrence, step, 0);
    const auto tasks = static_cast<std::size_t>(j.spec.steps[static_cast<std::size_t>(step)].tasks);
    for (std::size_t i = first; i < first + tasks; ++i)
    {
        for (const auto& it : j.tasks[i].runs)
        {
            ++by_host[std::string(ports::runner_of(it.host))];
        }
    }
    std::string out;
    std::size_t named = 0;
    for (const auto& [host, n] : by_host)
    {
        if (named++ == max_hosts_named)
        {
            return out + " and " + std::to_string(by_host.size() - max_hosts_named) + " more";
        }
        out += (out.empty() ? "" : ", ") + host + " (" + std::to_string(n) + ")";
    }
    return out;
}

std::string unfinished_dependencies(const job_entry& j, int occurrence, int step)
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

/// Number of hosts of the pool by the reason that excludes them.
struct host_counts
{
    int all = 0;
    int closed = 0; ///< unresponsive, leaving, closed, or not polled yet in this term
    int unfit = 0;  ///< without the required label
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
        if (!accepts_tasks(f, h, now))
        {
            ++n.closed;
        }
        else if (!has_label(h, s.required_label))
        {
            ++n.unfit;
        }
        else if (!can_run_step(h, j, occurrence, step, s))
        {
            ++n.full;
        }
    }
    return n;
}

std::string describe_unavailable_hosts(const host_counts& n, const job_entry& j)
{
    if (n.closed + n.unfit + n.full == n.all)
    {
        return "none of the " + std::to_string(n.all) + " hosts of pool " + j.spec.pool +
               " may take one: " + std::to_string(n.closed) + " unresponsive, leaving or closed, " +
               std::to_string(n.unfit) + " without the label, " + std::to_string(n.full) +
               " without free capacity";
    }
    return j.spec.needs_advice ? "the advice service has named no host yet"
                               : "the next plan starts them";
}

std::string describe_wait(const fleet& f,
    const job_entry& j,
    int occurrence,
    int step,
    core::mono_time now,
    std::int64_t unix_ms)
{
    const auto due = occurrence_due_ms(j.spec, occurrence);
    if (due > unix_ms && workflow::is_scheduled(j.spec))
    {
        return "due in " + std::to_string(due - unix_ms) + " ms";
    }
    if (const auto before = unfinished_dependencies(j, occurrence, step); !before.empty())
    {
        return "after " + before;
    }
    if (j.inherited && may_have_unseen_runs(find_unseen_run_pools(f, now), j.spec.pool))
    {
        return "an unresponsive host of the pool may still run them for a previous coordinator";
    }
    const auto& need = j.spec.steps[static_cast<std::size_t>(step)].need;
    if (auto capped = describe_cap(f, j, need); !capped.empty())
    {
        return capped;
    }
    const auto& spec = j.spec.steps[static_cast<std::size_t>(step)];
    const auto forecast = spec.long_running ? std::string{} : describe_forecast(f, j);
    auto out = describe_unavailable_hosts(count_hosts(f, j, occurrence, step, now), j) +
               (forecast.empty() ? "" : "; " + forecast);
    if (f.settings.placement.shares == share_rule::work)
    {
        const auto shares = describe_shares(f, j, spec, now);
        return out + (shares.empty() ? "" : "; " + shares);
    }
    return out + (j.beyond_share ? "; workspace " + j.spec.workspace +
                                       " has sent more than its share of jobs, so others come first"
                                 : "");
}

std::string describe_step(const fleet& f,
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
               " wait: " + describe_wait(f, j, occurrence, step, now, unix_ms);
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
                out.push_back(describe_step(f, j, k, s, now, unix_ms));
            }
        }
    }
    return out;
}

} // namespace camphorhitch::coordinator
