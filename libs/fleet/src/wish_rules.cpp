// Operators' wishes. A conflict is told at once, with what stands in the way; nothing is queued.
#include "rule_support.hpp"

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

constexpr auto repeat_note = "applied before";

/// \return why \p h can't start to leave now, or an empty string.
std::string busy_with(const host_record& h)
{
    if (!is_member(h))
    {
        return "host " + h.id + " was added and is not confirmed yet";
    }
    return is_absent(h) ? describe(h) : "";
}

/// Starts a drain that an operator wished for.
rule_result drain_by_wish(pool_document& d,
    const std::string& host,
    const std::string& command,
    const rule_context& c,
    const std::function<void(host_record&)>& plan)
{
    if (is_repeat(d, command))
    {
        return unchanged(repeat_note);
    }
    auto* h = model::find_host(d, host);
    if (h == nullptr)
    {
        return no_such_host(host, d);
    }
    if (const auto busy = busy_with(*h); !busy.empty())
    {
        return refuse(error_code::conflict, busy);
    }
    const auto weighed = describe_absences(d, budget_of(c.config, d.pool));
    auto out = start_planned(d,
        *h,
        c,
        [&](host_record& it)
        {
            plan(it);
            it.command = command;
            enter(it, host_state::draining, "operator", "command " + command + "; " + weighed, c);
        });
    if (core::is_ok(out))
    {
        remember(d, command);
    }
    return out;
}

} // namespace

rule_result apply_one(pool_document& d, const wish_drain& e, const rule_context& c)
{
    const auto budget = budget_of(c.config, d.pool);
    if (budget && (budget->absent < 1 || budget->absent_per_zone < 1))
    {
        return refuse(
            error_code::invalid, "the budget of pool " + d.pool + " never allows an absence");
    }
    return drain_by_wish(
        d, e.host, e.command, c, [](host_record& it) { it.purpose = drain_purpose::maintenance; });
}

rule_result apply_one(pool_document& d, const wish_leave& e, const rule_context& c)
{
    return drain_by_wish(
        d, e.host, e.command, c, [](host_record& it) { it.purpose = drain_purpose::leaving; });
}

rule_result apply_one(pool_document& d, const wish_move& e, const rule_context& c)
{
    if (e.to == d.pool)
    {
        return unchanged("host " + e.host + " is in pool " + d.pool + " already");
    }
    if (model::find_pool(c.config, e.to) == nullptr)
    {
        return refuse(error_code::not_found, "pool " + e.to + " is not configured");
    }
    return drain_by_wish(d,
        e.host,
        e.command,
        c,
        [&](host_record& it)
        {
            it.purpose = drain_purpose::move;
            it.move_to = e.to;
        });
}

rule_result apply_one(pool_document& d, const wish_undo& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(repeat_note);
    }
    auto* h = model::find_host(d, e.host);
    if (h == nullptr)
    {
        return no_such_host(e.host, d);
    }
    if (!is_absent(*h))
    {
        return unchanged(describe(*h));
    }
    if (is_to_be_dropped(*h))
    {
        clear_plan(*h);
        enter(*h, host_state::failed, "operator", "command " + e.command + " keeps it", c);
        remember(d, e.command);
        return changed(describe(*h));
    }
    if (!is_undoable(*h))
    {
        return refuse(error_code::conflict, "too late: " + describe(*h));
    }
    if (!h->wave.empty())
    {
        return refuse(error_code::conflict, describe(*h) + "; cancel the wave instead");
    }
    clear_plan(*h);
    enter(*h, host_state::serving, "operator", "command " + e.command + " undid the drain", c);
    remember(d, e.command);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const wish_add& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(repeat_note);
    }
    if (model::find_pool(c.config, d.pool) == nullptr)
    {
        return refuse(error_code::not_found, "pool " + d.pool + " is not configured");
    }
    if (e.host.id.empty() || e.host.zone.empty())
    {
        return refuse(error_code::invalid, "a host needs an id and an availability zone");
    }
    if (const auto* known = model::find_host(d, e.host.id))
    {
        return unchanged(describe(*known) + " in this pool already");
    }
    host_record h = e.host;
    clear_plan(h);
    h.lent_by.clear();
    // Two operators may add one host to two pools at the same moment, in two documents. Neither
    // pool uses it before it has seen, after its own write, that no other document names it.
    h.ownership = 0;
    h.command = e.command;
    enter(h, host_state::held, "operator", "command " + e.command + "; not confirmed yet", c);
    d.hosts.push_back(std::move(h));
    remember(d, e.command);
    return changed("host " + e.host.id + " added");
}

rule_result apply_one(pool_document& d, const wish_forget& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(repeat_note);
    }
    const auto it = std::find_if(
        d.hosts.begin(), d.hosts.end(), [&](const host_record& h) { return h.id == e.host; });
    if (it == d.hosts.end())
    {
        return no_such_host(e.host, d);
    }
    const bool drained = it->state == host_state::drained && it->purpose == drain_purpose::leaving;
    const bool failed = it->state == host_state::failed;
    if (is_member(*it) && !drained && !failed)
    {
        return refuse(
            error_code::conflict, describe(*it) + "; only a host that is gone is forgotten");
    }
    if (is_member(*it) && !e.settled)
    {
        return refuse(error_code::unavailable, "host " + e.host + " has just moved; try again");
    }
    remember(d, e.command);
    if (is_member(*it) && failed)
    {
        // Its pool's owner may not have seen it fail and still send to it; were it struck off now
        // and added to another pool, two would send to it at once. The owner strikes it off when
        // none can.
        clear_plan(*it);
        it->purpose = drain_purpose::leaving;
        it->command = e.command;
        it->why = {"operator", "command " + e.command + " forgets it", core::to_unix_ms(c.now)};
        return changed("host " + e.host + " is forgotten once nothing can be sent to it");
    }
    d.hosts.erase(it);
    return changed("host " + e.host + " forgotten");
}

} // namespace camphorhitch::fleet
