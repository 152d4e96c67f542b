#include "fleet/wave_decider.hpp"

#include "budget_headroom.hpp"
#include "core/invariant.hpp"
#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"
#include "wave_plan.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

using model::wave_document;
using model::wave_phase;

namespace
{

constexpr auto blocked_rule = "budget_blocked";
constexpr auto halted_rule = "hosts_not_back";
constexpr auto waiting_rule = "waits_for_others";

void insert_sorted(std::vector<std::string>& all, const std::string& one)
{
    all.insert(std::lower_bound(all.begin(), all.end(), one), one);
}

void erase_sorted(std::vector<std::string>& all, const std::string& one)
{
    const auto [first, last] = std::equal_range(all.begin(), all.end(), one);
    all.erase(first, last);
}

/// Counts the hosts in progress. Admitted hosts whose drain has not started stay admitted as long
/// as their pool has headroom in its budget; the others are withdrawn, so that failed hosts of one
/// pool don't delay the other pools.
void recheck_admitted(wave_document& next, wave_group& group, budget_headroom& headroom)
{
    for (const auto& it : group.hosts)
    {
        const bool waits = it.status == wave_host_status::pending && admits(next, it.id);
        group.progress.in_progress += it.status == wave_host_status::in_progress ? 1 : 0;
        if (waits && headroom.reserve(it, group.policy))
        {
            ++group.progress.in_progress;
        }
        else if (waits)
        {
            erase_sorted(next.admitted, it.id);
        }
    }
}

/// \return the zone that a zone-by-zone policy is working on: the zone of the first host that is
/// pending or in progress.
std::string current_zone(const wave_group& group)
{
    const auto it = std::find_if(group.hosts.begin(),
        group.hosts.end(),
        [](const wave_host& h)
        {
            return !h.spare && (h.status == wave_host_status::pending ||
                                   h.status == wave_host_status::in_progress);
        });
    return it == group.hosts.end() ? "" : it->zone;
}

/// Admits hosts up to the policy's window. \return the number of hosts admitted.
int admit(
    wave_document& next, wave_group& group, budget_headroom& headroom, const std::string& zone)
{
    const int window = policy_of(group.policy.kind).window(group.policy, group.progress);
    int n = 0;
    for (const auto& it : group.hosts)
    {
        if (group.progress.in_progress >= window)
        {
            break;
        }
        const bool in_zone = zone.empty() || it.spare || it.zone == zone;
        const bool free = it.status == wave_host_status::pending && !admits(next, it.id);
        if (in_zone && free && headroom.reserve(it, group.policy))
        {
            insert_sorted(next.admitted, it.id);
            ++group.progress.in_progress;
            ++n;
        }
    }
    return n;
}

/// \return the number of hosts admitted over all groups.
int admit_all(wave_document& next, wave_plan& plan, budget_headroom& headroom)
{
    int n = 0;
    for (auto& [name, group] : plan.groups)
    {
        const bool by_zone = policy_of(group.policy.kind).order == wave_order::zone_by_zone;
        int here = admit(next, group, headroom, by_zone ? current_zone(group) : "");
        if (by_zone && here == 0 && group.progress.in_progress == 0)
        {
            // The current zone is blocked; the other zones need not wait for it.
            here = admit(next, group, headroom, "");
        }
        n += here;
    }
    return n;
}

bool should_halt(const wave_document& w, const wave_plan& plan)
{
    const int counted = plan.failures - w.failures_excused;
    for (const auto& [name, group] : plan.groups)
    {
        const bool canary = group.failures > 0 && !canary_passed(group.policy, group.progress);
        const int bound = canary ? 1 : std::max(1, group.policy.halt_after);
        if (group.failures > 0 && counted >= bound)
        {
            return true;
        }
    }
    return false;
}

/// \return the ids of the hosts for which \p matches returns true, as one line.
template <class Match>
std::string list_hosts(const wave_plan& plan, Match matches)
{
    std::string text;
    for (const auto& [name, group] : plan.groups)
    {
        for (const auto& it : group.hosts)
        {
            text += matches(it) ? " " + it.id : "";
        }
    }
    return text;
}

std::string hosts_with_status(const wave_plan& plan, wave_host_status status)
{
    return list_hosts(plan, [&](const wave_host& it) { return it.status == status; });
}

std::string hosts_failed_by_wave(const wave_plan& plan)
{
    return list_hosts(plan, [](const wave_host& it) { return it.failed_by_wave; });
}

std::string describe_blocked(const wave_inputs& in, const wave_plan& plan)
{
    std::string text;
    for (const auto& view : in.pools)
    {
        const auto waits = [&](const auto& group)
        {
            return std::any_of(group.second.hosts.begin(),
                group.second.hosts.end(),
                [&](const wave_host& it) {
                    return it.status == wave_host_status::pending && it.pool == view.document.pool;
                });
        };
        if (std::any_of(plan.groups.begin(), plan.groups.end(), waits))
        {
            text += text.empty() ? "" : "; ";
            text += describe_absences(view.document, budget_of(in.config, view.document.pool));
        }
    }
    return text;
}

void set_phase(
    wave_document& w, wave_phase phase, std::string rule, std::string weighed, core::wall_time now)
{
    w.phase = phase;
    w.why = {std::move(rule), std::move(weighed), core::to_unix_ms(now)};
}

bool all_canaries_passed(const wave_plan& plan)
{
    return std::all_of(plan.groups.begin(),
        plan.groups.end(),
        [](const auto& it) { return canary_passed(it.second.policy, it.second.progress); });
}

void finish(wave_document& next, const wave_plan& plan, core::wall_time now)
{
    const auto& s = plan.summary;
    const std::string weighed = std::to_string(s.done) + " maintained, " +
                                std::to_string(s.failed) + " failed, " + std::to_string(s.gone) +
                                " gone";
    set_phase(next, wave_phase::done, "all_through", weighed, now);
    next.ended_ms = core::to_unix_ms(now);
    next.failed_at_end = s.failed;
    next.gone_at_end = s.gone;
}

int count_in_progress(const wave_plan& plan)
{
    int n = 0;
    for (const auto& [name, group] : plan.groups)
    {
        n += group.progress.in_progress;
    }
    return n;
}

/// Records, once, that no host can be admitted now, and why. Each later decision tries again.
void record_waiting(wave_document& next, const wave_plan& plan, const wave_inputs& in)
{
    if (!hosts_with_status(plan, wave_host_status::pending).empty())
    {
        if (next.phase != wave_phase::halted || next.why.rule != blocked_rule)
        {
            set_phase(next, wave_phase::halted, blocked_rule, describe_blocked(in, plan), in.now);
        }
    }
    else if (next.why.rule != waiting_rule)
    {
        const auto phase = all_canaries_passed(plan) ? wave_phase::growing : wave_phase::canary;
        const std::string weighed =
            "under other plans or lent:" + hosts_with_status(plan, wave_host_status::unavailable);
        set_phase(next, phase, waiting_rule, weighed, in.now);
    }
}

/// Admits the hosts that may leave now, and records when there is none.
void advance_wave(wave_document& next, wave_plan& plan, const wave_inputs& in)
{
    budget_headroom headroom(in);
    for (auto& [name, group] : plan.groups)
    {
        recheck_admitted(next, group, headroom);
    }
    const int admitted = admit_all(next, plan, headroom);
    const int in_progress = count_in_progress(plan);
    if (in_progress == 0)
    {
        record_waiting(next, plan, in);
        return;
    }
    const auto phase = all_canaries_passed(plan) ? wave_phase::growing : wave_phase::canary;
    if (admitted > 0 || phase != next.phase)
    {
        const std::string rule = next.phase == wave_phase::halted ? "resumed" : "admitted";
        next.batch = in_progress;
        set_phase(next, phase, rule, std::to_string(in_progress) + " in progress", in.now);
    }
}

bool differs(const wave_document& a, const wave_document& b)
{
    return a.phase != b.phase || a.admitted != b.admitted ||
           a.failures_excused != b.failures_excused || a.why.rule != b.why.rule;
}

} // namespace

std::optional<write_wave> decide_wave(const wave_inputs& in)
{
    const auto& w = in.own.document;
    if (!in.pools_known || is_ended(w))
    {
        return std::nullopt;
    }
    auto plan = make_wave_plan(in);
    wave_document next = w;
    next.failures_excused = std::min(next.failures_excused, plan.failures);
    const auto& s = plan.summary;
    if (should_halt(next, plan))
    {
        if (next.phase != wave_phase::halted || next.why.rule != halted_rule)
        {
            set_phase(next,
                wave_phase::halted,
                halted_rule,
                "not back:" + hosts_failed_by_wave(plan),
                in.now);
        }
    }
    else if (s.in_progress + s.waiting == 0)
    {
        finish(next, plan, in.now);
    }
    else
    {
        advance_wave(next, plan, in);
    }
    if (!differs(w, next))
    {
        return std::nullopt;
    }
    core::require(std::is_sorted(next.hosts.begin(), next.hosts.end()) &&
                      std::is_sorted(next.admitted.begin(), next.admitted.end()),
        "a wave's hosts are sorted",
        w.id);
    const std::string note = next.why.rule + ": " + next.why.weighed;
    return write_wave{std::move(next), in.own.revision, note};
}

} // namespace camphorhitch::fleet
