#include "rule_support.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::drain_purpose;
using model::host_record;
using model::host_state;
using model::pool_document;

rule_result changed(std::string note)
{
    return effect{true, std::move(note)};
}

rule_result unchanged(std::string note)
{
    return effect{false, std::move(note)};
}

rule_result refuse(core::error_code code, std::string message)
{
    return core::error{code, std::move(message)};
}

rule_result no_such_host(const std::string& host, const pool_document& d)
{
    return refuse(core::error_code::not_found, "host " + host + " is not in pool " + d.pool);
}

void set_state(
    host_record& h, host_state state, std::string rule, std::string weighed, const rule_context& c)
{
    h.state = state;
    h.since_ms = core::to_unix_ms(c.now);
    h.why = {std::move(rule), std::move(weighed), h.since_ms};
}

void clear_plan(host_record& h)
{
    h.purpose = drain_purpose::none;
    h.wave.clear();
    h.move_to.clear();
    h.command.clear();
}

bool is_repeat(const pool_document& d, const std::string& command)
{
    return std::find(d.commands.begin(), d.commands.end(), command) != d.commands.end();
}

void record_command(pool_document& d, const std::string& command)
{
    d.commands.insert(d.commands.begin(), command);
    if (d.commands.size() > max_recorded_commands)
    {
        d.commands.resize(max_recorded_commands);
    }
}

std::string describe(const host_record& h)
{
    std::string text =
        "host " + h.id + " is " + std::string{name_of(model::host_state_names, h.state)};
    if (h.purpose != drain_purpose::none)
    {
        text += " for " + std::string{name_of(model::drain_purpose_names, h.purpose)};
    }
    if (!h.move_to.empty())
    {
        text += " to pool " + h.move_to;
    }
    if (!h.wave.empty())
    {
        text += " (wave " + h.wave + ")";
    }
    else if (!h.command.empty())
    {
        text += " (command " + h.command + ")";
    }
    return text;
}

rule_result start_planned_absence(pool_document& d,
    host_record& h,
    const rule_context& c,
    const std::function<void(host_record&)>& start)
{
    const auto budget = budget_of(c.config, d.pool);
    const auto blockers = describe_absences(d, budget);
    const host_record before = h;
    start(h);
    // A pool that is no longer configured has no budget; its hosts may only be moved to other
    // pools.
    if (!budget && h.purpose != drain_purpose::move)
    {
        h = before;
        return refuse(core::error_code::invalid, "pool " + d.pool + " is not configured");
    }
    if (budget && !is_within_budget(count_absences(d), *budget))
    {
        h = before;
        return refuse(core::error_code::conflict, "no room in the budget; " + blockers);
    }
    return changed(describe(h));
}

void release(pool_document& d, const std::string& host, const std::string& to, bool as_borrowed)
{
    const auto it = std::find_if(
        d.hosts.begin(), d.hosts.end(), [&](const host_record& h) { return h.id == host; });
    core::require(it != d.hosts.end(), "a released host is in the pool", host);
    core::require(!to.empty() && to != d.pool, "a host is released to another pool", host);
    model::released_host entry{*it, to};
    clear_plan(entry.host);
    entry.host.ownership = it->ownership + 1;
    entry.host.state = host_state::serving;
    entry.host.lent_by = !as_borrowed || to == it->lent_by ? "" : it->lent_by;
    if (as_borrowed && it->lent_by.empty())
    {
        entry.host.lent_by = d.pool;
    }
    d.hosts.erase(it);
    d.released.push_back(std::move(entry));
}

} // namespace camphorhitch::fleet
