#include "share_demand.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "share_levels.hpp"
#include "starts.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace camphorhitch::coordinator
{

namespace
{

/// Pool and accounts of a job.
using work_key = std::array<std::string_view, 1 + share_levels>;

work_key key_of(const fleet& f, const workflow::job& j)
{
    work_key out{j.pool};
    for_each_account(f,
        j,
        [&](share_level level, const std::string& name)
        { out[1 + static_cast<std::size_t>(level)] = name; });
    return out;
}

/// The place of a step among the steps of the fleet.
struct step_place
{
    const job_entry& job;
    int occurrence;
    int step;
};

/// \return the number of hosts of the pool on which a task of the step could run if they were
/// empty; at most \p max.
std::int64_t count_suitable_hosts(const std::vector<const host_entry*>& hosts,
    const step_place& at,
    std::int64_t max,
    core::mono_time now)
{
    const auto& s = at.job.spec.steps[static_cast<std::size_t>(at.step)];
    const auto need = required_resources(s);
    std::int64_t n = 0;
    for (const auto* const h : hosts)
    {
        if (n == max)
        {
            break;
        }
        const bool suits = has_label(*h, s.required_label) && need.cpu <= h->capacity.cpu &&
                           need.memory_mb <= h->capacity.memory_mb &&
                           need.gpus <= h->capacity.gpus &&
                           has_required_ticket(*h, at.job, at.occurrence, at.step, now);
        n += suits ? 1 : 0;
    }
    return n;
}

/// \return the number of waiting tasks of the step whose runs were lost with their hosts. They
/// start by rules of their own, and some of them never.
int count_waiting_suspects(const step_place& at)
{
    const auto& j = at.job;
    const auto first = workflow::task_index(j.spec, at.occurrence, at.step, 0);
    const int tasks = j.spec.steps[static_cast<std::size_t>(at.step)].tasks;
    int n = 0;
    for (int i = 0; j.losses > 0 && i < tasks; ++i)
    {
        const auto& t = j.tasks[first + static_cast<std::size_t>(i)];
        n += !t.progress.done && t.runs.empty() && !t.progress.lost_runs.empty() ? 1 : 0;
    }
    return n;
}

/// Tasks that would not start with more free capacity are left out: capacity that was kept for them
/// would stay idle.
/// \return the number of waiting tasks of the step that could start with free capacity.
std::int64_t count_startable(const fleet& f,
    const step_place& at,
    const std::vector<const host_entry*>& hosts,
    core::mono_time now)
{
    const auto& j = at.job;
    const auto& s = j.spec.steps[static_cast<std::size_t>(at.step)];
    const auto& counts = step_of(j, at.occurrence, at.step);
    if (counts.idle == 0 || !is_step_ready(j, at.occurrence, at.step) || !fits_cap(f, j, s.need))
    {
        return 0;
    }
    const auto suitable = count_suitable_hosts(hosts, at, s.max_per_host > 0 ? s.tasks : 1, now);
    std::int64_t n = suitable > 0 ? counts.idle - count_waiting_suspects(at) : 0;
    if (s.max_per_host > 0)
    {
        const auto running = s.tasks - counts.done - counts.idle;
        n = std::min(n, suitable * s.max_per_host - running);
    }
    return std::max(n, std::int64_t{0});
}

/// \return the thousandths of a core with which the job's waiting tasks count that could start with
/// free capacity.
std::int64_t waiting_cpu(const fleet& f,
    const job_entry& j,
    const std::vector<const host_entry*>& hosts,
    core::mono_time now,
    std::int64_t unix_ms)
{
    std::int64_t sum = 0;
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        if (workflow::is_scheduled(j.spec) && occurrence_due_ms(j.spec, k) > unix_ms)
        {
            break;
        }
        for (int s = 0; s < static_cast<int>(j.spec.steps.size()); ++s)
        {
            const auto n = count_startable(f, {j, k, s}, hosts, now);
            const auto cpu =
                n == 0 ? 0 : n * dominant_cpu(f, j.spec.steps[static_cast<std::size_t>(s)]);
            const bool gang = j.spec.steps[static_cast<std::size_t>(s)].gang;
            sum += gang && cpu > f.shares.pools.at(j.spec.pool).capacity ? 0 : cpu;
        }
    }
    return sum;
}

} // namespace

pool_host_lists list_hosts(const fleet& f)
{
    pool_host_lists out;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.listed && h.capacity.cpu > 0)
        {
            out[h.pool].push_back(&h);
        }
    }
    return out;
}

std::vector<active_work> list_active_work(
    const fleet& f, const pool_host_lists& hosts, core::mono_time now, std::int64_t unix_ms)
{
    // There are far more jobs than accounts, and each account is looked up by its name.
    std::map<work_key, active_work> groups;
    const auto unseen = find_unseen_run_pools(f, now);
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        const auto pool = hosts.find(j.spec.pool);
        const bool may_start = pool != hosts.end() && !workflow::is_final(j.state) &&
                               !(j.inherited && may_have_unseen_runs(unseen, j.spec.pool));
        const auto waiting = may_start ? waiting_cpu(f, j, pool->second, now, unix_ms) : 0;
        if (waiting > 0 || j.live_runs > 0)
        {
            auto& it = groups[key_of(f, j.spec)];
            it.sample = &j.spec;
            it.waiting += waiting;
            it.batch += j.batch_share_cpu;
            it.long_running += j.long_running_share_cpu;
        }
    }
    std::vector<active_work> out;
    out.reserve(groups.size());
    for (const auto& [key, it] : groups)
    {
        out.push_back(it);
    }
    return out;
}

} // namespace camphorhitch::coordinator
