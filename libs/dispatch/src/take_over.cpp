#include "dispatch/take_over.hpp"

#include "membership/owners.hpp"
#include "take_over_parts.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

namespace
{

void reserve_slots_for(pool_dispatcher& d, const permit_holder& holder, core::mono_time until)
{
    for (const auto& it : holder.last_reported)
    {
        if (it.pool != d.pool.name)
        {
            continue;
        }
        auto& target = d.targets[it.host];
        target.host = it.host;
        target.reservations.push_back({1, until});
    }
}

/// Counts the permits that a member without a report may hold. Its requests in flight end by the
/// time of the longest request, or soon if its process and thus its connections have ended.
void count_without_report(pool_dispatcher& d, const permit_holder& holder, core::mono_time now)
{
    const auto until = holder.process_ended ? now + d.settings.max_run_after_disconnect
                                            : d.take_over.in_flight_until;
    reserve_slots_for(d, holder, until);
    d.take_over.uncounted_until[{holder.member, holder.incarnation}] = until;
    d.next_wakeup_at = std::min(d.next_wakeup_at, until);
}

void adopt_permit(pool_dispatcher& d,
    const permit_request_key& key,
    const ports::held_permit& held,
    core::mono_time now)
{
    if (held.pool != d.pool.name || d.permits.count(key) != 0)
    {
        return;
    }
    auto& target = d.targets[held.host];
    target.host = held.host;
    target.inherited += 1;
    permit_record it;
    it.host = held.host;
    it.expires_at = std::max(now, now + max_use_time(d) - held.age);
    it.reply.verdict = ports::permit_verdict::granted;
    it.reply.host = held.host;
    d.next_wakeup_at = std::min(d.next_wakeup_at, it.expires_at);
    d.permits.emplace(key, std::move(it));
}

bool was_owner(const model::former_roster& then, const std::string& member, const std::string& pool)
{
    const model::roster_document roster{then.epoch, then.members, {}};
    const auto* owner = membership::owner_of_pool(roster, pool);
    return owner != nullptr && owner->id == member;
}

} // namespace

core::millis max_use_time(const pool_dispatcher& d)
{
    const auto longest =
        std::max({d.pool.quick.longest, d.pool.normal.longest, d.pool.long_running.longest});
    return longest + use_after_deadline(d.settings);
}

void begin_take_over(pool_dispatcher& d, const take_over_plan& plan, core::mono_time now)
{
    auto& state = d.take_over;
    d.epoch = plan.epoch;
    state.missing_reports.clear();
    for (const auto& it : plan.queried_members)
    {
        state.missing_reports.emplace(it.member, it);
    }
    state.report_deadline = plan.report_deadline;
    state.in_flight_until = std::max(now, plan.report_deadline) + max_use_time(d);
    state.uncounted_until.clear();
    for (const auto& it : plan.previous_members)
    {
        count_without_report(d, it, now);
    }
    d.next_wakeup_at = std::min({d.next_wakeup_at, state.report_deadline, state.in_flight_until});
}

void advance_report_deadline(pool_dispatcher& d, core::mono_time report_deadline)
{
    auto& state = d.take_over;
    if (state.missing_reports.empty() || report_deadline >= state.report_deadline)
    {
        return;
    }
    state.report_deadline = report_deadline;
    state.in_flight_until = report_deadline + max_use_time(d);
    d.next_wakeup_at = std::min(d.next_wakeup_at, report_deadline);
}

void stop_waiting_for_reports(pool_dispatcher& d, core::mono_time now)
{
    for (const auto& [name, it] : d.take_over.missing_reports)
    {
        count_without_report(d, it, now);
    }
    d.take_over.missing_reports.clear();
}

void record_process_ended(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    core::mono_time now)
{
    const auto it = d.take_over.missing_reports.find(member);
    if (it != d.take_over.missing_reports.end() && it->second.incarnation == incarnation)
    {
        auto holder = it->second;
        holder.process_ended = true;
        d.take_over.missing_reports.erase(it);
        count_without_report(d, holder, now);
    }
    // The process may have left the roster before it ended; its connections ended with it. Without
    // this, a drain would wait for the longest request after each planned replacement of a member.
    const auto previous = d.take_over.uncounted_until.find({member, incarnation});
    if (previous != d.take_over.uncounted_until.end())
    {
        previous->second = std::min(previous->second, now + d.settings.max_run_after_disconnect);
        d.next_wakeup_at = std::min(d.next_wakeup_at, previous->second);
    }
}

permit_answers on_held_report(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    const ports::held_reply& reply,
    core::mono_time now)
{
    permit_answers out;
    if (reply.epoch < d.epoch || d.take_over.missing_reports.erase(member) == 0)
    {
        return out; // a report for an older epoch, after the deadline, or a repeated one
    }
    for (const auto& it : reply.permits)
    {
        adopt_permit(d, {member, incarnation, it.request}, it, now);
    }
    return on_tick(d, now);
}

bool has_uncounted_permits(const pool_dispatcher& d, core::mono_time now)
{
    return std::any_of(d.take_over.uncounted_until.begin(),
        d.take_over.uncounted_until.end(),
        [&](const auto& it) { return it.second > now; });
}

bool is_ready(const pool_dispatcher& d)
{
    return d.take_over.missing_reports.empty();
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
        if (it.epoch > last_owned && !was_owner(it, member, pool))
        {
            return true;
        }
        oldest_seen = std::min(oldest_seen, it.epoch);
    }
    return oldest_seen > last_owned + 1;
}

} // namespace camphorhitch::dispatch
