/// \file
/// Derives from the machine list which runners have ended.
#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/waves.hpp"
#include "lost_runs.hpp"
#include "restarts.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

/// Records the machines that the list names for the runners of uncertain losses.
void identify_lost_machines(fleet& f, const machine_table& list)
{
    if (f.uncertain_losses.empty())
    {
        return;
    }
    std::map<std::string_view, const std::string*> machines; // by runner
    for (const auto& [id, m] : list.machines)
    {
        machines.emplace(m.runner, &id);
    }
    for (auto& [host, it] : f.uncertain_losses)
    {
        const auto found = machines.find(ports::runner_of(host));
        it.machine = found == machines.end() ? it.machine : *found->second;
    }
}

/// Confirms uncertain losses of runners whose machine has another runner now, including runners
/// that are no longer among the hosts.
void confirm_listed_losses(
    fleet& f, const machine_table& list, core::millis list_lag, task_events& out)
{
    remove_irrelevant_losses(f);
    identify_lost_machines(f, list);
    std::vector<std::string> over;
    for (auto& [id, it] : f.uncertain_losses)
    {
        const auto* const h = find_host(f, id);
        if (it.machine.empty() && h != nullptr)
        {
            it.machine = h->machine;
        }
        const auto* const m = it.machine.empty() ? nullptr : find_machine(list, it.machine);
        const bool other_life = m != nullptr && m->state == ports::machine_state::up &&
                                !m->runner.empty() && !ports::is_same_runner(m->runner, id);
        if (other_life && list.requested_at > it.since + list_lag)
        {
            over.push_back(id);
        }
    }
    for (const auto& id : over)
    {
        const std::string proof{
            core::name_of(termination_evidence_names, termination_evidence::other_life)};
        confirm_losses(f, id, proof, out);
    }
}

/// A machine that moves or is in maintenance runs nothing, and its next runner is another
/// incarnation. The same holds for one that has moved, which has no runner if its pool is off.
bool has_no_life(const ports::machine_entry& m, const host_entry& h)
{
    const bool has_moved = !h.pool.empty() && !m.pool.empty() && m.pool != h.pool;
    return has_moved || m.state == ports::machine_state::moving ||
           m.state == ports::machine_state::in_maintenance;
}

} // namespace

const ports::machine_entry* find_machine(const machine_table& list, const std::string& id)
{
    const auto it = list.machines.find(id);
    return it == list.machines.end() ? nullptr : &it->second;
}

void apply_machine_list(fleet& f,
    const machine_table& list,
    core::millis list_lag,
    core::mono_time now,
    task_events& out)
{
    for (const auto& [id, m] : list.machines)
    {
        auto* const h = find_runner(f, m.runner);
        if (h != nullptr && h->machine != id)
        {
            h->machine = id;
            h->machine_known_at = list.requested_at;
        }
    }
    std::vector<std::pair<std::string, termination_evidence>> over;
    for (const auto& [id, h] : f.hosts)
    {
        const bool is_newer = list.requested_at > h.machine_known_at + list_lag;
        const auto* const m =
            h.machine.empty() || !is_newer ? nullptr : find_machine(list, h.machine);
        const bool other_life =
            m != nullptr && !m->runner.empty() && !ports::is_same_runner(m->runner, id);
        const bool no_life = m != nullptr && has_no_life(*m, h);
        if (other_life || no_life)
        {
            over.emplace_back(
                id, no_life ? termination_evidence::no_life : termination_evidence::other_life);
        }
    }
    for (const auto& [id, proof] : over)
    {
        end_host(f, id, proof, now, out);
    }
    confirm_listed_losses(f, list, list_lag, out);
}

bool needs_machine_list(const fleet& f)
{
    return std::any_of(f.hosts.begin(),
        f.hosts.end(),
        [](const auto& it) { return it.second.address_lost && !it.second.runs.empty(); });
}

} // namespace camphorhitch::coordinator
