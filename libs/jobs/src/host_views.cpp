#include "host_views.hpp"

#include "jobs/quota.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::jobs
{

namespace
{

/// A task that has outlived its prediction is taken to need this share of it again.
constexpr int overdue_share = 10;

core::mono_time began(const task_view& t)
{
    return t.ordered_at.value_or(t.first_seen);
}

int intern(std::map<std::string, int>& numbers, const std::string& name)
{
    return numbers.try_emplace(name, static_cast<int>(numbers.size())).first->second;
}

host_view make_view(const model::host_record& host, const pool_jobs& all, const round_input& in)
{
    host_view v;
    v.record = &host;
    v.capacity = {host.processors, host.memory_gb, host.accelerators};
    v.open = host.state == model::host_state::serving;
    v.proven = is_proven(all.health, host.id);
    v.aside = is_set_aside(all.health, host.id);
    const auto leaving = in.leaving_in.find(host.id);
    v.leaving_in = leaving == in.leaving_in.end() ? never : leaving->second;
    return v;
}

bool is_unsettled(const job& j, const task_view* t)
{
    return j.state == job_state::starting || (t != nullptr && !t->proved);
}

void add_task(host_view& v, placed_job task, const round_input& in)
{
    v.load = v.load + load_of(task, v.capacity, in);
    v.declared = v.declared + task.it->declared;
    v.unsettled += is_unsettled(*task.it, task.task) ? 1 : 0;
    v.tasks.push_back(task);
}

void add_tasks(host_views& views, const active_jobs& active, const round_input& in)
{
    for (const auto& it : active)
    {
        host_view* v = holds_host(*it.it) ? find_host_view(views, it.it->host) : nullptr;
        if (v != nullptr)
        {
            add_task(*v, it, in);
        }
    }
}

void add_claims(host_views& views, const pool_jobs& all)
{
    for (const auto& it : all.claims)
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
            v->kept_for = &it.first;
            v->kept_free_at = it.second.free_at;
        }
    }
}

} // namespace

amounts load_of(const placed_job& placed, const amounts& capacity, const round_input& in)
{
    const job& j = *placed.it;
    const task_view& task = *placed.task;
    amounts load = j.reserved;
    if (task.reported_at)
    {
        const amounts measured{task.peak.processors * in.rules.measured_processors_factor,
            task.peak.memory_gb * in.rules.measured_memory_factor,
            j.declared.accelerators};
        const bool trusted = in.now - began(task) >= in.rules.trust_after;
        if (trusted && task.peak.processors > 0 && task.peak.memory_gb > 0)
        {
            load = smaller(measured, capacity);
        }
        // Headroom beyond the whole host would keep even a lone task throttled for ever.
        load = larger(load, smaller(measured, capacity));
    }
    if (j.throttled && task.throttled_there == true)
    {
        load.processors *= in.rules.throttled_share;
    }
    return load;
}

core::millis time_left(const job& j, const task_view* task, core::mono_time now)
{
    const auto gone = task == nullptr
                          ? core::millis{0}
                          : std::chrono::duration_cast<core::millis>(now - began(*task));
    return std::max(j.expected - gone, j.expected / overdue_share);
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
            if (holds_host(j) || j.state == job_state::unknown)
            {
                task_view& t = view_of(all, task_name(j), now);
                t.round = all.rounds;
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
        v.zone = intern(zones, it.zone);
        v.rack = intern(racks, it.zone + '/' + it.rack);
        views.open_hosts += v.open && !v.aside ? 1 : 0;
        views.any_proven = views.any_proven || (v.open && v.proven);
        views.any_staying = views.any_staying || (v.open && v.leaving_in == never);
        views.by_id.emplace(it.id, views.hosts.size());
        views.hosts.push_back(std::move(v));
    }
    views.zones = static_cast<int>(zones.size());
    views.racks = static_cast<int>(racks.size());
    add_tasks(views, active, in);
    add_claims(views, all);
    for (auto& it : views.hosts)
    {
        it.allowed = starts_allowed(all.health, it.record->id, it.unsettled, in.rules, in.now);
    }
    return views;
}

} // namespace camphorhitch::jobs
