/// \file
/// What the list of machines tells of the lives of runners.
#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/waves.hpp"
#include "losses.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

/// Of runners that are hosts no more, too: the next lives of their machines show that theirs ended.
void settle_doubts(fleet& f,
    const machine_table& list,
    core::millis list_lag,
    core::mono_time now,
    task_events& out)
{
    sweep_doubts(f);
    for (const auto& [id, m] : list.machines)
    {
        if (const auto it = f.uncertain_losses.find(m.runner); it != f.uncertain_losses.end())
        {
            it->second.machine = id;
        }
    }
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
                                !m->runner.empty() && m->runner != id;
        if (other_life && list.read_at > it.since + list_lag)
        {
            over.push_back(id);
        }
    }
    for (const auto& id : over)
    {
        const std::string proof{core::name_of(life_proof_names, life_proof::other_life)};
        confirm_losses(f, id, proof, now, out);
    }
}

} // namespace

const ports::machine_entry* find_machine(const machine_table& list, const std::string& id)
{
    const auto it = list.machines.find(id);
    return it == list.machines.end() ? nullptr : &it->second;
}

void match_machines(fleet& f,
    const machine_table& list,
    core::millis list_lag,
    core::mono_time now,
    task_events& out)
{
    for (const auto& [id, m] : list.machines)
    {
        auto* const h = find_host(f, m.runner);
        if (h != nullptr && h->machine != id)
        {
            h->machine = id;
            h->machine_known_at = list.read_at;
        }
    }
    std::vector<std::pair<std::string, life_proof>> over;
    for (const auto& [id, h] : f.hosts)
    {
        const bool is_news = list.read_at > h.machine_known_at + list_lag;
        const auto* const m =
            h.machine.empty() || !is_news ? nullptr : find_machine(list, h.machine);
        const bool other_life = m != nullptr && !m->runner.empty() && m->runner != id;
        // A machine that moves or is maintained runs nothing; its next life has another id.
        const bool no_life = m != nullptr && (m->state == ports::machine_state::moving ||
                                                 m->state == ports::machine_state::in_maintenance);
        if (other_life || no_life)
        {
            over.emplace_back(id, no_life ? life_proof::no_life : life_proof::other_life);
        }
    }
    for (const auto& [id, proof] : over)
    {
        end_host(f, id, proof, now, out);
    }
    settle_doubts(f, list, list_lag, now, out);
}

bool awaits_list(const fleet& f)
{
    return std::any_of(f.hosts.begin(),
        f.hosts.end(),
        [](const auto& it) { return it.second.address_lost && !it.second.runs.empty(); });
}

} // namespace camphorhitch::coordinator
