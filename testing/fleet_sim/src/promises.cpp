// Checks of the promises against the records of the store and the platform. The checks are
// independent of the code under test.
#include "core/invariant.hpp"
#include "fleet_sim/simulation.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace camphorhitch::fleet_sim
{

using model::host_record;
using model::host_state;
using model::pool_document;

namespace
{

void check(simulation& sim, bool holds, const std::string& text)
{
    if (!holds)
    {
        sim.violations.push_back("at " + std::to_string(sim.platform.now_ms) + " ms: " + text);
    }
}

bool is_absent(const host_record& h)
{
    return h.state == host_state::draining || h.state == host_state::drained ||
           h.state == host_state::rebooting || h.state == host_state::failed;
}

/// \return the number of hosts missing in a zone, or in the whole pool when \p zone is empty. Each
/// borrowed host that serves compensates for one missing host.
int count_missing(const pool_document& d, const std::string& zone)
{
    int n = 0;
    for (const auto& it : d.hosts)
    {
        if (it.ownership == 0 || (!zone.empty() && it.zone != zone))
        {
            continue;
        }
        const bool borrowed = !it.lent_by.empty();
        n += !borrowed && is_absent(it) ? 1 : 0;
        n -= borrowed && it.state == host_state::serving ? 1 : 0;
    }
    return n;
}

/// \return whether a planned absence of \p h began between the two documents.
bool is_new_planned_absence(const pool_document& before, const host_record& h)
{
    const auto* old = model::find_host(before, h.id);
    const bool was_present = old != nullptr && !is_absent(*old);
    return was_present && is_absent(h) && h.state != host_state::failed &&
           h.purpose != model::drain_purpose::leaving;
}

void check_budget(simulation& sim, const pool_document& before, const pool_document& after)
{
    const auto* config = model::find_pool(*sim.writer_config, after.pool);
    for (const auto& it : after.hosts)
    {
        if (config == nullptr || !is_new_planned_absence(before, it))
        {
            continue;
        }
        check(sim,
            count_missing(after, "") <= config->budget.absent,
            "budget of pool " + after.pool + " exceeded by the drain of " + it.id);
        for (const auto& other : after.hosts)
        {
            check(sim,
                count_missing(after, other.zone) <= config->budget.absent_per_zone,
                "budget of pool " + after.pool + " in zone " + other.zone + " exceeded by " +
                    it.id);
        }
    }
}

/// Checks that no host is in two pools, and that a host that a pool has released is in another
/// pool's hosts only under the same or a newer ownership number. A released host that is in no
/// pool's hosts is accepted, because it is on its way or an operator has removed it.
void check_owners(simulation& sim, const pool_document& after)
{
    std::map<std::string, std::string> owners;
    for (const auto& view : sim.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.ownership > 0)
            {
                const bool first = owners.emplace(it.id, view.document.pool).second;
                check(sim, first, "host " + it.id + " is in two pools");
            }
        }
    }
    for (const auto& view : sim.kv.pools)
    {
        for (const auto& it : view.document.released)
        {
            const auto* owned = find_host(sim.kv, it.host.id);
            const bool adopted = owned != nullptr && owned->ownership >= it.host.ownership;
            check(sim,
                owned == nullptr || adopted,
                "host " + it.host.id + " was released and is still in pool " + after.pool);
        }
    }
}

/// Checks that a host that was handed over serves again only after the platform has rebooted it.
void check_returns(simulation& sim, const pool_document& before, const pool_document& after)
{
    for (const auto& it : before.hosts)
    {
        const auto* now = model::find_host(after, it.id);
        const bool returned = it.state == host_state::rebooting && now != nullptr &&
                              now->state != host_state::rebooting &&
                              now->state != host_state::failed;
        if (returned)
        {
            const auto& host = sim.platform.hosts.at(it.id);
            check(sim,
                host.reboots.count(it.command) > 0,
                "host " + it.id + " returned before its reboot");
        }
    }
}

} // namespace

void install_promise_checks(simulation& sim)
{
    sim.kv.on_pool_write = [&sim](const pool_document& before, const pool_document& after)
    {
        check_budget(sim, before, after);
        check_owners(sim, after);
        check_returns(sim, before, after);
    };
    sim.platform.on_reboot = [&sim](const sim_host& h, const std::string& command)
    {
        check(sim, h.requests.empty() && h.jobs.empty(), "reboot of " + h.id + " cuts off work");
        const auto* known = find_host(sim.kv, h.id);
        const bool handed_over = known != nullptr && known->command == command;
        check(sim,
            known == nullptr || handed_over,
            "reboot of " + h.id + " that no document asks for");
    };
}

} // namespace camphorhitch::fleet_sim
