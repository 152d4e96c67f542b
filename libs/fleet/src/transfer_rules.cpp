// Transfers of hosts between pools, and spare capacity: hold, lend and reassign.
#include "rule_support.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using core::error_code;
using model::drain_purpose;
using model::host_record;
using model::host_state;
using model::pool_document;

namespace
{

constexpr auto not_exclusive_text =
    " has just come from another pool, which has not forgotten it yet";

bool was_released_since(const pool_document& d, const model::released_host& e)
{
    return std::any_of(d.released.begin(),
        d.released.end(),
        [&](const model::released_host& it)
        { return it.host.id == e.host.id && it.host.ownership >= e.host.ownership; });
}

} // namespace

rule_result apply_one(pool_document& d, const remove_failed_host& e, const rule_context&)
{
    const auto it = std::find_if(
        d.hosts.begin(), d.hosts.end(), [&](const host_record& h) { return h.id == e.host; });
    if (it == d.hosts.end())
    {
        return no_such_host(e.host, d);
    }
    if (!is_pending_removal(*it))
    {
        return refuse(error_code::conflict, "not to be dropped: " + describe(*it));
    }
    if (!e.exclusive)
    {
        return refuse(error_code::unavailable, "host " + e.host + not_exclusive_text);
    }
    d.hosts.erase(it);
    return changed("host " + e.host + " forgotten");
}

rule_result apply_one(pool_document& d, const release_host& e, const rule_context&)
{
    const auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (h->state != host_state::drained || h->purpose != drain_purpose::move)
    {
        return refuse(error_code::conflict, "not to be released: " + describe(*h));
    }
    // If the host were released before the previous pool has removed its released entry, that entry
    // could be adopted a second time.
    if (!e.exclusive)
    {
        return refuse(error_code::unavailable, "host " + e.host + not_exclusive_text);
    }
    const std::string to = h->move_to;
    const bool as_borrowed = is_borrowed(*h) && h->command.empty();
    release(d, e.host, to, as_borrowed);
    return changed("host " + e.host + " released to pool " + to);
}

rule_result apply_one(pool_document& d, const adopt_host& e, const rule_context& c)
{
    core::require(e.entry.to == d.pool, "a pool adopts what was released to it", e.entry.host.id);
    if (!e.current)
    {
        return refuse(error_code::unavailable, "pool " + e.from + " was read too long ago");
    }
    auto* known = model::find_host(d, e.entry.host.id);
    const bool later = known != nullptr && known->ownership >= e.entry.host.ownership;
    if (later || was_released_since(d, e.entry))
    {
        return unchanged("host " + e.entry.host.id + " was adopted before");
    }
    if (known != nullptr && is_member(*known))
    {
        // The host has left this pool and come back since this document was read: the document is
        // outdated, and so is this decision.
        return refuse(error_code::conflict,
            "pool " + d.pool + " was read before host " + known->id + " left it");
    }
    if (known == nullptr)
    {
        known = &d.hosts.emplace_back();
    }
    *known = e.entry.host;
    clear_plan(*known);
    known->lent_by = known->lent_by == d.pool ? "" : known->lent_by;
    const bool hold = e.hold && !is_borrowed(*known);
    const auto next = hold ? host_state::held : host_state::serving;
    set_state(*known, next, "adopted", "from pool " + e.from, c);
    return changed(describe(*known));
}

rule_result apply_one(pool_document& d, const remove_released_entry& e, const rule_context&)
{
    const auto done = [&](const model::released_host& it)
    {
        return it.host.id == e.host && it.host.ownership <= e.ownership;
    };
    const auto it = std::find_if(d.released.begin(), d.released.end(), done);
    if (it == d.released.end())
    {
        return unchanged("forgotten before");
    }
    const std::string to = it->to;
    d.released.erase(it);
    return changed("pool " + to + " has adopted host " + e.host);
}

rule_result apply_one(pool_document& d, const confirm_added& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr || is_member(*h))
    {
        return unchanged("nothing to confirm");
    }
    core::require(e.ownership > 0, "a confirmed host has an owner", e.host);
    h->ownership = e.ownership;
    h->command.clear();
    set_state(*h, host_state::serving, "added", "no other pool names it", c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const withdraw_added& e, const rule_context&)
{
    const auto it = std::find_if(d.hosts.begin(),
        d.hosts.end(),
        [&](const host_record& h) { return h.id == e.host && !is_member(h); });
    if (it == d.hosts.end())
    {
        return unchanged("nothing to withdraw");
    }
    d.hosts.erase(it);
    return changed("host " + e.host + " belongs to pool " + e.owner);
}

rule_result apply_one(pool_document& d, const hold_host& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!accepts_work(*h))
    {
        return unchanged(describe(*h));
    }
    set_state(*h, host_state::held, "spare_capacity", e.weighed, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const unhold_host& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!is_member(*h) || h->state != host_state::held)
    {
        return unchanged(describe(*h));
    }
    set_state(*h, host_state::serving, "spare_capacity_used", e.weighed, c);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const lend_host& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!is_member(*h) || h->state != host_state::held)
    {
        return refuse(error_code::conflict, "not to be lent: " + describe(*h));
    }
    if (!e.exclusive)
    {
        return refuse(error_code::unavailable, "host " + e.host + not_exclusive_text);
    }
    set_state(*h, host_state::held, "lent", e.weighed, c);
    release(d, e.host, e.to, true);
    return changed("host " + e.host + " lent to pool " + e.to);
}

rule_result apply_one(pool_document& d, const reassign_borrowed_host& e, const rule_context& c)
{
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!is_borrowed(*h) || !accepts_work(*h))
    {
        return refuse(error_code::conflict, "not a guest to send on: " + describe(*h));
    }
    return start_planned_absence(d,
        *h,
        c,
        [&](host_record& it)
        {
            it.purpose = drain_purpose::move;
            it.move_to = e.to;
            set_state(it, host_state::draining, "guest_sent_on", e.weighed, c);
        });
}

} // namespace camphorhitch::fleet
