// Starts drains for waves, as far as policy and budget allow, and adjusts the spare capacity held.
#include "fleet/budget.hpp"
#include "pool_steps.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::host_record;
using model::host_state;
using model::wave_document;

namespace
{

struct candidate
{
    std::string host;
    const wave_document* wave;
    bool held;
};

/// \return the hosts that may be drained now. Held hosts come first, because they carry no work.
std::vector<candidate> candidates_of(const pool_update& d)
{
    std::vector<candidate> out;
    for (const auto& it : d.next.hosts)
    {
        const auto* wave = active_wave_for(it, d.in.waves);
        const bool free = is_member(it) && !is_absent(it) && !is_borrowed(it);
        if (wave != nullptr && free && admits(*wave, it.id))
        {
            out.push_back({it.id, wave, it.state == host_state::held});
        }
    }
    const auto held_first = [](const candidate& a, const candidate& b)
    {
        return a.held && !b.held;
    };
    std::stable_sort(out.begin(), out.end(), held_first);
    return out;
}

bool has_spare_pool(const model::configuration& c)
{
    return std::any_of(
        c.pools.begin(), c.pools.end(), [](const model::pool_config& it) { return it.spare; });
}

/// \return whether a drain should wait for a borrowed host. All spare hosts may be lent or failed,
/// so the wait ends after the policy's return timeout, the time that the maintenance of another
/// host may take. The budget holds without the borrowed host too.
bool should_wait_for_borrowed_host(pool_update& d, const model::policy_config& p)
{
    const int wanted = borrowed_hosts_wanted(d.next, d.in.waves, d.in.config);
    if (count_serving_borrowed(d.next) >= wanted || !has_spare_pool(d.in.config))
    {
        d.timers.waiting_for_borrowed_since.reset();
        return false;
    }
    if (!d.timers.waiting_for_borrowed_since)
    {
        d.timers.waiting_for_borrowed_since = d.in.now;
    }
    return d.in.now - *d.timers.waiting_for_borrowed_since < p.return_timeout;
}

std::string weigh(const pool_update& d, const candidate& c, const model::policy_config& p)
{
    return "wave " + c.wave->id + ", policy " + (p.name.empty() ? "default" : p.name) + "; " +
           describe_absences(d.next, budget_of(d.in.config, d.next.pool));
}

const host_record* host_to_hold(const pool_update& d)
{
    const auto it = std::find_if(d.next.hosts.rbegin(),
        d.next.hosts.rend(),
        [](const host_record& h) { return accepts_work(h) && !is_borrowed(h); });
    return it == d.next.hosts.rend() ? nullptr : &*it;
}

const host_record* host_to_unhold(const pool_update& d)
{
    const auto it = std::find_if(d.next.hosts.begin(),
        d.next.hosts.end(),
        [](const host_record& h) { return is_member(h) && h.state == host_state::held; });
    return it == d.next.hosts.end() ? nullptr : &*it;
}

int count_held(const pool_update& d)
{
    return static_cast<int>(std::count_if(d.next.hosts.begin(),
        d.next.hosts.end(),
        [](const host_record& h) { return is_member(h) && h.state == host_state::held; }));
}

int held_hosts_wanted(const pool_update& d)
{
    if (is_spare_pool(d.in.config, d.next.pool))
    {
        return static_cast<int>(d.next.hosts.size());
    }
    const auto p = managing_policy(d.next, d.in.waves, d.in.config);
    return policy_of(p.kind).held_hosts_wanted(p, count_pool(d.next, d.in.waves, d.in.config));
}

} // namespace

void start_wave_drains(pool_update& d)
{
    const auto candidates = candidates_of(d);
    if (candidates.empty())
    {
        d.timers.waiting_for_borrowed_since.reset();
    }
    for (const auto& it : candidates)
    {
        const auto p = policy_in_force(d.in.config, d.next.pool, it.wave->policy);
        const auto need = count_pool(d.next, d.in.waves, d.in.config);
        if (need.planned_absent >= policy_of(p.kind).pool_limit(p, need) ||
            should_wait_for_borrowed_host(d, p))
        {
            continue;
        }
        apply_step(d, start_drain{it.host, it.wave->id, weigh(d, it, p)});
    }
}

void adjust_held_hosts(pool_update& d)
{
    const int wanted = held_hosts_wanted(d);
    int held = count_held(d);
    const std::string weighed =
        std::to_string(wanted) + " to be held, " + std::to_string(held) + " are";
    for (; held < wanted; ++held)
    {
        const auto* h = host_to_hold(d);
        if (h == nullptr)
        {
            return;
        }
        const std::string id = h->id;
        apply_step(d, hold_host{id, weighed});
    }
    for (; held > wanted; --held)
    {
        const std::string id = host_to_unhold(d)->id;
        apply_step(d, unhold_host{id, weighed});
    }
}

} // namespace camphorhitch::fleet
