// Exchange of hosts with other pools.
#include "fleet/budget.hpp"
#include "pool_steps.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::host_record;
using model::host_state;
using model::pool_document;

namespace
{

void adopt_hosts_from(pool_update& d, const pool_document& other)
{
    for (const auto& it : other.released)
    {
        if (it.to == d.next.pool)
        {
            const bool current = is_current(d.in.others, d.in.own.revision);
            const bool hold = is_spare_pool(d.in.config, d.next.pool);
            apply_step(d, adopt_host{it, other.pool, hold, current});
        }
    }
}

/// Removes a released entry once another document has the host with the same or a higher ownership
/// number. The host was adopted then, and a later state can't make that untrue.
void remove_adopted_entries(pool_update& d)
{
    const auto entries = d.next.released;
    for (const auto& entry : entries)
    {
        for (const auto& view : d.in.others.documents)
        {
            const auto* h = model::find_host(view.document, entry.host.id);
            const bool other = view.document.pool != d.next.pool;
            if (other && h != nullptr && h->ownership >= entry.host.ownership)
            {
                apply_step(d, remove_released_entry{entry.host.id, entry.host.ownership});
            }
        }
    }
}

/// \return whether another pool added the same host too and comes first by name. Exactly one of the
/// two pools must withdraw the host.
bool yields_to_other_pool(const pool_update& d, const std::string& host)
{
    for (const auto& view : d.in.others.documents)
    {
        const auto* h = model::find_host(view.document, host);
        const bool other = view.document.pool != d.next.pool;
        if (other && h != nullptr && !is_member(*h) && view.document.pool < d.next.pool)
        {
            return true;
        }
    }
    return false;
}

void resolve_added_hosts(pool_update& d)
{
    for (const auto& id : host_ids(d))
    {
        const auto* written = model::find_host(d.in.own.document, id);
        const auto* h = model::find_host(d.next, id);
        if (written == nullptr || is_member(*written) || h == nullptr || is_member(*h))
        {
            continue;
        }
        const auto owner = owner_of(id, d.in.others.documents);
        if (owner.ownership > 0 || yields_to_other_pool(d, id))
        {
            apply_step(
                d, withdraw_added{id, owner.ownership > 0 ? owner.pool : "of another add request"});
        }
        else if (is_confirmed_exclusive(d, id))
        {
            // Each move takes at least one write, so no earlier ownership number exceeds the
            // revision of the store.
            apply_step(d, confirm_added{id, std::max<std::int64_t>(1, d.in.others.as_of)});
        }
    }
}

/// \return the pool that a surplus borrowed host goes to: a pool that needs one, else the pool that
/// lent the host.
std::string next_pool_for(const pool_update& d, const host_record& borrowed)
{
    const auto short_pools =
        pools_short_of_borrowed_hosts(d.in.others.documents, d.in.waves, d.in.config);
    const auto it = std::find_if(short_pools.begin(),
        short_pools.end(),
        [&](const std::string& pool) { return pool != d.next.pool; });
    return it == short_pools.end() ? borrowed.lent_by : *it;
}

/// \return whether a spare pool that comes before this one by name has a host to lend. That pool
/// lends first, so that two pools don't lend for the same need.
bool other_pool_lends_first(const pool_update& d)
{
    const auto lends = [&](const host_record& h)
    {
        return is_lendable(h, d.in.waves);
    };
    return std::any_of(d.in.others.documents.begin(),
        d.in.others.documents.end(),
        [&](const pool_view& it)
        {
            const auto& doc = it.document;
            return doc.pool < d.next.pool && is_spare_pool(d.in.config, doc.pool) &&
                   std::any_of(doc.hosts.begin(), doc.hosts.end(), lends);
        });
}

/// \return the zone of the host in \p pool whose drain waits for a borrowed host. A borrowed host
/// of the same zone counts for the budget of that zone too.
std::string zone_waiting_for_host(const pool_update& d, const std::string& pool)
{
    for (const auto& view : d.in.others.documents)
    {
        if (view.document.pool != pool)
        {
            continue;
        }
        for (const auto& it : view.document.hosts)
        {
            const auto* wave = active_wave_for(it, d.in.waves);
            if (wave != nullptr && !is_absent(it) && admits(*wave, it.id))
            {
                return it.zone;
            }
        }
    }
    return "";
}

const host_record* pick_spare(const pool_update& d, const std::string& zone)
{
    const host_record* best = nullptr;
    for (const auto& it : d.next.hosts)
    {
        const auto* written = model::find_host(d.in.own.document, it.id);
        const bool was_held = written != nullptr && written->state == host_state::held;
        const bool ready = was_held && is_lendable(it, d.in.waves) &&
                           is_confirmed_exclusive(d, it.id) &&
                           is_certainly_idle(activity_of(d.in, it.id));
        if (ready && (best == nullptr || (it.zone == zone && best->zone != zone)))
        {
            best = &it;
        }
    }
    return best;
}

} // namespace

void exchange_hosts(pool_update& d)
{
    for (const auto& view : d.in.others.documents)
    {
        if (!view.document.released.empty() && view.document.pool != d.next.pool)
        {
            adopt_hosts_from(d, view.document);
        }
    }
    remove_adopted_entries(d);
    resolve_added_hosts(d);
}

void reassign_surplus_hosts(pool_update& d)
{
    int surplus =
        count_serving_borrowed(d.next) - borrowed_hosts_wanted(d.next, d.in.waves, d.in.config);
    if (surplus <= 0)
    {
        d.timers.surplus_since.reset();
        return;
    }
    const auto since = d.timers.surplus_since.value_or(d.in.now);
    d.timers.surplus_since = since;
    if (d.in.now - since < d.in.settings.surplus_host_retention)
    {
        return;
    }
    for (const auto& id : host_ids(d))
    {
        const auto* h = model::find_host(d.next, id);
        if (surplus <= 0)
        {
            return;
        }
        if (!is_borrowed(*h) || !accepts_work(*h))
        {
            continue;
        }
        const std::string to = next_pool_for(d, *h);
        if (apply_step(d, reassign_borrowed_host{id, to, "not needed in pool " + d.next.pool}))
        {
            --surplus;
        }
    }
}

void lend_spare_hosts(pool_update& d)
{
    if (!is_spare_pool(d.in.config, d.next.pool) || other_pool_lends_first(d))
    {
        return;
    }
    for (const auto& pool :
        pools_short_of_borrowed_hosts(d.in.others.documents, d.in.waves, d.in.config))
    {
        const auto* h = pick_spare(d, zone_waiting_for_host(d, pool));
        if (h == nullptr)
        {
            return;
        }
        apply_step(d, lend_host{h->id, pool, "pool " + pool + " needs cover for an absence", true});
    }
}

} // namespace camphorhitch::fleet
