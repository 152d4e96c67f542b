#include "host_views.hpp"

#include "jobs/quota.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::jobs
{

namespace
{

/// A task that has exceeded its predicted run time is assumed to need one part in this many of it
/// again.
constexpr int overdue_divisor = 10;

core::mono_time started_at(const task_record& t)
{
    return t.ordered_at.value_or(t.first_seen);
}

int assign_index(std::map<std::string, int>& numbers, const std::string& name)
{
    return numbers.try_emplace(name, static_cast<int>(numbers.size())).first->second;
}

host_view make_view(const model::host_record& host, const pool_jobs& all, const round_input& in)
{
    host_view v;
    v.record = &host;
    v.capacity = {host.processors, host.memory_gb, host.accelerators};
    v.accepts_jobs = host.state == model::host_state::serving;
    v.proven = is_proven(all.health, host.id);
    v.set_aside = is_set_aside(all.health, host.id);
    const auto leaving = in.time_to_drain.find(host.id);
    v.time_to_drain = leaving == in.time_to_drain.end() ? no_drain_expected : leaving->second;
    return v;
}

bool is_unproven(const job& j, const task_record* t)
{
    return j.state == job_state::starting || (t != nullptr && !t->success_recorded);
}

void add_task(host_view& v, job_ref task, const round_input& in)
{
    v.load = v.load + load_of(task, v.capacity, in);
    v.declared = v.declared + task.it->declared;
    v.unproven_tasks += is_unproven(*task.it, task.task) ? 1 : 0;
    v.tasks.push_back(task);
}

void add_tasks(host_views& views, const active_jobs& active, const round_input& in)
{
    for (const auto& it : active)
    {
        host_view* v = may_occupy_host(*it.it) ? find_host_view(views, it.it->host) : nullptr;
        if (v != nullptr)
        {
            add_task(*v, it, in);
        }
    }
}

void add_claims(host_views& views, const pool_jobs& all)
{
    for (const auto& it : all.capacity_claims)
    {
        if (host_view* v = find_host_view(views, it.second.host))
        {
            v->claimed = v->claimed + it.second.size;
        }
    }
    for (const auto& it : all.reservations)
    {
        if (host_view* v = find_host_view(views, it.second.host))
        {
            v->reserved_for = &it.first;
            v->reserved_free_at = it.second.free_at;
        }
    }
}

} // namespace

resources load_of(const job_ref& placed, const resources& capacity, const round_input& in)
{
    const job& j = *placed.it;
    const task_record& task = *placed.task;
    resources load = j.reserved;
    if (task.reported_at)
    {
        const resources measured{task.peak_use.processors * in.rules.measured_processors_factor,
            task.peak_use.memory_gb * in.rules.measured_memory_factor,
            j.declared.accelerators};
        const bool trusted = in.now - started_at(task) >= in.rules.measurement_trust_delay;
        if (trusted && task.peak_use.processors > 0 && task.peak_use.memory_gb > 0)
        {
            load = elementwise_min(measured, capacity);
        }
        // Headroom beyond the whole host would keep even a single task throttled for ever.
        load = elementwise_max(load, elementwise_min(measured, capacity));
    }
    if (j.throttled && task.throttled_at_worker == true)
    {
        load.processors *= in.rules.throttled_share;
    }
    return load;
}

core::millis remaining_time(const job& j, const task_record* task, core::mono_time now)
{
    const auto elapsed = task == nullptr
                             ? core::millis{0}
                             : std::chrono::duration_cast<core::millis>(now - started_at(*task));
    return std::max(j.expected_run_time - elapsed, j.expected_run_time / overdue_divisor);
}

host_view* find_host_view(host_views& views, const std::string& id)
{
    const auto it = views.by_id.find(id);
    return it == views.by_id.end() ? nullptr : &views.hosts[it->second];
}

active_jobs collect_active(pool_jobs& all, core::mono_time now)
{
    active_jobs active;
    for (auto& b : all.buckets)
    {
        for (auto& j : b.document.jobs)
        {
            if (may_occupy_host(j) || j.state == job_state::unknown)
            {
                task_record& t = find_or_add_task(all, task_name(j), now);
                t.last_round = all.rounds;
                active.push_back({&j, &b, &t});
            }
            else if (j.state == job_state::waiting && j.attempt > 0)
            {
                const auto it = all.tasks.find(task_name(j));
                if (it != all.tasks.end())
                {
                    active.push_back({&j, &b, &it->second});
                }
            }
        }
    }
    return active;
}

host_views make_host_views(const pool_jobs& all, const active_jobs& active, const round_input& in)
{
    host_views views;
    std::map<std::string, int> zones;
    std::map<std::string, int> racks;
    views.hosts.reserve(in.hosts.hosts.size());
    for (const auto& it : in.hosts.hosts)
    {
        host_view v = make_view(it, all, in);
        v.zone = assign_index(zones, it.zone);
        v.rack = assign_index(racks, it.zone + '/' + it.rack);
        views.usable_hosts += v.accepts_jobs && !v.set_aside ? 1 : 0;
        views.any_proven = views.any_proven || (v.accepts_jobs && v.proven);
        views.any_not_draining =
            views.any_not_draining || (v.accepts_jobs && v.time_to_drain == no_drain_expected);
        views.by_id.emplace(it.id, views.hosts.size());
        views.hosts.push_back(std::move(v));
    }
    views.zones = static_cast<int>(zones.size());
    views.racks = static_cast<int>(racks.size());
    add_tasks(views, active, in);
    add_claims(views, all);
    for (auto& it : views.hosts)
    {
        it.starts_left =
            allowed_starts(all.health, it.record->id, it.unproven_tasks, in.rules, in.now);
    }
    return views;
}

} // namespace camphorhitch::jobs
