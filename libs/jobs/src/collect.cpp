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

void count_teams(round_state& r)
{
    for (auto& b : r.all.buckets)
    {
        for (auto& j : b.document.jobs)
        {
            if (holds_host(j))
            {
                team_view& t = r.teams[j.team];
                t.in_use = t.in_use + j.declared;
            }
        }
        for (auto& j : b.doubted)
        {
            team_view& t = r.teams[j.team];
            t.in_use = t.in_use + j.declared;
        }
    }
    for (auto& it : r.teams)
    {
        it.second.wanted = it.second.in_use;
    }
    for (const auto& it : r.all.teams)
    {
        const team_grant& g = it.second;
        r.teams[it.first].grant = g.pending ? smaller(g.granted, g.used_when_sent) : g.granted;
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

/// Whether one of the pool's hosts, whatever its state, and the team's quota can hold the size.
class possible_sizes
{
public:
    explicit possible_sizes(const round_input& in)
    {
        for (const auto& it : in.hosts.hosts)
        {
            add({it.processors, it.memory_gb, it.accelerators});
        }
        for (const auto& it : in.teams)
        {
            quotas_[it.name] = {it.processors, it.memory_gb, it.accelerators};
        }
    }

    bool holds(const job& j) const
    {
        const auto quota = quotas_.find(j.team);
        return quota != quotas_.end() && fits(j.declared, quota->second) &&
               std::any_of(shapes_.begin(),
                   shapes_.end(),
                   [&](const amounts& it) { return fits(j.declared, it); });
    }

private:
    void add(const amounts& shape)
    {
        if (std::find(shapes_.begin(), shapes_.end(), shape) == shapes_.end())
        {
            shapes_.push_back(shape);
        }
    }

    std::vector<amounts> shapes_;
    std::unordered_map<std::string, amounts> quotas_;
};

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

group_view& group_view_of(round_state& r, const job& j)
{
    const std::string name = group_of(j);
    const auto [it, added] = r.groups.try_emplace(name);
    if (added)
    {
        it->second.size = correction_of(r.all.sizes, name, r.in.rules);
        it->second.in_zone.resize(static_cast<std::size_t>(r.views.zones));
        it->second.in_rack.resize(static_cast<std::size_t>(r.views.racks));
        it->second.held_back = is_held_back(r.all.health, name, r.in.rules);
    }
    return it->second;
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
    const possible_sizes possible{r.in};
    for (auto& b : r.all.buckets)
    {
        for (auto& j : b.document.jobs)
        {
            const bool waits = j.state == job_state::waiting;
            if (!waits && j.state != job_state::impossible)
            {
                continue;
            }
            if (possible.holds(j) != waits)
            {
                judge_possible(r, b, j);
            }
            if (j.state == job_state::waiting)
            {
                team_view& t = r.teams[j.team];
                t.wanted = t.wanted + j.declared;
                r.waiting.push_back({&j, &b, nullptr});
            }
        }
    }
    std::sort(r.waiting.begin(), r.waiting.end(), goes_first);
}

} // namespace camphorhitch::jobs
