// Hosts that come from and go to other pools.
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

void adopt_from(draft& d, const pool_document& other)
{
    for (const auto& it : other.released)
    {
        if (it.to == d.next.pool)
        {
            const bool current = is_current(d.in.others, d.in.own.revision);
            const bool hold = is_spare_pool(d.in.config, d.next.pool);
            step(d, adopt_host{it, other.pool, hold, current});
        }
    }
}

/// An entry is dropped once the host stands in another document with that number or a higher one:
/// it was adopted, and that never becomes untrue again.
void forget_adopted(draft& d)
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
                step(d, forget_released{entry.host.id, entry.host.ownership});
            }
        }
    }
}

/// Whether another pool added the same host too, and ours gives way: one of the two must.
bool gives_way(const draft& d, const std::string& host)
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

void settle_added(draft& d)
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
        if (owner.ownership > 0 || gives_way(d, id))
        {
            step(d, withdraw_added{id, owner.ownership > 0 ? owner.pool : "another's wish"});
        }
        else if (is_settled(d, id))
        {
            // Each move costs a write at least, so no earlier number exceeds the store's revision.
            step(d, confirm_added{id, std::max<std::int64_t>(1, d.in.others.as_of)});
        }
    }
}

/// Where a guest that is not needed goes: to a pool that needs one, or home.
std::string next_stop(const draft& d, const host_record& guest)
{
    const auto wanting = pools_short_of_guests(d.in.others.documents, d.in.waves, d.in.config);
    const auto it = std::find_if(wanting.begin(),
        wanting.end(),
        [&](const std::string& pool) { return pool != d.next.pool; });
    return it == wanting.end() ? guest.lent_by : *it;
}

/// Whether a spare pool before this one, by name, has a host to lend: that one does, so that two
/// don't answer the same need.
bool leaves_it_to_another(const draft& d)
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

/// The zone of the host in \p pool that waits for a guest, for budgets per zone.
std::string wanted_zone(const draft& d, const std::string& pool)
{
    for (const auto& view : d.in.others.documents)
    {
        if (view.document.pool != pool)
        {
            continue;
        }
        for (const auto& it : view.document.hosts)
        {
            const auto* wave = working_wave(it, d.in.waves);
            if (wave != nullptr && !is_absent(it) && admits(*wave, it.id))
            {
                return it.zone;
            }
        }
    }
    return "";
}

const host_record* pick_spare(const draft& d, const std::string& zone)
{
    const host_record* best = nullptr;
    for (const auto& it : d.next.hosts)
    {
        const auto* written = model::find_host(d.in.own.document, it.id);
        const bool was_held = written != nullptr && written->state == host_state::held;
        const bool ready = was_held && is_lendable(it, d.in.waves) && is_settled(d, it.id) &&
                           is_quiet(activity_of(d.in, it.id));
        if (ready && (best == nullptr || (it.zone == zone && best->zone != zone)))
        {
            best = &it;
        }
    }
    return best;
}

} // namespace

void exchange_hosts(draft& d)
{
    for (const auto& view : d.in.others.documents)
    {
        if (!view.document.released.empty() && view.document.pool != d.next.pool)
        {
            adopt_from(d, view.document);
        }
    }
    forget_adopted(d);
    settle_added(d);
}

void send_guests_on(draft& d)
{
    int surplus = serving_guests(d.next) - guests_wanted(d.next, d.in.waves, d.in.config);
    if (surplus <= 0)
    {
        d.memory.guests_idle.reset();
        return;
    }
    const auto since = d.memory.guests_idle.value_or(d.in.now);
    d.memory.guests_idle = since;
    if (d.in.now - since < d.in.settings.guest_stay)
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
        if (!is_guest(*h) || !accepts_work(*h))
        {
            continue;
        }
        const std::string to = next_stop(d, *h);
        if (step(d, send_guest_on{id, to, "not needed in pool " + d.next.pool}))
        {
            --surplus;
        }
    }
}

void lend_spares(draft& d)
{
    if (!is_spare_pool(d.in.config, d.next.pool) || leaves_it_to_another(d))
    {
        return;
    }
    for (const auto& pool : pools_short_of_guests(d.in.others.documents, d.in.waves, d.in.config))
    {
        const auto* h = pick_spare(d, wanted_zone(d, pool));
        if (h == nullptr)
        {
            return;
        }
        step(d, lend_host{h->id, pool, "pool " + pool + " needs cover for an absence", true});
    }
}

} // namespace camphorhitch::fleet
