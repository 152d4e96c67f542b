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
    std::deque<waiting_request>& queue, const ask_key& key)
{
    return std::find_if(queue.begin(), queue.end(), [&](const auto& it) { return it.key == key; });
}

bool is_waiting(pool_dispatcher& d, const ask_key& key)
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
    it.expected = request.expected;
    it.avoid = request.avoid;
    it.ahead = queue.size() + 1;
    d.wake = std::min(d.wake, it.deadline);
    queue.push_back(std::move(it));
}

void note_outcome(pool_dispatcher& d,
    const permit_record& permit,
    const ports::permit_return& back,
    core::mono_time now)
{
    auto& target = d.targets.at(permit.host);
    switch (back.outcome)
    {
    case ports::permit_outcome::unused:
        note_unused(target, permit.probe);
        break;
    case ports::permit_outcome::answered:
        note_success(d, target, permit.probe);
        if (permit.klass)
        {
            note_run(d.times[index_of(*permit.klass)].run, back.elapsed);
        }
        break;
    case ports::permit_outcome::failed:
    case ports::permit_outcome::silent:
        note_failure(d, target, permit.probe, now);
        break;
    }
}

/// A call that ended unheard may still run at the target, which would then see one request more
/// than its slots. Its slot stays taken for as long as such requests mostly run. Not for longer:
/// under overload many calls are cut at their deadlines, and slots that wait for the worst case
/// were the overload's cause for the next requests. A drain waits for the worst case.
void linger(pool_dispatcher& d, permit_record& permit, core::mono_time now)
{
    permit.lingering = true;
    permit.bound = now + d.settings.silent_linger;
    permit.slot_until = now + expected_linger(d, permit.klass);
    d.wake = std::min(d.wake, permit.slot_until);
}

void give_back(pool_dispatcher& d,
    std::map<ask_key, permit_record>::iterator it,
    const ports::permit_return& back,
    core::mono_time now)
{
    close_given_up(d, it->first, now);
    if (it->second.lingering)
    {
        return;
    }
    note_outcome(d, it->second, back, now);
    if (back.outcome == ports::permit_outcome::silent)
    {
        linger(d, it->second, now);
        return;
    }
    release(d, it);
}

/// \return the answer to an ask that came before. Without it a repeat would get a second permit,
/// and the sender, which knows of one only, would never return the other.
std::optional<ports::permit_reply> earlier_answer(
    const pool_dispatcher& d, const ask_key& key, core::mono_time now)
{
    const auto held = d.permits.find(key);
    if (held != d.permits.end())
    {
        return held->second.lingering
                   ? refusal_reply(refusal::given_up, d.settings.shortest_retry_after)
                   : held->second.reply;
    }
    const auto over = d.closed.find(key);
    if (over != d.closed.end() && over->second.until > now)
    {
        return over->second.reply;
    }
    return std::nullopt;
}

} // namespace

bool ask_key::operator<(const ask_key& other) const
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
    const ask_key key{request.member, request.incarnation, request.request};
    if (is_waiting(d, key))
    {
        return out;
    }
    if (const auto earlier = earlier_answer(d, key, now))
    {
        out.push_back({key, *earlier});
        return out;
    }
    // A sender that knows a newer roster may follow another owner, whose permits we can't count.
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
    serve(d, now, out);
    return out;
}

permit_answers on_return(pool_dispatcher& d, const ports::permit_return& back, core::mono_time now)
{
    permit_answers out;
    const ask_key key{back.member, back.incarnation, back.request};
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
        give_back(d, held, back, now);
    }
    else if (back.permit == 0)
    {
        close_given_up(d, key, now); // the ask itself may come later than its own withdrawal
    }
    forget_unused(d, now);
    serve(d, now, out);
    return out;
}

permit_answers on_member_lost(pool_dispatcher& d,
    const std::string& member,
    const std::string& incarnation,
    bool proven,
    core::mono_time now)
{
    permit_answers out;
    const auto its_own = [&](const ask_key& it)
    {
        return it.member == member && it.incarnation == incarnation;
    };
    for (auto& queue : d.queues)
    {
        std::erase_if(queue, [&](const auto& it) { return its_own(it.key); });
    }
    if (proven)
    {
        note_gone(d, member, incarnation, now);
    }
    for (auto& [key, permit] : d.permits)
    {
        if (proven && !permit.lingering && its_own(key))
        {
            note_unused(d.targets.at(permit.host), permit.probe);
            close_given_up(d, key, now);
            linger(d, permit, now);
        }
    }
    serve(d, now, out);
    return out;
}

permit_answers on_tick(pool_dispatcher& d, core::mono_time now)
{
    permit_answers out;
    expire_permits(d, now);
    expire_reserves(d, now);
    if (!d.take_over.missing.empty() && d.take_over.answers_by <= now)
    {
        end_waiting_for_reports(d, now);
    }
    forget_unused(d, now);
    serve(d, now, out);
    d.wake = earliest_wake(d, now);
    return out;
}

core::mono_time next_wakeup(const pool_dispatcher& d)
{
    return d.wake;
}

std::size_t waiting(const pool_dispatcher& d, ports::request_class klass)
{
    return d.queues[index_of(klass)].size();
}

} // namespace camphorhitch::dispatch
