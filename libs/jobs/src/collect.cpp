#include "jobs/submit.hpp"
#include "place.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

void count_task(round_state& r, const placed_job& task, const host_view& v)
{
    group_view& g = group_view_of(r, *task.it);
    g.tasks += 1;
    g.unsettled += task.task->proved ? 0 : 1;
    g.in_zone[static_cast<std::size_t>(v.zone)] += 1;
    g.in_rack[static_cast<std::size_t>(v.rack)] += 1;
}

team_view make_team(const round_state& r, const std::string& name)
{
    team_view t;
    if (const auto it = r.all.teams.find(name); it != r.all.teams.end())
    {
        const team_grant& g = it->second;
        t.grant = g.pending ? smaller(g.granted, g.used_when_sent) : g.granted;
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
        r.teams.push_back(make_team(r, r.all.team_numbers.names[i]));
    }
}

/// Also teams whose last job has ended: what they were granted goes back.
void count_teams(round_state& r)
{
    add_teams_up_to(r, r.all.team_numbers.names.size());
    for (const auto& it : r.active)
    {
        if (holds_host(*it.it))
        {
            team_view& t = team_view_of(r, *it.it);
            t.in_use = t.in_use + it.it->declared;
        }
    }
    for (auto& it : r.teams)
    {
        it.wanted = it.in_use;
    }
}

/// Follows hosts that come and go and quotas that change: a job that can't run says so, and waits
/// again when it can.
void judge_possible(round_state& r, bucket_view& b, job& j)
{
    const auto now = core::to_unix_ms(r.in.wall_now);
    const bool was = j.state == job_state::impossible;
    const std::string why = why_impossible(j.declared, j.team, r.in.hosts, r.in.teams);
    if (why.empty() && was)
    {
        enter(j, job_state::waiting, now, "possible_again", "a host or the quota fits it now");
        touch(b, j, write_need::soon, r.in.now);
    }
    else if (!why.empty() && !was)
    {
        enter(j, job_state::impossible, now, "can_never_run", why);
        touch(b, j, write_need::soon, r.in.now);
    }
}

/// \return the different sizes of the pool's hosts, whatever their state.
std::vector<amounts> host_sizes(const model::pool_document& hosts)
{
    std::vector<amounts> sizes;
    for (const auto& it : hosts.hosts)
    {
        const amounts size{it.processors, it.memory_gb, it.accelerators};
        if (std::find(sizes.begin(), sizes.end(), size) == sizes.end())
        {
            sizes.push_back(size);
        }
    }
    return sizes;
}

bool is_possible(const job& j, const team_view& t, const std::vector<amounts>& sizes)
{
    return t.configured && fits(j.declared, t.quota) &&
           std::any_of(
               sizes.begin(), sizes.end(), [&](const amounts& it) { return fits(j.declared, it); });
}

bool goes_first(const placed_job& a, const placed_job& b)
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

team_view& team_view_of(round_state& r, job& j)
{
    if (j.team_number < 0)
    {
        j.team_number = number_of(r.all.team_numbers, j.team);
    }
    const auto n = static_cast<std::size_t>(j.team_number);
    add_teams_up_to(r, n + 1);
    return r.teams[n];
}

group_view& group_view_of(round_state& r, job& j)
{
    if (j.group_number < 0)
    {
        j.group_number = number_of(r.all.group_numbers, group_of(j));
    }
    const auto n = static_cast<std::size_t>(j.group_number);
    r.groups.resize(std::max(r.groups.size(), n + 1));
    group_view& g = r.groups[n];
    if (!g.known)
    {
        const std::string& name = r.all.group_numbers.names[n];
        g.size = correction_of(r.all.sizes, name, r.in.rules);
        g.in_zone.resize(static_cast<std::size_t>(r.views.zones));
        g.in_rack.resize(static_cast<std::size_t>(r.views.racks));
        g.held_back = is_held_back(r.all.health, name, r.in.rules);
        g.known = true;
    }
    return g;
}

void collect(round_state& r)
{
    count_teams(r);
    for (const auto& v : r.views.hosts)
    {
        for (const auto& it : v.tasks)
        {
            count_task(r, it, v);
        }
    }
    const std::vector<amounts> sizes = host_sizes(r.in.hosts);
    for (auto& b : r.all.buckets)
    {
        for (auto& j : b.document.jobs)
        {
            const bool waits = j.state == job_state::waiting;
            if (!waits && j.state != job_state::impossible)
            {
                continue;
            }
            if (is_possible(j, team_view_of(r, j), sizes) != waits)
            {
                judge_possible(r, b, j);
            }
            if (j.state == job_state::waiting)
            {
                team_view& t = team_view_of(r, j);
                t.wanted = t.wanted + j.declared;
                r.waiting.push_back({&j, &b, nullptr});
            }
        }
    }
    std::sort(r.waiting.begin(), r.waiting.end(), goes_first);
}

} // namespace camphorhitch::jobs
