#include "coordinator/rebalance.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "host_release.hpp"
#include "restarts.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0;
/// Capacity of a host in cores, used while the capacity of no host of the fleet is known.
constexpr double default_host_cores = 32.0;

/// The hosts of one pool and its need.
struct balance
{
    std::string name;
    bool standby = false;
    int have = 0; ///< hosts that are up, or moving to this pool
    int wanted = 0;
    /// Hosts that are retained after an earlier need; the others may be given away.
    int retained = 0;
    double cores = 0;                              ///< the need in cores
    need_summary need;                             ///< the need in all resources
    bool busy_expected = false;                    ///< a busy period is about to start
    bool busy = false;                             ///< the pool is in a busy period
    std::vector<const ports::machine_entry*> free; ///< up, and neither held by a wave nor moving
};

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

/// A host that is about to leave serves no pool, and refuses to move.
bool is_leaving(const fleet& f, const ports::machine_entry& m)
{
    const auto* const h = find_runner(f, m.runner);
    return h != nullptr && h->draining;
}

/// \return whether the machine has refused an order and is not chosen again yet.
bool is_busy(const rebalancer& r, const ports::machine_entry& m, core::mono_time now)
{
    const auto it = r.busy_machines.find(m.id);
    return it != r.busy_machines.end() && now < it->second.not_before;
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
            b.need = summarize_need(need->second, of_pool);
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

/// Releases the hosts that a pool has not needed for a while.
void release_retained_hosts(rebalancer& r, std::map<std::string, balance>& all, core::mono_time now)
{
    const double passed = std::chrono::duration<double>(now - r.retained_at).count();
    r.retained_at = now;
    r.pools_without_spare.clear();
    for (auto& [name, b] : all)
    {
        auto& retained = r.retained[name];
        const double released_share = b.busy || b.busy_expected ? 0 : r.settings.release_share;
        const double released = passed * (r.settings.release_rate + released_share * retained);
        retained = std::max(static_cast<double>(b.wanted), retained - released);
        retained = std::min(retained, static_cast<double>(std::max(b.have, 0)));
        b.retained = static_cast<int>(std::ceil(retained));
        if (!b.standby && b.have <= b.retained)
        {
            r.pools_without_spare.insert(name);
        }
    }
}

void record_needs(rebalancer& r, const std::map<std::string, balance>& all)
{
    r.needs.clear();
    for (const auto& [name, b] : all)
    {
        if (!b.standby)
        {
            r.needs[name] = b.need;
        }
    }
}

/// Logs the need and the hosts of each pool that have changed, once per interval.
void log_needs(
    rebalancer& r, const std::map<std::string, balance>& all, core::mono_time now, task_events& out)
{
    if (now - r.needs_logged_at < r.settings.need_log_interval)
    {
        return;
    }
    r.needs_logged_at = now;
    for (const auto& [name, b] : all)
    {
        auto& logged = r.logged_needs[name];
        const std::pair present{b.wanted, b.have};
        if (!b.standby && logged != present)
        {
            logged = present;
            out.push_back({"pool_need",
                name,
                0,
                "",
                "wanted=" + std::to_string(b.wanted) + " have=" + std::to_string(b.have) +
                    " retained=" + std::to_string(b.retained) +
                    " cores=" + std::to_string(static_cast<int>(b.cores)) +
                    " memory_mb=" + std::to_string(b.need.total.memory_mb) +
                    " gpus=" + std::to_string(b.need.total.gpus) +
                    " bound_by=" + std::string{name_of(resource_kind_names, b.need.bound_by)} +
                    (b.busy_expected ? " expected=1" : "")});
        }
    }
}

/// \return the cost of taking this host from its pool; lower is better.
std::tuple<bool, int, std::int64_t> cost_of(fleet& f, const ports::machine_entry& m)
{
    const auto* const h = find_runner(f, m.runner);
    if (h == nullptr)
    {
        return {false, 0, 0};
    }
    return {h->inherited || h->orphaned_runs > 0, long_running_tasks(f, *h), h->used.cpu};
}

/// Chooses the host with the lowest cost of a pool for a move, and closes it.
/// \param is_wanted the other pool lacks hosts: its callers wait for the host
void choose_host_to_move(fleet& f,
    rebalancer& r,
    balance& from,
    const std::string& to,
    bool is_wanted,
    core::mono_time now,
    task_events& out)
{
    const auto best = std::min_element(from.free.begin(),
        from.free.end(),
        [&](const auto* a, const auto* b) { return cost_of(f, *a) < cost_of(f, *b); });
    const auto& m = **best;
    auto* const h = find_runner(f, m.runner);
    r.moves[m.id] = {to, h == nullptr ? m.runner : h->ref.id, false, now, is_wanted};
    out.push_back({"move_chosen",
        "",
        0,
        m.runner,
        "machine=" + m.id + " from=" + from.name + " have=" + std::to_string(from.have) +
            " wanted=" + std::to_string(from.wanted) + " to=" + to});
    if (h != nullptr)
    {
        h->availability = host_availability::closed_for_move;
        h->closed_at = now;
        if (is_wanted && r.settings.task_stop_threshold.count() > 0)
        {
            stop_resumable_tasks(f, *h, r.settings.task_stop_threshold, now, out);
        }
    }
    --from.have;
    from.free.erase(best);
}

/// \return whether a host can be taken without evacuating a long-running task.
bool has_cheap_host(fleet& f, const balance& b)
{
    return std::any_of(b.free.begin(),
        b.free.end(),
        [&](const auto* m) { return cost_of(f, *m) < std::tuple(false, 1, std::int64_t{0}); });
}

/// \return the pool from which a host is taken, or nullptr.
balance* find_donor(
    fleet& f, const rebalancer& r, std::map<std::string, balance>& all, const balance& to)
{
    // A pool with an urgent shortage can't wait until the need of another pool has been low for a
    // while.
    const bool urgent = to.wanted - to.have >= r.settings.urgent_shortage;
    balance* best = nullptr;
    for (auto& [name, b] : all)
    {
        const int least = urgent ? b.wanted : b.retained;
        if (name == to.name || b.have <= least || b.free.empty() || !has_cheap_host(f, b))
        {
            continue;
        }
        const auto surplus = [](const balance& it)
        {
            return it.have - it.retained;
        };
        const bool better = best == nullptr || (b.standby && !best->standby) ||
                            (b.standby == best->standby && surplus(b) > surplus(*best));
        best = better ? &b : best;
    }
    return best;
}

void fill_short_pools(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    for (auto& [name, b] : all)
    {
        while (!b.standby && b.have < b.wanted)
        {
            auto* const donor = find_donor(f, r, all, b);
            if (donor == nullptr)
            {
                return;
            }
            choose_host_to_move(f, r, *donor, name, true, now, out);
            ++b.have;
        }
    }
}

void move_surplus_to_standby(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    const auto standby =
        std::find_if(all.begin(), all.end(), [](const auto& it) { return it.second.standby; });
    if (standby == all.end())
    {
        return;
    }
    for (auto& [name, b] : all)
    {
        if (b.standby || b.have <= b.retained)
        {
            r.surplus_since.erase(name);
            continue;
        }
        const auto since = r.surplus_since.try_emplace(name, now).first->second;
        while (
            now - since >= r.settings.standby_delay && b.have > b.retained && has_cheap_host(f, b))
        {
            choose_host_to_move(f, r, b, standby->first, false, now, out);
        }
    }
}

/// \return whether nothing is known of the demand yet, so that the pools keep their hosts.
bool is_settling(rebalancer& r, const demand& d, core::mono_time now)
{
    const auto since = r.first_planned_at ? *r.first_planned_at : now;
    r.first_planned_at = since;
    return d.history.empty() && now - since < r.settings.settling_time;
}

/// A move that was decided before its runner was listed, or was ordered without an answer, may find
/// another runner on the machine that has tasks by now.
/// \return whether the machine may still be moved.
bool may_still_move(
    fleet& f, const machine_table& list, const std::string& machine, const pending_move& move)
{
    const auto m = list.machines.find(machine);
    if (m == list.machines.end() || m->second.pool == move.to_pool)
    {
        return true; // the machine has left, or has moved: its runner belongs to the new pool
    }
    const auto* const h = find_runner(f, m->second.runner);
    return h == nullptr ||
           (h->ref.id == move.runner && h->availability == host_availability::closed_for_move);
}

/// Abandons moves of machines that leave, and those whose machine has a runner that was not closed
/// for the move; such a machine may be chosen again.
void abandon_futile_moves(fleet& f, rebalancer& r, const machine_table& list, task_events& out)
{
    std::erase_if(r.moves,
        [&](const auto& it)
        {
            const auto& [machine, move] = it;
            const auto m = list.machines.find(machine);
            const bool leaves = m != list.machines.end() && is_leaving(f, m->second);
            if (move.ordered || (!leaves && may_still_move(f, list, machine, move)))
            {
                return false;
            }
            if (auto* const h = leaves ? find_host(f, move.runner) : nullptr)
            {
                h->availability = host_availability::open;
            }
            out.push_back({"move_given_up",
                "",
                0,
                list.machines.at(machine).runner,
                "machine=" + machine + " to=" + move.to_pool + " chosen=" + move.runner});
            return true;
        });
}

/// Selects the moves to order now: those of empty hosts, the ones that callers wait for first.
std::vector<move_action> order_moves(const fleet& f, rebalancer& r, core::mono_time now)
{
    std::vector<move_action> ready;
    if (now < r.orders_not_before)
    {
        return ready;
    }
    for (const bool wanted : {true, false})
    {
        for (auto& [machine, move] : r.moves)
        {
            const auto h = f.hosts.find(move.runner);
            const bool empty = h == f.hosts.end() || is_empty(h->second);
            if (move.is_wanted == wanted && !move.ordered && empty &&
                static_cast<int>(ready.size()) < r.settings.max_moves_per_plan)
            {
                move.ordered = true;
                move.ordered_at = now;
                ready.push_back({machine, move.to_pool});
            }
        }
    }
    return ready;
}

/// \return \p first, doubled for each refusal after the first one, up to \p most.
core::millis backoff(core::millis first, core::millis most, int refusals)
{
    auto out = first;
    for (int i = 1; i < refusals && out < most; ++i)
    {
        out *= 2;
    }
    return std::min(out, most);
}

/// The machine keeps its move: the service had no capacity for the order, and the next ones would
/// be refused too.
void delay_orders(rebalancer& r, pending_move& move, core::mono_time now)
{
    move.ordered = false;
    const auto& s = r.settings;
    r.orders_not_before =
        now + backoff(s.refused_order_pause, s.max_refused_order_pause, ++r.refusals_in_row);
}

/// Records that the machine refused an order. Until it may have changed it is not chosen, not
/// counted as a host of its pool, and gets no tasks.
void record_busy_machine(fleet& f,
    rebalancer& r,
    const machine_table& list,
    const std::string& machine,
    core::mono_time now,
    task_events& out)
{
    const auto m = list.machines.find(machine);
    auto& busy = r.busy_machines[machine];
    busy.runner = m == list.machines.end() ? std::string{} : m->second.runner;
    const auto delay =
        backoff(r.settings.busy_machine_delay, r.settings.max_busy_machine_delay, ++busy.refusals);
    busy.not_before = now + delay;
    if (auto* const h = find_runner(f, busy.runner))
    {
        h->availability = host_availability::closed_as_busy;
        h->closed_at = now;
    }
    out.push_back({"machine_busy",
        "",
        0,
        busy.runner,
        "machine=" + machine + " refusals=" + std::to_string(busy.refusals) +
            " delay_ms=" + std::to_string(delay.count())});
}

/// Opens the hosts of machines that may be chosen again after a refusal.
void reopen_busy_hosts(fleet& f, const rebalancer& r, core::mono_time now)
{
    for (const auto& [machine, it] : r.busy_machines)
    {
        auto* const h = now < it.not_before ? nullptr : find_runner(f, it.runner);
        if (h != nullptr && h->availability == host_availability::closed_as_busy)
        {
            h->availability = host_availability::open;
        }
    }
}

} // namespace

std::vector<move_action> plan_moves(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now,
    task_events& out)
{
    if (!list.known)
    {
        return {};
    }
    reopen_busy_hosts(f, r, now);
    auto all = compute_balances(f, r, d, list, pools, held, now);
    record_needs(r, all);
    release_retained_hosts(r, all, now);
    log_needs(r, all, now, out);
    fill_short_pools(f, r, all, now, out);
    if (!is_settling(r, d, now))
    {
        move_surplus_to_standby(f, r, all, now, out);
    }
    abandon_futile_moves(f, r, list, out);
    return order_moves(f, r, now);
}

void reset_surplus_timers(rebalancer& r, core::mono_time now)
{
    r.surplus_since.clear();
    r.retained_at = now;
}

std::set<std::string> pools_without_spare(const rebalancer& r)
{
    return r.pools_without_spare;
}

void handle_move_answer(fleet& f,
    rebalancer& r,
    const machine_table& list,
    const std::string& machine,
    ports::machine_verdict verdict,
    core::mono_time now,
    task_events& out)
{
    const auto it = r.moves.find(machine);
    if (it == r.moves.end())
    {
        return;
    }
    if (verdict == ports::machine_verdict::done)
    {
        r.refusals_in_row = 0;
        r.busy_machines.erase(machine);
        // The answer is the same when the move was done earlier. A runner that has tasks was
        // started after that move.
        const auto* const h = find_host(f, it->second.runner);
        if (h == nullptr || is_empty(*h))
        {
            end_host(f, it->second.runner, termination_evidence::moved, now, out);
        }
        return;
    }
    if (verdict == ports::machine_verdict::unknown)
    {
        it->second.ordered = false; // the move is ordered again once the machine runs no tasks
        return;
    }
    if (verdict == ports::machine_verdict::refused)
    {
        delay_orders(r, it->second, now);
        return;
    }
    if (auto* const h = find_host(f, it->second.runner))
    {
        h->availability = host_availability::open;
    }
    r.moves.erase(it);
    if (verdict == ports::machine_verdict::busy)
    {
        record_busy_machine(f, r, list, machine, now, out);
    }
}

void forget_busy_machines(rebalancer& r, const machine_table& list)
{
    std::erase_if(r.busy_machines,
        [&](const auto& it)
        {
            const auto m = list.machines.find(it.first);
            return m == list.machines.end() || m->second.runner != it.second.runner;
        });
}

void remove_completed_moves(rebalancer& r, const machine_table& list, core::millis list_lag)
{
    std::erase_if(r.moves,
        [&](const auto& it)
        {
            const auto& move = it.second;
            const auto m = list.machines.find(it.first);
            if (m == list.machines.end())
            {
                return true; // the machine has left
            }
            const bool there =
                m->second.state == ports::machine_state::up && m->second.pool == move.to_pool;
            return there && move.ordered && list.requested_at > move.ordered_at + list_lag;
        });
}

} // namespace camphorhitch::coordinator
