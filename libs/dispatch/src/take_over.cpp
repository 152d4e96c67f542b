#include "dispatch/take_over.hpp"

#include "core/rendezvous.hpp"
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

std::string owner_of(const std::vector<model::member_record>& members, const std::string& pool)
{
    std::vector<std::string_view> names;
    names.reserve(members.size());
    for (const auto& it : members)
    {
        names.push_back(it.id);
    }
    const auto order = core::rendezvous_order("pool/" + pool, names);
    return order.empty() ? std::string{} : members[order.front()].id;
}

} // namespace

core::millis longest_use(const pool_dispatcher& d)
{
    const auto longest =
        std::max({d.pool.quick.longest, d.pool.normal.longest, d.pool.long_running.longest});
    return longest + d.settings.permit_ttl + d.settings.result_grace + d.settings.clock_margin;
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
    state.unknown_holders = !plan.former.empty();
    for (const auto& it : plan.former)
    {
        reserve_for(d, it, state.gone_by);
    }
    d.wake = std::min({d.wake, state.answers_by, state.gone_by});
}

void end_waiting_for_reports(pool_dispatcher& d)
{
    for (const auto& [name, it] : d.take_over.missing)
    {
        reserve_for(d, it, d.take_over.gone_by);
        d.take_over.unknown_holders = true;
    }
    d.take_over.missing.clear();
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
        if (it.epoch > last_owned && owner_of(it.members, pool) != member)
        {
            return true;
        }
        oldest_seen = std::min(oldest_seen, it.epoch);
    }
    return oldest_seen > last_owned + 1;
}

} // namespace camphorhitch::dispatch
