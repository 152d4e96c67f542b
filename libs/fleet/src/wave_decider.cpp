#include "fleet/wave_decider.hpp"

#include "core/invariant.hpp"
#include "fleet/budget.hpp"
#include "fleet/wave_rules.hpp"
#include "wave_plan.hpp"

#include <algorithm>
#include <unordered_map>

namespace camphorhitch::fleet
{

using model::host_state;
using model::pool_document;
using model::wave_document;
using model::wave_phase;

namespace
{

constexpr auto blocked_rule = "budget_blocked";
constexpr auto halted_rule = "hosts_not_back";

/// The pools as they will be when all that was admitted has left, for counting the room.
class room_book
{
public:
    explicit room_book(const wave_inputs& in) : in_(in), spares_(count_lendable(in))
    {
    }

    /// Marks \p h as absent if its pool has room. \return whether it had.
    bool take(const wave_host& h, const model::policy_config& p)
    {
        auto& d = draft_of(h.pool);
        const auto budget = budget_of(in_.config, h.pool);
        const auto need = need_of(d, in_.config);
        const auto& policy = policy_of(p.kind);
        if (!budget || need.planned_absent >= policy.pool_limit(p, need))
        {
            return false;
        }
        auto* host = model::find_host(d, h.id);
        const auto before = host->state;
        host->state = host_state::draining;
        if (!within(count_absences(d), with_spares(*budget, policy, p, need)))
        {
            host->state = before;
            return false;
        }
        return true;
    }

private:
    static int count_lendable(const wave_inputs& in)
    {
        int n = 0;
        for (const auto& view : in.pools)
        {
            for (const auto& it : view.document.hosts)
            {
                const bool spare = is_spare_pool(in.config, view.document.pool);
                n += spare && is_lendable(it, in.waves) ? 1 : 0;
            }
        }
        return n;
    }

    /// A guest that can be had stands in for one of the pool's absences.
    model::availability_budget with_spares(model::availability_budget b,
        const wave_policy& policy,
        const model::policy_config& p,
        pool_need need) const
    {
        need.admitted = 1;
        need.unfinished = 1;
        const bool lends = policy.guests_wanted(p, need) > 0;
        b.absent += lends ? spares_ : 0;
        return b;
    }

    pool_document& draft_of(const std::string& pool)
    {
        const auto known = drafts_.find(pool);
        if (known != drafts_.end())
        {
            return known->second;
        }
        const auto it = std::find_if(in_.pools.begin(),
            in_.pools.end(),
            [&](const pool_view& v) { return v.document.pool == pool; });
        return drafts_.emplace(pool, it->document).first->second;
    }

    const wave_inputs& in_;
    int spares_;
    std::unordered_map<std::string, pool_document> drafts_;
};

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

std::string list_of(const wave_plan& plan)
{
    std::string text;
    for (const auto& [name, group] : plan.groups)
    {
        for (const auto& it : group.hosts)
        {
            text += it.by_wave ? " " + it.id : "";
        }
    }
    return text;
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

/// Admits what may leave, and tells when nothing can.
void go_on(wave_document& next, wave_plan& plan, const wave_inputs& in)
{
    room_book room(in);
    for (auto& [name, group] : plan.groups)
    {
        review_waiting(next, group, room);
    }
    const int admitted = admit_all(next, plan, room);
    int in_progress = 0;
    bool untouched = false;
    for (const auto& [name, group] : plan.groups)
    {
        in_progress += group.progress.in_progress;
        untouched = untouched || std::any_of(group.hosts.begin(),
                                     group.hosts.end(),
                                     [](const wave_host& it) { return it.at == turn::untouched; });
    }
    const bool halted = next.phase == wave_phase::halted;
    if (in_progress == 0 && untouched)
    {
        if (!halted || next.why.rule != blocked_rule)
        {
            set_phase(next, wave_phase::halted, blocked_rule, describe_blocked(in, plan), in.now);
        }
        return;
    }
    const auto phase = all_canaries_passed(plan) ? wave_phase::growing : wave_phase::canary;
    if (admitted > 0 || phase != next.phase)
    {
        next.batch = in_progress;
        const std::string rule = halted ? "resumed" : "admitted";
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
            set_phase(next, wave_phase::halted, halted_rule, "not back:" + list_of(plan), in.now);
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
