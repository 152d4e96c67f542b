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

int hosts_by_cores(const fleet& f, const std::string& pool, const pool_need& need)
{
    const auto hosts = static_cast<int>(std::ceil(need.cores / host_cores(f, pool)));
    return std::max(hosts, need.min_hosts);
}

/// \return hosts for the long-running tasks of the pool and their spread.
int long_running_hosts(const fleet& f, const std::string& pool, const pool_need& need)
{
    const auto hosts = std::ceil(need.long_running_cores / host_cores(f, pool));
    return std::max(static_cast<int>(hosts), need.min_hosts);
}

pool_need long_running_part(const pool_need& need)
{
    pool_need out;
    out.long_running = need.long_running;
    out.long_running_tasks = need.long_running_tasks;
    return out;
}

/// \return whether the machine has refused an order and is not chosen again yet.
bool is_busy(const rebalancer& r, const ports::machine_entry& m, core::mono_time now)
{
    const auto it = r.busy_machines.find(m.id);
    return it != r.busy_machines.end() && now < it->second.not_before;
}

/// \param pending the move of the machine that this coordinator has decided, or nullptr
/// \return whether the machine will be a host of the pool that is its destination.
bool is_on_its_way(const rebalance_settings& s,
    const machine_table& list,
    const ports::machine_entry& m,
    const pending_move* pending)
{
    if (s.allocation == allocation_rule::in_order)
    {
        return pending != nullptr;
    }
    if (pending == nullptr)
    {
        return m.state == ports::machine_state::moving; // a previous coordinator ordered the move
    }
    // A list that was requested before the order does not show whether the machine was lost since.
    const bool is_stale = pending->ordered && list.requested_at <= pending->ordered_at;
    return is_stale || m.state == ports::machine_state::up ||
           m.state == ports::machine_state::moving;
}

move_cost cost_of(const fleet& f, const host_entry* h)
{
    if (h == nullptr)
    {
        return {false, 0, 0};
    }
    return {h->inherited || h->orphaned_runs > 0, long_running_tasks(f, *h), h->used.cpu};
}

/// Puts the hosts with the lowest cost last. Of hosts with equal costs, the one with the lowest
/// machine id is last.
void sort_free_hosts(std::vector<free_host>& hosts)
{
    std::reverse(hosts.begin(), hosts.end());
    std::stable_sort(hosts.begin(),
        hosts.end(),
        [](const free_host& a, const free_host& b) { return b.cost < a.cost; });
}

} // namespace

bool is_cheap(const move_cost& cost)
{
    return cost < move_cost{false, 1, 0};
}

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
    const bool counts_all = d.settings.needs == need_rule::vector;
    const auto shapes = counts_all ? collect_shapes(f) : fleet_shapes{};
    for (const auto& it : pools)
    {
        auto& b = out[it.name];
        b.name = it.name;
        b.standby = it.standby;
        const auto need = needs.find(it.name);
        if (need != needs.end() && !it.standby)
        {
            const auto of_pool = counts_all ? shapes_of_pool(shapes, it.name) : host_shapes{};
            b.wanted = counts_all ? hosts_needed(need->second, of_pool)
                                  : hosts_by_cores(f, it.name, need->second);
            b.floor = counts_all ? hosts_needed(long_running_part(need->second), of_pool)
                                 : long_running_hosts(f, it.name, need->second);
            b.need = summarize_need(need->second, of_pool);
            b.cores = need->second.cores;
            b.batch_cores = need->second.cores - need->second.long_running_cores;
            b.busy_expected = need->second.busy_expected;
        }
        b.wanted += it.standby ? 0 : r.settings.spare_hosts;
        b.floor += it.standby ? 0 : r.settings.spare_hosts;
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
        const auto* const h = find_runner(f, m.runner);
        const bool leaves = h != nullptr && h->draining;
        const bool up = m.state == ports::machine_state::up && !held.contains(id) && !leaves &&
                        !is_busy(r, m, now);
        const auto* const pending = move == r.moves.end() ? nullptr : &move->second;
        b->second.have += up || is_on_its_way(r.settings, list, m, pending) ? 1 : 0;
        if (up && pending == nullptr)
        {
            b->second.free.push_back({&m, cost_of(f, h)});
        }
    }
    for (auto& [name, b] : out)
    {
        sort_free_hosts(b.free);
    }
    return out;
}

} // namespace camphorhitch::coordinator
