#include "dispatch/take_over.hpp"

#include "membership/owners.hpp"
#include "take_over_parts.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

namespace
{

void reserve_for(pool_dispatcher& d, const permit_holder& gone, core::mono_time until)
{
    for (const auto& it : gone.last_reported)
    {
        if (it.pool != d.pool.name)
        {
            continue;
        }
        auto& target = d.targets[it.host];
        target.host = it.host;
        target.reserves.push_back({1, until});
    }
}

/// What a member that can't be asked may have in flight ends by the longest request's time, or soon
/// when its process is gone and its connections with it.
void count_as_unheard(pool_dispatcher& d, const permit_holder& holder, core::mono_time now)
{
    const auto until = holder.gone ? now + d.settings.silent_linger : d.take_over.gone_by;
    reserve_for(d, holder, until);
    d.take_over.unheard[{holder.member, holder.incarnation}] = until;
    d.wake = std::min(d.wake, until);
}

void take_permit(
    pool_dispatcher& d, const ask_key& key, const ports::held_permit& held, core::mono_time now)
{
    if (held.pool != d.pool.name || d.permits.count(key) != 0)
    {
        return;
    }
    auto& target = d.targets[held.host];
    target.host = held.host;
    target.taken_over += 1;
    permit_record it;
    it.host = held.host;
    it.bound = std::max(now, now + longest_use(d) - held.age);
    it.reply.verdict = ports::permit_verdict::granted;
    it.reply.host = held.host;
    d.wake = std::min(d.wake, it.bound);
    d.permits.emplace(key, std::move(it));
}

bool owned(const model::former_roster& then, const std::string& member, const std::string& pool)
{
    const model::roster_document roster{then.epoch, then.members, {}};
    const auto* owner = membership::owner_of_pool(roster, pool);
    return owner != nullptr && owner->id == member;
}

} // namespace

core::millis longest_use(const pool_dispatcher& d)
{
    const auto longest =
        std::max({d.pool.quick.longest, d.pool.normal.longest, d.pool.long_running.longest});
    return longest + use_after_deadline(d.settings);
}

void begin_take_over(pool_dispatcher& d, const take_over_plan& plan, core::mono_time now)
{
    auto& state = d.take_over;
    d.epoch = plan.epoch;
    state.missing.clear();
    for (const auto& it : plan.asked)
    {
        state.missing.emplace(it.member, it);
    }
    state.answers_by = plan.answers_by;
    state.gone_by = std::max(now, plan.answers_by) + longest_use(d);
    state.unheard.clear();
    for (const auto& it : plan.former)
    {
        count_as_unheard(d, it, now);
    }
    d.wake = std::min({d.wake, state.answers_by, state.gone_by});
}

void hasten_take_over(pool_dispatcher& d, core::mono_time answers_by)
{
    auto& state = d.take_over;
    if (state.missing.empty() || answers_by >= state.answers_by)
    {
        return;
    }
    state.answers_by = answers_by;
    state.gone_by = answers_by + longest_use(d);
    d.wake = std::min(d.wake, answers_by);
}

void end_waiting_for_reports(pool_dispatcher& d, core::mono_time now)
{
    for (const auto& [name, it] : d.take_over.missing)
    {
        count_as_unheard(d, it, now);
    }
    d.take_over.missing.clear();
}

void note_gone(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    core::mono_time now)
{
    const auto missing = d.take_over.missing.find(member);
    if (missing != d.take_over.missing.end() && missing->second.incarnation == incarnation)
    {
        auto holder = missing->second;
        holder.gone = true;
        d.take_over.missing.erase(missing);
        count_as_unheard(d, holder, now);
    }
    // One that had left the roster before: with its process its connections are gone too. Without
    // this a drain would wait for the longest request after each planned replacement of a member.
    const auto former = d.take_over.unheard.find({member, incarnation});
    if (former != d.take_over.unheard.end())
    {
        former->second = std::min(former->second, now + d.settings.silent_linger);
        d.wake = std::min(d.wake, former->second);
    }
}

permit_answers on_held(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    const ports::held_reply& reply,
    core::mono_time now)
{
    permit_answers out;
    if (reply.epoch < d.epoch || d.take_over.missing.erase(member) == 0)
    {
        return out; // an older promise, or a report that came after its bound or twice
    }
    for (const auto& it : reply.permits)
    {
        take_permit(d, {member, incarnation, it.request}, it, now);
    }
    return on_tick(d, now);
}

bool has_unheard(const pool_dispatcher& d, core::mono_time now)
{
    return std::any_of(d.take_over.unheard.begin(),
        d.take_over.unheard.end(),
        [&](const auto& it) { return it.second > now; });
}

bool is_ready(const pool_dispatcher& d)
{
    return d.take_over.missing.empty();
}

bool needs_take_over(const model::roster_document& roster,
    ports::epoch_number last_owned,
    const std::string& member,
    const std::string& pool)
{
    if (last_owned == 0)
    {
        return true;
    }
    auto oldest_seen = roster.epoch;
    for (const auto& it : roster.history)
    {
        if (it.epoch > last_owned && !owned(it, member, pool))
        {
            return true;
        }
        oldest_seen = std::min(oldest_seen, it.epoch);
    }
    return oldest_seen > last_owned + 1;
}

} // namespace camphorhitch::dispatch
