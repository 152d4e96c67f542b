#include "place.hpp"

#include "candidates.hpp"
#include "core/invariant.hpp"
#include "text.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

bool may_start_now(round_state& r, job_ref& w)
{
    job& j = *w.it;
    const auto wait = r.all.retry_at.find(j.id);
    if (wait != r.all.retry_at.end() && r.in.now < wait->second)
    {
        j.waits_for = wait_reason::backing_off;
        return false;
    }
    const team_usage& t = team_usage_of(r, j);
    if (!fits(t.in_use + j.declared, t.grant))
    {
        j.waits_for = wait_reason::quota;
        return false;
    }
    const group_usage& g = group_usage_of(r, j);
    if (g.start_limited && g.unproven_tasks > 0)
    {
        j.waits_for = wait_reason::held_back;
        return false;
    }
    return true;
}

std::string describe_choice(const job& j, const estimate& size, const host_view& v)
{
    const resources available = v.capacity - v.load;
    return v.record->id + " had " + to_text(available) + " free; declared " + to_text(j.declared) +
           ", counted as " + to_text(size.size);
}

/// Places one job that may run again as a probe on each host that is set aside, beginning with the
/// least urgent job.
void place_probes(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        if (!v.set_aside || !v.accepts_jobs || v.starts_left <= 0)
        {
            continue;
        }
        const auto is_suitable = [&](job_ref& w)
        {
            const estimate size = apply_correction(*w.it, group_usage_of(r, *w.it).size);
            const bool not_failed_there = std::none_of(w.it->failures.begin(),
                w.it->failures.end(),
                [&](const host_failure& it) { return it.host == v.record->id; });
            return w.it->idempotent && not_failed_there && w.it->klass != job_class::urgent &&
                   size.run_time < v.time_to_drain && may_start_now(r, w) &&
                   has_capacity(v,
                       required_resources(size.size, w.it->declared, v.capacity),
                       w.it->declared,
                       {},
                       r.in.rules);
        };
        const auto found = std::find_if(r.waiting.rbegin(), r.waiting.rend(), is_suitable);
        if (found == r.waiting.rend())
        {
            continue;
        }
        const estimate size = apply_correction(*found->it, group_usage_of(r, *found->it).size);
        record_probe(r.all.health, v.record->id);
        assign(r, *found, v, size, "probe", "probes a worker that is set aside");
        r.waiting.erase(std::next(found).base());
    }
}

/// \return whether the job was placed.
bool place_job(round_state& r, candidate_index& index, unplaceable_sizes& unplaceable, job_ref& w)
{
    job& j = *w.it;
    if (!may_start_now(r, w))
    {
        return false;
    }
    const estimate size = apply_correction(j, group_usage_of(r, j).size);
    const host_search s{r, j, size};
    if (unplaceable.covers(s))
    {
        j.waits_for = unplaceable.reason();
        return false;
    }
    const search_result found = find_host(index, s);
    if (found.host == nullptr)
    {
        j.waits_for = found.reason;
        unplaceable.add(s, found);
        return false;
    }
    index.remove(*found.host);
    assign(r, w, *found.host, size, "placed", describe_choice(j, size, *found.host));
    index.add(*found.host);
    return true;
}

} // namespace

resources required_resources(
    const resources& size, const resources& declared, const resources& capacity)
{
    resources need = size;
    if (declared.processors <= capacity.processors)
    {
        need.processors = std::min(need.processors, capacity.processors);
    }
    if (declared.memory_gb <= capacity.memory_gb)
    {
        need.memory_gb = std::min(need.memory_gb, capacity.memory_gb);
    }
    return need;
}

bool has_capacity(const host_view& v,
    const resources& need,
    const resources& declared,
    const resources& own_claim,
    const settings& rules)
{
    const resources others = v.load + v.claimed - own_claim;
    if (!fits(others + need, v.capacity))
    {
        return false;
    }
    const resources all = v.declared + declared;
    return all.processors <= v.capacity.processors * rules.max_overcommit &&
           all.memory_gb <= v.capacity.memory_gb * rules.max_overcommit;
}

namespace
{

void release_claims(round_state& r, const job& j)
{
    if (const auto it = r.all.capacity_claims.find(j.id); it != r.all.capacity_claims.end())
    {
        if (host_view* v = find_host_view(r.views, it->second.host))
        {
            v->claimed = v->claimed - it->second.size;
        }
        r.all.capacity_claims.erase(it);
    }
    if (const auto it = r.all.reservations.find(j.id); it != r.all.reservations.end())
    {
        if (host_view* v = find_host_view(r.views, it->second.host))
        {
            v->reserved_for = nullptr;
        }
        r.all.reservations.erase(it);
    }
}

} // namespace

void assign(round_state& r,
    job_ref& waiting,
    host_view& host,
    const estimate& size,
    const std::string& rule,
    const std::string& weighed)
{
    job& j = *waiting.it;
    const resources need = required_resources(size.size, j.declared, host.capacity);
    const std::string& id = host.record->id;
    release_claims(r, j);
    r.all.waiting_since.erase(j.id);
    r.all.retry_at.erase(j.id);

    j.attempt += 1;
    j.host = id;
    j.recorded_by = r.all.token.incarnation;
    j.reserved = need;
    j.expected_run_time = size.run_time;
    j.lease_ttl = r.in.rules.lease_ttl;
    j.throttled = false;
    j.releasing = release_reason::none;
    j.waits_for = wait_reason::none;
    enter_state(j, job_state::starting, core::to_unix_ms(r.in.wall_now), rule, weighed);
    mark_changed(*waiting.bucket, j, write_need::soon, r.in.now);

    host.load = host.load + need;
    host.declared = host.declared + j.declared;
    host.starts_left -= 1;
    host.unproven_tasks += 1;
    waiting.task = &find_or_add_task(r.all, task_name(j), r.in.now);
    host.tasks.push_back(waiting);
    team_usage& t = team_usage_of(r, j);
    t.in_use = t.in_use + j.declared;
    group_usage& g = group_usage_of(r, j);
    g.tasks += 1;
    g.unproven_tasks += 1;
    g.in_zone[static_cast<std::size_t>(host.zone)] += 1;
    g.in_rack[static_cast<std::size_t>(host.rack)] += 1;
    core::require(fits(host.load, host.capacity), "a host was placed over its capacity", id);
    core::require(fits(t.in_use, t.grant), "a team was placed over its quota", j.team);
    core::require(host.accepts_jobs, "a job was placed on a host that accepts no jobs", id);
}

void place(round_state& r)
{
    place_probes(r);
    candidate_index index{r.views};
    unplaceable_sizes unplaceable;
    const auto placed = [&](job_ref& w)
    {
        return place_job(r, index, unplaceable, w);
    };
    r.waiting.erase(std::remove_if(r.waiting.begin(), r.waiting.end(), placed), r.waiting.end());
}

} // namespace camphorhitch::jobs
