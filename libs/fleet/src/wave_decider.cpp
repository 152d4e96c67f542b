#include "fleet/wave_decider.hpp"

#include "core/invariant.hpp"
#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"
#include "room_book.hpp"
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

/// Keeps what was admitted and waits, as long as its pool has room. What has none is withdrawn, so
/// that one pool's failed hosts don't hold up the others.
void review_waiting(wave_document& next, wave_group& group, room_book& room)
{
    for (const auto& it : group.hosts)
    {
        const bool waits = it.at == turn::untouched && admits(next, it.id);
        group.progress.in_progress += it.at == turn::absent ? 1 : 0;
        if (waits && room.take(it, group.policy))
        {
            ++group.progress.in_progress;
        }
        else if (waits)
        {
            erase_sorted(next.admitted, it.id);
        }
    }
}

/// The zone that a policy works on: that of the first host which is not through.
std::string current_zone(const wave_group& group)
{
    const auto it = std::find_if(group.hosts.begin(),
        group.hosts.end(),
        [](const wave_host& h)
        { return !h.spare && (h.at == turn::untouched || h.at == turn::absent); });
    return it == group.hosts.end() ? "" : it->zone;
}

/// Admits hosts up to the policy's window. \return how many.
int admit(wave_document& next, wave_group& group, room_book& room, const std::string& zone)
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
        const bool free = it.at == turn::untouched && !admits(next, it.id);
        if (in_zone && free && room.take(it, group.policy))
        {
            insert_sorted(next.admitted, it.id);
            ++group.progress.in_progress;
            ++n;
        }
    }
    return n;
}

/// \return how many hosts were admitted over all groups.
int admit_all(wave_document& next, wave_plan& plan, room_book& room)
{
    int n = 0;
    for (auto& [name, group] : plan.groups)
    {
        const bool by_zone = policy_of(group.policy.kind).order == wave_order::zone_by_zone;
        int here = admit(next, group, room, by_zone ? current_zone(group) : "");
        if (by_zone && here == 0 && group.progress.in_progress == 0)
        {
            // The zone is blocked; the others need not wait for it.
            here = admit(next, group, room, "");
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

/// \return the ids of the hosts that \p matches, as one line.
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

std::string hosts_at(const wave_plan& plan, turn at)
{
    return list_hosts(plan, [&](const wave_host& it) { return it.at == at; });
}

std::string failed_by_wave(const wave_plan& plan)
{
    return list_hosts(plan, [](const wave_host& it) { return it.by_wave; });
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
                [&](const wave_host& it)
                { return it.at == turn::untouched && it.pool == view.document.pool; });
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

/// Tells once that nothing can go on now, and why; it is looked at again at each decision.
void wait(wave_document& next, const wave_plan& plan, const wave_inputs& in)
{
    if (!hosts_at(plan, turn::untouched).empty())
    {
        if (next.phase != wave_phase::halted || next.why.rule != blocked_rule)
        {
            set_phase(next, wave_phase::halted, blocked_rule, describe_blocked(in, plan), in.now);
        }
    }
    else if (next.why.rule != waiting_rule)
    {
        const auto phase = all_canaries_passed(plan) ? wave_phase::growing : wave_phase::canary;
        const std::string weighed = "under other plans or lent:" + hosts_at(plan, turn::busy);
        set_phase(next, phase, waiting_rule, weighed, in.now);
    }
}

/// Admits what may leave, and tells when nothing can.
void go_on(wave_document& next, wave_plan& plan, const wave_inputs& in)
{
    room_book room(in);
    for (auto& [name, group] : plan.groups)
    {
        review_waiting(next, group, room);
    }
    const int admitted = admit_all(next, plan, room);
    const int in_progress = count_in_progress(plan);
    if (in_progress == 0)
    {
        wait(next, plan, in);
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
    auto plan = plan_of(in);
    wave_document next = w;
    next.failures_excused = std::min(next.failures_excused, plan.failures);
    const auto& s = plan.summary;
    if (should_halt(next, plan))
    {
        if (next.phase != wave_phase::halted || next.why.rule != halted_rule)
        {
            set_phase(
                next, wave_phase::halted, halted_rule, "not back:" + failed_by_wave(plan), in.now);
        }
    }
    else if (s.in_progress + s.waiting == 0)
    {
        finish(next, plan, in.now);
    }
    else
    {
        go_on(next, plan, in);
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
