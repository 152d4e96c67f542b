#include "place.hpp"

#include "candidates.hpp"
#include "core/invariant.hpp"
#include "text.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

bool may_try(round_state& r, placed_job& w)
{
    job& j = *w.it;
    const auto wait = r.all.wait_until.find(j.id);
    if (wait != r.all.wait_until.end() && r.in.now < wait->second)
    {
        j.waits_for = wait_reason::backing_off;
        return false;
    }
    const team_view& t = team_view_of(r, j);
    if (!fits(t.in_use + j.declared, t.grant))
    {
        j.waits_for = wait_reason::quota;
        return false;
    }
    const group_view& g = group_view_of(r, j);
    if (g.held_back && g.unsettled > 0)
    {
        j.waits_for = wait_reason::held_back;
        return false;
    }
    return true;
}

std::string weighed_text(const job& j, const estimate& size, const host_view& v)
{
    const amounts room = v.capacity - v.load;
    return v.record->id + " had " + to_text(room) + " free; declared " + to_text(j.declared) +
           ", counted as " + to_text(size.size);
}

/// A host set aside is tried by one job that may run again, the least urgent first.
void place_probes(round_state& r)
{
    for (auto& v : r.views.hosts)
    {
        if (!v.aside || !v.open || v.allowed <= 0)
        {
            continue;
        }
        const auto suits = [&](placed_job& w)
        {
            const estimate size = corrected(*w.it, group_view_of(r, *w.it).size);
            const bool new_there = std::none_of(w.it->failures.begin(),
                w.it->failures.end(),
                [&](const host_failure& it) { return it.host == v.record->id; });
            return w.it->idempotent && new_there && w.it->klass != job_class::urgent &&
                   size.run_time < v.leaving_in && may_try(r, w) &&
                   has_room(v,
                       need_on(size.size, w.it->declared, v.capacity),
                       w.it->declared,
                       {},
                       r.in.rules);
        };
        const auto found = std::find_if(r.waiting.rbegin(), r.waiting.rend(), suits);
        if (found == r.waiting.rend())
        {
            continue;
        }
        const estimate size = corrected(*found->it, group_view_of(r, *found->it).size);
        note_probe(r.all.health, v.record->id);
        assign(r, *found, v, size, "probe", "tries a worker that was set aside");
        r.waiting.erase(std::next(found).base());
    }
}

/// \return whether the job was placed.
bool place_one(round_state& r, candidate_index& index, failed_sizes& failed, placed_job& w)
{
    job& j = *w.it;
    if (!may_try(r, w))
    {
        return false;
    }
    const estimate size = corrected(j, group_view_of(r, j).size);
    const search s{r, j, size};
    if (failed.covers(s))
    {
        j.waits_for = failed.reason();
        return false;
    }
    const search_end found = find_host(index, s);
    if (found.host == nullptr)
    {
        j.waits_for = found.reason;
        failed.add(s, found);
        return false;
    }
    index.remove(*found.host);
    assign(r, w, *found.host, size, "placed", weighed_text(j, size, *found.host));
    index.add(*found.host);
    return true;
}

} // namespace

amounts need_on(const amounts& size, const amounts& declared, const amounts& capacity)
{
    amounts need = size;
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

bool has_room(const host_view& v,
    const amounts& need,
    const amounts& declared,
    const amounts& own_claim,
    const settings& rules)
{
    const amounts others = v.load + v.claimed - own_claim;
    if (!fits(others + need, v.capacity))
    {
        return false;
    }
    const amounts all = v.declared + declared;
    return all.processors <= v.capacity.processors * rules.most_overcommit &&
           all.memory_gb <= v.capacity.memory_gb * rules.most_overcommit;
}

namespace
{

void forget_claims(round_state& r, const job& j)
{
    if (const auto it = r.all.claims.find(j.id); it != r.all.claims.end())
    {
        if (host_view* v = find_host_view(r.views, it->second.host))
        {
            v->claimed = v->claimed - it->second.size;
        }
        r.all.claims.erase(it);
    }
    if (const auto it = r.all.reservations.find(j.id); it != r.all.reservations.end())
    {
        if (host_view* v = find_host_view(r.views, it->second.host))
        {
            v->kept_for = nullptr;
        }
        r.all.reservations.erase(it);
    }
}

} // namespace

void assign(round_state& r,
    placed_job& waiting,
    host_view& host,
    const estimate& size,
    const std::string& rule,
    const std::string& weighed)
{
    job& j = *waiting.it;
    const amounts need = need_on(size.size, j.declared, host.capacity);
    const std::string& id = host.record->id;
    forget_claims(r, j);
    r.all.waiting_since.erase(j.id);
    r.all.wait_until.erase(j.id);

    j.attempt += 1;
    j.host = id;
    j.starter = r.all.mark.incarnation;
    j.reserved = need;
    j.expected = size.run_time;
    j.lease = r.in.rules.lease_ttl;
    j.throttled = false;
    j.releasing = release_reason::none;
    j.waits_for = wait_reason::none;
    enter(j, job_state::starting, core::to_unix_ms(r.in.wall_now), rule, weighed);
    touch(*waiting.bucket, j, write_need::soon, r.in.now);

    host.load = host.load + need;
    host.declared = host.declared + j.declared;
    host.allowed -= 1;
    host.unsettled += 1;
    waiting.task = &view_of(r.all, task_name(j), r.in.now);
    host.tasks.push_back(waiting);
    team_view& t = team_view_of(r, j);
    t.in_use = t.in_use + j.declared;
    group_view& g = group_view_of(r, j);
    g.tasks += 1;
    g.unsettled += 1;
    g.in_zone[static_cast<std::size_t>(host.zone)] += 1;
    g.in_rack[static_cast<std::size_t>(host.rack)] += 1;
    core::require(fits(host.load, host.capacity), "a host was placed over its capacity", id);
    core::require(fits(t.in_use, t.grant), "a team was placed over its quota", j.team);
    core::require(host.open, "a job was placed on a host that takes none", id);
}

void place(round_state& r)
{
    place_probes(r);
    candidate_index index{r.views};
    failed_sizes failed;
    const auto placed = [&](placed_job& w)
    {
        return place_one(r, index, failed, w);
    };
    r.waiting.erase(std::remove_if(r.waiting.begin(), r.waiting.end(), placed), r.waiting.end());
}

} // namespace camphorhitch::jobs
