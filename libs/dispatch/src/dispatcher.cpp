#include "dispatch/dispatcher.hpp"

#include "admission.hpp"
#include "dispatch/take_over.hpp"
#include "expiry.hpp"
#include "health.hpp"
#include "scheduling.hpp"
#include "take_over_parts.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

std::deque<waiting_request>::iterator find_waiting(
    std::deque<waiting_request>& queue, const permit_request_key& key)
{
    return std::find_if(queue.begin(), queue.end(), [&](const auto& it) { return it.key == key; });
}

bool is_waiting(pool_dispatcher& d, const permit_request_key& key)
{
    return std::any_of(d.queues.begin(),
        d.queues.end(),
        [&](auto& it) { return find_waiting(it, key) != it.end(); });
}

void enqueue(pool_dispatcher& d, const ports::permit_request& request, core::mono_time now)
{
    auto& queue = d.queues[index_of(request.klass)];
    waiting_request it;
    it.key = {request.member, request.incarnation, request.request};
    it.zone = request.zone;
    it.klass = request.klass;
    it.arrived = now;
    it.deadline = now + std::min(request.time_left, limits_of(d.pool, request.klass).longest);
    it.expected = request.expected_run_time;
    it.avoid = request.avoid;
    it.queue_position = queue.size() + 1;
    d.next_wakeup_at = std::min(d.next_wakeup_at, it.deadline);
    queue.push_back(std::move(it));
}

void record_outcome(pool_dispatcher& d,
    const permit_record& permit,
    const ports::permit_return& back,
    core::mono_time now)
{
    auto& target = d.targets.at(permit.host);
    switch (back.outcome)
    {
    case ports::permit_outcome::unused:
        record_unused(target, permit.probe);
        break;
    case ports::permit_outcome::answered:
        record_success(d, target, permit.probe);
        if (permit.klass)
        {
            record_run_time(d.times[index_of(*permit.klass)].run, back.elapsed);
        }
        break;
    case ports::permit_outcome::failed:
    case ports::permit_outcome::unanswered:
        record_failure(d, target, permit.probe, now);
        break;
    }
}

/// Keeps the slot of a returned permit whose request may still be running at the target. If the
/// slot were freed at once, the target could get one request more than it has slots. The slot stays
/// taken for as long as nearly all such requests run, and not longer: under overload many calls are
/// cut at their deadlines, and slots that wait for the worst case would prolong the overload for
/// the next requests. A drain waits for the worst case.
void keep_slot_while_running(pool_dispatcher& d, permit_record& permit, core::mono_time now)
{
    permit.may_still_run = true;
    permit.expires_at = now + d.settings.max_run_after_disconnect;
    permit.slot_free_at = now + expected_run_after_disconnect(d, permit.klass);
    d.next_wakeup_at = std::min(d.next_wakeup_at, permit.slot_free_at);
}

void accept_return(pool_dispatcher& d,
    std::map<permit_request_key, permit_record>::iterator it,
    const ports::permit_return& back,
    core::mono_time now)
{
    close_withdrawn_request(d, it->first, now);
    if (it->second.may_still_run)
    {
        return;
    }
    record_outcome(d, it->second, back, now);
    if (back.outcome == ports::permit_outcome::unanswered)
    {
        keep_slot_while_running(d, it->second, now);
        return;
    }
    release(d, it);
}

/// \return the answer to a permit request that was answered before. Without it a repeat would get a
/// second permit, and the sender, which has a record of one permit only, would never return the
/// other.
std::optional<ports::permit_reply> earlier_answer(
    const pool_dispatcher& d, const permit_request_key& key, core::mono_time now)
{
    const auto held = d.permits.find(key);
    if (held != d.permits.end())
    {
        return held->second.may_still_run
                   ? refusal_reply(refusal::withdrawn, d.settings.min_retry_after)
                   : held->second.reply;
    }
    const auto over = d.closed_requests.find(key);
    if (over != d.closed_requests.end() && over->second.until > now)
    {
        return over->second.reply;
    }
    return std::nullopt;
}

} // namespace

bool permit_request_key::operator<(const permit_request_key& other) const
{
    return std::tie(request, member, incarnation) <
           std::tie(other.request, other.member, other.incarnation);
}

void set_epoch(pool_dispatcher& d, ports::epoch_number epoch)
{
    d.epoch = std::max(d.epoch, epoch);
}

permit_answers on_request(
    pool_dispatcher& d, const ports::permit_request& request, core::mono_time now)
{
    permit_answers out;
    const permit_request_key key{request.member, request.incarnation, request.request};
    if (is_waiting(d, key))
    {
        return out;
    }
    if (const auto earlier = earlier_answer(d, key, now))
    {
        out.push_back({key, *earlier});
        return out;
    }
    // A sender with a newer roster may use permits of another owner, which this owner can't count.
    if (!d.hosts_known || !is_ready(d) || request.epoch > d.epoch)
    {
        refuse(d, key, refusal::not_ready, d.settings.not_ready_retry_after, now, out);
        return out;
    }
    const auto decision = admit(d, request, now);
    if (decision.refused)
    {
        refuse(d, key, *decision.refused, decision.retry_after, now, out);
        return out;
    }
    enqueue(d, request, now);
    grant_waiting(d, now, out);
    return out;
}

permit_answers on_return(pool_dispatcher& d, const ports::permit_return& back, core::mono_time now)
{
    permit_answers out;
    const permit_request_key key{back.member, back.incarnation, back.request};
    for (auto& queue : d.queues)
    {
        const auto it = find_waiting(queue, key);
        if (back.permit == 0 && it != queue.end())
        {
            queue.erase(it);
        }
    }
    const auto held = d.permits.find(key);
    if (held != d.permits.end())
    {
        accept_return(d, held, back, now);
    }
    else if (back.permit == 0)
    {
        close_withdrawn_request(d, key, now); // the request may arrive after its own withdrawal
    }
    remove_unused_targets(d, now);
    grant_waiting(d, now, out);
    return out;
}

permit_answers on_member_lost(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    bool proven,
    core::mono_time now)
{
    permit_answers out;
    const auto its_own = [&](const permit_request_key& it)
    {
        return it.member == member && it.incarnation == incarnation;
    };
    for (auto& queue : d.queues)
    {
        std::erase_if(queue, [&](const auto& it) { return its_own(it.key); });
    }
    if (proven)
    {
        record_process_ended(d, member, incarnation, now);
    }
    for (auto& [key, permit] : d.permits)
    {
        if (proven && !permit.may_still_run && its_own(key))
        {
            record_unused(d.targets.at(permit.host), permit.probe);
            close_withdrawn_request(d, key, now);
            keep_slot_while_running(d, permit, now);
        }
    }
    grant_waiting(d, now, out);
    return out;
}

permit_answers on_tick(pool_dispatcher& d, core::mono_time now)
{
    permit_answers out;
    expire_permits(d, now);
    expire_reservations(d, now);
    if (!d.take_over.missing_reports.empty() && d.take_over.report_deadline <= now)
    {
        stop_waiting_for_reports(d, now);
    }
    remove_unused_targets(d, now);
    grant_waiting(d, now, out);
    d.next_wakeup_at = earliest_wakeup(d, now);
    return out;
}

core::mono_time next_wakeup(const pool_dispatcher& d)
{
    return d.next_wakeup_at;
}

std::size_t waiting(const pool_dispatcher& d, ports::request_class klass)
{
    return d.queues[index_of(klass)].size();
}

} // namespace camphorhitch::dispatch
