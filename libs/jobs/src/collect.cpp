#include "jobs/submit.hpp"
#include "place.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

void count_task(round_state& r, const job_ref& task, const host_view& v)
{
    group_usage& g = group_usage_of(r, *task.it);
    g.tasks += 1;
    g.unproven_tasks += task.task->success_recorded ? 0 : 1;
    g.in_zone[static_cast<std::size_t>(v.zone)] += 1;
    g.in_rack[static_cast<std::size_t>(v.rack)] += 1;
}

team_usage make_team(const round_state& r, const std::string& name)
{
    team_usage t;
    if (const auto it = r.all.teams.find(name); it != r.all.teams.end())
    {
        const team_grant& g = it->second;
        t.grant = g.pending ? elementwise_min(g.granted, g.used_when_sent) : g.granted;
    }
    for (const auto& it : r.in.teams)
    {
        if (it.name == name)
        {
            t.quota = {it.processors, it.memory_gb, it.accelerators};
            t.configured = true;
        }
    }
    return t;
}

void add_teams_up_to(round_state& r, std::size_t count)
{
    for (std::size_t i = r.teams.size(); i < count; ++i)
    {
        r.teams.push_back(make_team(r, r.all.team_names.names[i]));
    }
}

/// Includes teams whose last job has ended, because their grants have to be returned.
void count_teams(round_state& r)
{
    add_teams_up_to(r, r.all.team_names.names.size());
    for (const auto& it : r.active)
    {
        if (may_occupy_host(*it.it))
        {
            team_usage& t = team_usage_of(r, *it.it);
            t.in_use = t.in_use + it.it->declared;
        }
    }
    for (auto& it : r.teams)
    {
        it.wanted = it.in_use;
    }
}

/// Follows changes of the hosts and quotas: a waiting job that can't run any more becomes
/// impossible, and an impossible job that can run waits again.
void update_possibility(round_state& r, bucket_state& b, job& j)
{
    const auto now = core::to_unix_ms(r.in.wall_now);
    const bool was_impossible = j.state == job_state::impossible;
    const std::string why = impossibility_reason(j.declared, j.team, r.in.hosts, r.in.teams);
    if (why.empty() && was_impossible)
    {
        enter_state(
            j, job_state::waiting, now, "possible_again", "a host and the quota fit the job now");
        mark_changed(b, j, write_need::soon, r.in.now);
    }
    else if (!why.empty() && !was_impossible)
    {
        enter_state(j, job_state::impossible, now, "can_never_run", why);
        mark_changed(b, j, write_need::soon, r.in.now);
    }
}

/// \return the different sizes of the pool's hosts, whatever the hosts' state.
std::vector<resources> host_sizes(const model::pool_document& hosts)
{
    std::vector<resources> sizes;
    for (const auto& it : hosts.hosts)
    {
        const resources size{it.processors, it.memory_gb, it.accelerators};
        if (std::find(sizes.begin(), sizes.end(), size) == sizes.end())
        {
            sizes.push_back(size);
        }
    }
    return sizes;
}

bool is_possible(const job& j, const team_usage& t, const std::vector<resources>& sizes)
{
    return t.configured && fits(j.declared, t.quota) &&
           std::any_of(sizes.begin(),
               sizes.end(),
               [&](const resources& it) { return fits(j.declared, it); });
}

bool comes_before(const job_ref& a, const job_ref& b)
{
    if (a.it->klass != b.it->klass)
    {
        return a.it->klass < b.it->klass;
    }
    if (a.it->submitted_ms != b.it->submitted_ms)
    {
        return a.it->submitted_ms < b.it->submitted_ms;
    }
    return a.it->id < b.it->id;
}

} // namespace

team_usage& team_usage_of(round_state& r, job& j)
{
    if (j.team_index < 0)
    {
        j.team_index = index_of(r.all.team_names, j.team);
    }
    const auto n = static_cast<std::size_t>(j.team_index);
    add_teams_up_to(r, n + 1);
    return r.teams[n];
}

group_usage& group_usage_of(round_state& r, job& j)
{
    if (j.group_index < 0)
    {
        j.group_index = index_of(r.all.group_names, group_name(j));
    }
    const auto n = static_cast<std::size_t>(j.group_index);
    r.groups.resize(std::max(r.groups.size(), n + 1));
    group_usage& g = r.groups[n];
    if (!g.initialized)
    {
        const std::string& name = r.all.group_names.names[n];
        g.size = correction_for(r.all.estimates, name, r.in.rules);
        g.in_zone.resize(static_cast<std::size_t>(r.views.zones));
        g.in_rack.resize(static_cast<std::size_t>(r.views.racks));
        g.start_limited = is_start_limited(r.all.health, name, r.in.rules);
        g.initialized = true;
    }
    return g;
}

void collect_waiting(round_state& r)
{
    count_teams(r);
    for (const auto& v : r.views.hosts)
    {
        for (const auto& it : v.tasks)
        {
            count_task(r, it, v);
        }
    }
    const std::vector<resources> sizes = host_sizes(r.in.hosts);
    for (auto& b : r.all.buckets)
    {
        for (auto& j : b.document.jobs)
        {
            const bool waits = j.state == job_state::waiting;
            if (!waits && j.state != job_state::impossible)
            {
                continue;
            }
            if (is_possible(j, team_usage_of(r, j), sizes) != waits)
            {
                update_possibility(r, b, j);
            }
            if (j.state == job_state::waiting)
            {
                team_usage& t = team_usage_of(r, j);
                t.wanted = t.wanted + j.declared;
                r.waiting.push_back({&j, &b, nullptr});
            }
        }
    }
    std::sort(r.waiting.begin(), r.waiting.end(), comes_before);
}

} // namespace camphorhitch::jobs
