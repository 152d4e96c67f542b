#include "move_orders.hpp"

#include "balances.hpp"
#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "restarts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

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

bool has_empty_host(const fleet& f, const pending_move& move)
{
    const auto h = f.hosts.find(move.runner);
    return h == f.hosts.end() || is_empty(h->second);
}

} // namespace

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

void update_move_bounds(const fleet& f, rebalancer& r, core::mono_time now)
{
    constexpr core::millis max_gap{1000}; // the platform counts its calls per second
    const auto passed = std::min<core::micros>(now - r.orders_planned_at, max_gap);
    const auto by_rate =
        r.settings.orders_per_second * std::chrono::duration<double>(passed).count();
    r.orders_planned_at = now;
    r.allowed_orders = std::max(r.settings.max_moves_per_plan, static_cast<int>(by_rate));
    r.moves_to_choose = r.allowed_orders;
    r.other_moves_waiting = 0;
    for (const auto& [machine, move] : r.moves)
    {
        if (!move.ordered && has_empty_host(f, move))
        {
            r.moves_to_choose -= move.is_wanted ? 1 : 0;
            r.other_moves_waiting += move.is_wanted ? 0 : 1;
        }
    }
}

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
            if (static_cast<int>(ready.size()) >= r.allowed_orders)
            {
                return ready;
            }
            if (move.is_wanted == wanted && !move.ordered && has_empty_host(f, move))
            {
                move.ordered = true;
                move.ordered_at = now;
                ready.push_back({machine, move.to_pool});
            }
        }
    }
    return ready;
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
            const bool completed =
                there && move.ordered && list.requested_at > move.ordered_at + list_lag;
            if (completed && move.in_scarcity)
            {
                r.scarce_arrivals[it.first] = list.requested_at;
            }
            return completed;
        });
}

} // namespace camphorhitch::coordinator
