#include "fleet/wave_rules.hpp"

#include "fleet/budget.hpp"
#include "fleet/pool_rules.hpp"

#include <algorithm>
#include <set>

namespace camphorhitch::fleet
{

using core::error_code;
using model::host_state;
using model::pool_document;
using model::wave_document;
using model::wave_phase;

namespace
{

bool matches(const std::vector<std::string>& allowed, const std::string& one)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), one) != allowed.end();
}

void record_command(wave_document& w, const std::string& command)
{
    w.commands.insert(w.commands.begin(), command);
    if (w.commands.size() > max_recorded_commands)
    {
        w.commands.resize(max_recorded_commands);
    }
}

bool is_repeat(const wave_document& w, const std::string& command)
{
    return std::find(w.commands.begin(), w.commands.end(), command) != w.commands.end();
}

core::error refusal(error_code code, std::string text)
{
    return {code, std::move(text)};
}

/// \return \p d as it will be when every planned absence is over. Failed hosts stay failed.
pool_document with_plans_completed(pool_document d)
{
    for (auto& it : d.hosts)
    {
        it.state = is_absent(it) && it.state != host_state::failed ? host_state::serving : it.state;
    }
    return d;
}

bool fits_budget_without(
    pool_document d, const std::string& host, const model::availability_budget& b)
{
    model::find_host(d, host)->state = host_state::draining;
    return is_within_budget(count_absences(d), b);
}

/// Adds to \p reasons why the selected hosts of \p d can't all be absent one after the other.
void check_pool(const pool_document& d,
    const std::set<std::string>& selected,
    const model::configuration& c,
    std::set<std::string>& reasons)
{
    const auto budget = budget_of(c, d.pool);
    const auto later = with_plans_completed(d);
    for (const auto& it : later.hosts)
    {
        if (selected.count(it.id) == 0 || it.state == host_state::failed || is_borrowed(it))
        {
            continue;
        }
        if (!budget)
        {
            reasons.insert("pool " + d.pool + " is not configured");
        }
        else if (budget->absent < 1 || budget->absent_per_zone < 1)
        {
            reasons.insert("the budget of pool " + d.pool + " never allows an absence");
        }
        else if (!fits_budget_without(later, it.id, *budget))
        {
            reasons.insert("no room in zone " + it.zone +
                           " until failed hosts are back or forgotten; " +
                           describe_absences(later, budget));
        }
    }
}

std::string join(const std::set<std::string>& all)
{
    std::string text;
    for (const auto& it : all)
    {
        text += (text.empty() ? "" : "; ") + it;
    }
    return text;
}

std::set<std::string> find_refusal_reasons(const wave_start_request& request,
    const std::vector<std::string>& hosts,
    const model::configuration& c,
    const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves)
{
    std::set<std::string> reasons;
    if (hosts.empty())
    {
        reasons.insert("no host is selected");
    }
    if (!request.policy.empty() && model::find_policy(c, request.policy) == nullptr)
    {
        reasons.insert("policy " + request.policy + " is not configured");
    }
    for (const auto& it : request.selection.hosts)
    {
        if (owner_of(it, pools).ownership == 0)
        {
            reasons.insert("host " + it + " is in no pool");
        }
    }
    for (const auto& it : hosts)
    {
        if (const auto* other = assigned_wave(it, waves))
        {
            reasons.insert("wave " + other->id + " has not ended and selects some of these hosts");
        }
    }
    const std::set<std::string> selected(hosts.begin(), hosts.end());
    for (const auto& view : pools)
    {
        check_pool(view.document, selected, c, reasons);
    }
    return reasons;
}

} // namespace

std::vector<std::string> select_hosts(
    const std::vector<pool_view>& pools, const host_selection& selection)
{
    std::vector<std::string> out;
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.hosts)
        {
            const bool wanted = is_member(it) && matches(selection.pools, view.document.pool) &&
                                matches(selection.zones, it.zone) &&
                                matches(selection.racks, it.rack) &&
                                matches(selection.hosts, it.id);
            if (wanted)
            {
                out.push_back(it.id);
            }
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

core::result<wave_change> start_wave(const wave_start_request& request,
    const model::configuration& config,
    const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    core::wall_time now)
{
    for (const auto& it : waves)
    {
        if (it.document.id == request.id && is_repeat(it.document, request.command))
        {
            return wave_change{it.document, false, "started before"};
        }
        if (it.document.id == request.id)
        {
            return refusal(error_code::conflict, "wave " + request.id + " exists already");
        }
    }
    const auto hosts = select_hosts(pools, request.selection);
    const auto reasons = find_refusal_reasons(request, hosts, config, pools, waves);
    if (!reasons.empty())
    {
        return refusal(error_code::invalid, "wave " + request.id + " is refused: " + join(reasons));
    }
    wave_document w;
    w.id = request.id;
    w.hosts = hosts;
    w.policy = request.policy;
    w.started_ms = core::to_unix_ms(now);
    w.why = {"operator", "command " + request.command, w.started_ms};
    record_command(w, request.command);
    return wave_change{w, true, std::to_string(hosts.size()) + " hosts"};
}

core::result<wave_change> resume_wave(const wave_document& w,
    const std::string& command,
    const std::vector<pool_view>& pools,
    core::wall_time now)
{
    if (is_repeat(w, command))
    {
        return wave_change{w, false, "resumed before"};
    }
    if (w.phase != wave_phase::halted)
    {
        const auto phase = std::string{name_of(model::wave_phase_names, w.phase)};
        return refusal(error_code::conflict, "wave " + w.id + " is " + phase + ", not halted");
    }
    const auto failed = failed_in_wave(w, pools);
    wave_change out{w, true, std::to_string(failed.size()) + " failed hosts excused"};
    out.next.failures_excused = static_cast<int>(failed.size());
    out.next.phase = wave_phase::growing;
    out.next.why = {"operator", "command " + command + "; " + out.note, core::to_unix_ms(now)};
    record_command(out.next, command);
    return out;
}

core::result<wave_change> cancel_wave(
    const wave_document& w, const std::string& command, core::wall_time now)
{
    if (is_repeat(w, command) || w.phase == wave_phase::cancelled)
    {
        return wave_change{w, false, "cancelled before"};
    }
    if (w.phase == wave_phase::done)
    {
        return refusal(error_code::conflict, "wave " + w.id + " is done");
    }
    wave_change out{w, true, "cancelled"};
    out.next.phase = wave_phase::cancelled;
    out.next.ended_ms = core::to_unix_ms(now);
    out.next.why = {"operator", "command " + command, out.next.ended_ms};
    record_command(out.next, command);
    return out;
}

std::vector<std::string> failed_in_wave(const wave_document& w, const std::vector<pool_view>& pools)
{
    std::vector<std::string> out;
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.hosts)
        {
            const bool by_wave = it.wave == w.id || it.last_wave == w.id;
            if (it.state == host_state::failed && by_wave)
            {
                out.push_back(it.id);
            }
        }
    }
    return out;
}

} // namespace camphorhitch::fleet
