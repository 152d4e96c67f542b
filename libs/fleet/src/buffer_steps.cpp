// New drains of waves, as the policy and the budget allow, and the spare capacity held beside them.
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

/// Hosts that may be drained now; held ones first, as they carry nothing.
std::vector<candidate> candidates_of(const draft& d)
{
    std::vector<candidate> out;
    for (const auto& it : d.next.hosts)
    {
        const auto* wave = working_wave(it, d.in.waves);
        const bool free = is_member(it) && !is_absent(it) && !is_guest(it);
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

bool any_spare_pool(const model::configuration& c)
{
    return std::any_of(
        c.pools.begin(), c.pools.end(), [](const model::pool_config& it) { return it.spare; });
}

/// Whether a drain should wait for a guest. Spare hosts may all be taken or broken, so the wait
/// ends after the time that another host's turn may take: without the guest the budget still holds.
bool waits_for_guest(draft& d, const model::policy_config& p)
{
    const int wanted = guests_wanted(d.next, d.in.waves, d.in.config);
    if (serving_guests(d.next) >= wanted || !any_spare_pool(d.in.config))
    {
        d.memory.short_of_guests.reset();
        return false;
    }
    if (!d.memory.short_of_guests)
    {
        d.memory.short_of_guests = d.in.now;
    }
    return d.in.now - *d.memory.short_of_guests < p.return_timeout;
}

std::string weigh(const draft& d, const candidate& c, const model::policy_config& p)
{
    return "wave " + c.wave->id + ", policy " + (p.name.empty() ? "default" : p.name) + "; " +
           describe_absences(d.next, budget_of(d.in.config, d.next.pool));
}

const host_record* host_to_hold(const draft& d)
{
    const auto it = std::find_if(d.next.hosts.rbegin(),
        d.next.hosts.rend(),
        [](const host_record& h) { return accepts_work(h) && !is_guest(h); });
    return it == d.next.hosts.rend() ? nullptr : &*it;
}

const host_record* host_to_unhold(const draft& d)
{
    const auto it = std::find_if(d.next.hosts.begin(),
        d.next.hosts.end(),
        [](const host_record& h) { return is_member(h) && h.state == host_state::held; });
    return it == d.next.hosts.end() ? nullptr : &*it;
}

int count_held(const draft& d)
{
    return static_cast<int>(std::count_if(d.next.hosts.begin(),
        d.next.hosts.end(),
        [](const host_record& h) { return is_member(h) && h.state == host_state::held; }));
}

int held_wanted(const draft& d)
{
    if (is_spare_pool(d.in.config, d.next.pool))
    {
        return static_cast<int>(d.next.hosts.size());
    }
    const auto p = managing_policy(d.next, d.in.waves, d.in.config);
    return policy_of(p.kind).held_wanted(p, need_of(d.next, d.in.waves, d.in.config));
}

} // namespace

void start_wave_drains(draft& d)
{
    const auto candidates = candidates_of(d);
    if (candidates.empty())
    {
        d.memory.short_of_guests.reset();
    }
    for (const auto& it : candidates)
    {
        const auto p = policy_in_force(d.in.config, d.next.pool, it.wave->policy);
        const auto need = need_of(d.next, d.in.waves, d.in.config);
        if (need.planned_absent >= policy_of(p.kind).pool_limit(p, need) || waits_for_guest(d, p))
        {
            continue;
        }
        step(d, start_drain{it.host, it.wave->id, weigh(d, it, p)});
    }
}

void keep_buffer(draft& d)
{
    const int wanted = held_wanted(d);
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
        step(d, hold_host{id, weighed});
    }
    for (; held > wanted; --held)
    {
        const std::string id = host_to_unhold(d)->id;
        step(d, unhold_host{id, weighed});
    }
}

} // namespace camphorhitch::fleet
