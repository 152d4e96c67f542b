// Operators' requests. A conflict is answered at once with what blocks the request; no request is
// queued.
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

constexpr auto already_applied_note = "applied before";

/// \return why \p h can't start a planned absence now, or an empty string.
std::string describe_conflict(const host_record& h)
{
    if (!is_member(h))
    {
        return "host " + h.id + " was added and is not confirmed yet";
    }
    return is_absent(h) ? describe(h) : "";
}

/// Starts a drain that an operator requested.
rule_result drain_by_request(pool_document& d,
    const std::string& host,
    const std::string& command,
    const rule_context& c,
    const std::function<void(host_record&)>& plan)
{
    if (is_repeat(d, command))
    {
        return unchanged(already_applied_note);
    }
    auto* h = model::find_host(d, host);
    if (h == nullptr)
    {
        return no_such_host(host, d);
    }
    if (const auto busy = describe_conflict(*h); !busy.empty())
    {
        return refuse(error_code::conflict, busy);
    }
    const auto weighed = describe_absences(d, budget_of(c.config, d.pool));
    auto out = start_planned_absence(d,
        *h,
        c,
        [&](host_record& it)
        {
            plan(it);
            it.command = command;
            set_state(
                it, host_state::draining, "operator", "command " + command + "; " + weighed, c);
        });
    if (core::is_ok(out))
    {
        record_command(d, command);
    }
    return out;
}

} // namespace

rule_result apply_one(pool_document& d, const drain_request& e, const rule_context& c)
{
    const auto budget = budget_of(c.config, d.pool);
    if (budget && (budget->absent < 1 || budget->absent_per_zone < 1))
    {
        return refuse(
            error_code::invalid, "the budget of pool " + d.pool + " never allows an absence");
    }
    return drain_by_request(
        d, e.host, e.command, c, [](host_record& it) { it.purpose = drain_purpose::maintenance; });
}

rule_result apply_one(pool_document& d, const leave_request& e, const rule_context& c)
{
    return drain_by_request(
        d, e.host, e.command, c, [](host_record& it) { it.purpose = drain_purpose::leaving; });
}

rule_result apply_one(pool_document& d, const move_request& e, const rule_context& c)
{
    if (e.to == d.pool)
    {
        return unchanged("host " + e.host + " is in pool " + d.pool + " already");
    }
    if (model::find_pool(c.config, e.to) == nullptr)
    {
        return refuse(error_code::not_found, "pool " + e.to + " is not configured");
    }
    return drain_by_request(d,
        e.host,
        e.command,
        c,
        [&](host_record& it)
        {
            it.purpose = drain_purpose::move;
            it.move_to = e.to;
        });
}

rule_result apply_one(pool_document& d, const undo_request& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(already_applied_note);
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
    if (is_pending_removal(*h))
    {
        clear_plan(*h);
        set_state(*h, host_state::failed, "operator", "command " + e.command + " keeps it", c);
        record_command(d, e.command);
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
    set_state(*h, host_state::serving, "operator", "command " + e.command + " undid the drain", c);
    record_command(d, e.command);
    return changed(describe(*h));
}

rule_result apply_one(pool_document& d, const add_request& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(already_applied_note);
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
    // Two operators may add the same host to two pools at the same moment, in two documents.
    // Neither pool uses the host before its owner has read, after its own write, that no other
    // document names the host.
    h.ownership = 0;
    h.command = e.command;
    set_state(h, host_state::held, "operator", "command " + e.command + "; not confirmed yet", c);
    d.hosts.push_back(std::move(h));
    record_command(d, e.command);
    return changed("host " + e.host.id + " added");
}

rule_result apply_one(pool_document& d, const forget_request& e, const rule_context& c)
{
    if (is_repeat(d, e.command))
    {
        return unchanged(already_applied_note);
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
    if (is_member(*it) && !e.exclusive)
    {
        return refuse(error_code::unavailable, "host " + e.host + " has just moved; try again");
    }
    record_command(d, e.command);
    if (is_member(*it) && failed)
    {
        // The pool's owner may not have read yet that the host failed, and may still send to it. If
        // the host were removed now and added to another pool, two pools would send to it at once.
        // The owner removes the host when no member can send to it.
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
