// Checks of the promises from the store's and the platform's own records, in code of their own.
#include "core/invariant.hpp"
#include "fleet_sim/world.hpp"

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

void check(world& w, bool holds, const std::string& text)
{
    if (!holds)
    {
        w.violations.push_back("at " + std::to_string(w.platform.now_ms) + " ms: " + text);
    }
}

bool is_out(const host_record& h)
{
    return h.state == host_state::draining || h.state == host_state::drained ||
           h.state == host_state::rebooting || h.state == host_state::failed;
}

/// Hosts missing in a zone, or in the whole pool when \p zone is empty.
int missing(const pool_document& d, const std::string& zone)
{
    int n = 0;
    for (const auto& it : d.hosts)
    {
        if (it.ownership == 0 || (!zone.empty() && it.zone != zone))
        {
            continue;
        }
        const bool guest = !it.lent_by.empty();
        n += !guest && is_out(it) ? 1 : 0;
        n -= guest && it.state == host_state::serving ? 1 : 0;
    }
    return n;
}

/// Whether \p h began, between the two documents, to be absent by plan.
bool began_plan(const pool_document& before, const host_record& h)
{
    const auto* old = model::find_host(before, h.id);
    const bool was_in = old != nullptr && !is_out(*old);
    return was_in && is_out(h) && h.state != host_state::failed &&
           h.purpose != model::drain_purpose::leaving;
}

void check_budget(world& w, const pool_document& before, const pool_document& after)
{
    const auto* config = model::find_pool(*w.writer_config, after.pool);
    for (const auto& it : after.hosts)
    {
        if (config == nullptr || !began_plan(before, it))
        {
            continue;
        }
        check(w,
            missing(after, "") <= config->budget.absent,
            "budget of pool " + after.pool + " exceeded by the drain of " + it.id);
        for (const auto& other : after.hosts)
        {
            check(w,
                missing(after, other.zone) <= config->budget.absent_per_zone,
                "budget of pool " + after.pool + " in zone " + other.zone + " exceeded by " +
                    it.id);
        }
    }
}

/// Every host that was confirmed once has one owner for ever after, or was forgotten by an
/// operator.
void check_owners(world& w, const pool_document& after)
{
    std::map<std::string, std::string> owners;
    for (const auto& view : w.kv.pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.ownership > 0)
            {
                const bool first = owners.emplace(it.id, view.document.pool).second;
                check(w, first, "host " + it.id + " is in two pools");
            }
        }
    }
    for (const auto& view : w.kv.pools)
    {
        for (const auto& it : view.document.released)
        {
            const auto* kept = find_host(w.kv, it.host.id);
            const bool adopted = kept != nullptr && kept->ownership >= it.host.ownership;
            check(w,
                kept == nullptr || adopted,
                "host " + it.host.id + " was released and is still in pool " + after.pool);
        }
    }
}

/// A host that was handed over serves again only after the platform did the reboot.
void check_returns(world& w, const pool_document& before, const pool_document& after)
{
    for (const auto& it : before.hosts)
    {
        const auto* now = model::find_host(after, it.id);
        const bool returned = it.state == host_state::rebooting && now != nullptr &&
                              now->state != host_state::rebooting &&
                              now->state != host_state::failed;
        if (returned)
        {
            const auto& host = w.platform.hosts.at(it.id);
            check(w,
                host.reboots.count(it.command) > 0,
                "host " + it.id + " returned before its reboot");
        }
    }
}

} // namespace

void watch_promises(world& w)
{
    w.kv.on_pool_write = [&w](const pool_document& before, const pool_document& after)
    {
        check_budget(w, before, after);
        check_owners(w, after);
        check_returns(w, before, after);
    };
    w.platform.on_reboot = [&w](const sim_host& h, const std::string& command)
    {
        check(w, h.requests.empty() && h.jobs.empty(), "reboot of " + h.id + " cuts off work");
        const auto* known = find_host(w.kv, h.id);
        const bool handed_over = known != nullptr && known->command == command;
        check(
            w, known == nullptr || handed_over, "reboot of " + h.id + " that no document asks for");
    };
}

} // namespace camphorhitch::fleet_sim
