#include "balances.hpp"

#include "bookkeeping.hpp"
#include "restarts.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0;
/// Capacity of a host in cores, used while the capacity of no host of the fleet is known.
constexpr double default_host_cores = 32.0;

/// \return the capacity of a host of the pool in cores. Hosts have the same capacity on most
/// platforms: when no host of the pool is known, a host of another pool is used.
double host_cores(const fleet& f, const std::string& pool)
{
    std::int64_t other = 0;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.pool == pool && h.capacity.cpu > 0)
        {
            return static_cast<double>(h.capacity.cpu) / milli;
        }
        other = std::max(other, h.capacity.cpu);
    }
    return other > 0 ? static_cast<double>(other) / milli : default_host_cores;
}

/// \return whether the machine has refused an order and is not chosen again yet.
bool is_busy(const rebalancer& r, const ports::machine_entry& m, core::mono_time now)
{
    const auto it = r.busy_machines.find(m.id);
    return it != r.busy_machines.end() && now < it->second.not_before;
}

} // namespace

bool is_leaving(const fleet& f, const ports::machine_entry& m)
{
    const auto* const h = find_runner(f, m.runner);
    return h != nullptr && h->draining;
}

std::map<std::string, balance> compute_balances(const fleet& f,
    const rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now)
{
    std::map<std::string, balance> out;
    const auto needs = pool_needs(f, d, now);
    for (const auto& it : pools)
    {
        auto& b = out[it.name];
        b.name = it.name;
        b.standby = it.standby;
        const auto need = needs.find(it.name);
        if (need != needs.end() && !it.standby)
        {
            const auto hosts =
                static_cast<int>(std::ceil(need->second.cores / host_cores(f, it.name)));
            b.wanted = std::max(hosts, need->second.min_hosts);
            b.cores = need->second.cores;
            b.busy_expected = need->second.busy_expected;
        }
        b.wanted += it.standby ? 0 : r.settings.spare_hosts;
        const auto arrivals = d.pools.find(it.name);
        b.busy = arrivals != d.pools.end() && arrivals->second.busy;
    }
    for (const auto& [id, m] : list.machines)
    {
        const auto move = r.moves.find(id);
        const auto& pool = move == r.moves.end() ? m.pool : move->second.to_pool;
        const auto b = out.find(pool);
        if (b == out.end())
        {
            continue;
        }
        // A host that a wave has closed accepts no tasks, so the pool needs another host in its
        // place.
        const bool up = m.state == ports::machine_state::up && !held.contains(id) &&
                        !is_leaving(f, m) && !is_busy(r, m, now);
        b->second.have += up || move != r.moves.end() ? 1 : 0;
        if (up && move == r.moves.end())
        {
            b->second.free.push_back(&m);
        }
    }
    return out;
}

} // namespace camphorhitch::coordinator
