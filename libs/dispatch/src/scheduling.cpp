#include "scheduling.hpp"

#include "admission.hpp"
#include "choice.hpp"
#include "core/invariant.hpp"
#include "dispatch/take_over.hpp"
#include "health.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace camphorhitch::dispatch
{

namespace
{

constexpr std::array<ports::request_class, class_count> by_urgency{
    ports::request_class::quick, ports::request_class::normal, ports::request_class::long_running};

/// The invariant of permits: recounted from the permits themselves, not from the counters that the
/// choice was made by.
void check_target(const pool_dispatcher& d, const target_state& target, core::mono_time now)
{
    int held = 0;
    for (const auto& [key, it] : d.permits)
    {
        held += it.counted && it.host == target.host ? 1 : 0;
    }
    for (const auto& it : target.reserves)
    {
        held += it.until > now ? it.slots : 0;
    }
    core::require(held <= target.slots, "more permits on a target than slots", target.host);
    core::require(target.serving, "permit granted on a host that takes none", target.host);
}

void grant(pool_dispatcher& d,
    target_state& target,
    const waiting_request& request,
    core::mono_time now,
    permit_answers& out)
{
    const auto& settings = d.settings;
    permit_record made;
    made.host = target.host;
    made.klass = request.klass;
    made.bound = std::max(request.deadline, now) + use_after_deadline(settings);
    made.probe = would_probe(target, now);
    made.reply.verdict = ports::permit_verdict::granted;
    made.reply.permit = d.next_permit++;
    made.reply.host = target.host;
    made.reply.address = target.address;
    made.reply.waited = std::chrono::floor<core::millis>(now - request.arrived);
    target.health.probing = target.health.probing || made.probe;
    target.in_use[index_of(request.klass)] += 1;
    d.counters.granted += 1;
    d.counters.probes += made.probe ? 1 : 0;
    d.wake = std::min(d.wake, made.bound);
    out.push_back({request.key, made.reply});
    d.permits.insert_or_assign(request.key, std::move(made));
    check_target(d, target, now);
}

/// Grants the first request of the queue that has a target. Those that wait only for a target which
/// they don't avoid are passed over.
bool grant_one_of(
    pool_dispatcher& d, ports::request_class klass, core::mono_time now, permit_answers& out)
{
    auto& queue = d.queues[index_of(klass)];
    if (queue.empty() || !any_room(d, klass, now))
    {
        return false;
    }
    for (auto it = queue.begin(); it != queue.end(); ++it)
    {
        if (auto* target = choose_target(d, *it, now))
        {
            if (now > it->arrived)
            {
                note_wait(d, *it, now);
            }
            grant(d, *target, *it, now, out);
            queue.erase(it);
            return true;
        }
    }
    return false;
}

int in_use_of(const pool_dispatcher& d, ports::request_class klass)
{
    return std::accumulate(d.targets.begin(),
        d.targets.end(),
        0,
        [&](int n, const auto& it) { return n + it.second.in_use[index_of(klass)]; });
}

int slots_of(const pool_dispatcher& d)
{
    return std::accumulate(d.targets.begin(),
        d.targets.end(),
        0,
        [](int n, const auto& it) { return n + (it.second.serving ? it.second.slots : 0); });
}

/// A less urgent class would wait for ever beside a steady stream of quick requests. A request that
/// waited for a share of its deadline goes first, as long as its class holds few slots: so the
/// class moves on, and an overload of aged requests can't push the quick ones out.
bool aged_goes_first(const pool_dispatcher& d, ports::request_class klass, core::mono_time now)
{
    const auto& queue = d.queues[index_of(klass)];
    if (klass == ports::request_class::quick || queue.empty())
    {
        return false;
    }
    const auto whole = queue.front().deadline - queue.front().arrived;
    const auto waited = now - queue.front().arrived;
    const auto floor = static_cast<int>(std::ceil(slots_of(d) * d.settings.aged_slots));
    return static_cast<double>(waited.count()) >=
               d.settings.aged_share * static_cast<double>(whole.count()) &&
           in_use_of(d, klass) < floor;
}

bool grant_next(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    for (const auto klass : by_urgency)
    {
        if (aged_goes_first(d, klass, now) && grant_one_of(d, klass, now, out))
        {
            return true;
        }
    }
    return std::any_of(by_urgency.begin(),
        by_urgency.end(),
        [&](ports::request_class klass) { return grant_one_of(d, klass, now, out); });
}

/// Whether a request that waited can't be answered in time any more: running it would take a slot
/// for nothing. One that has just come runs whatever the mean run time says; if it didn't, a mean
/// above the deadlines would refuse all that come, and nothing would run to bring the mean down.
bool is_late(const pool_dispatcher& d, const waiting_request& it, core::mono_time now)
{
    const bool waited = now > it.arrived;
    const auto run = waited ? expected_service(d, it.klass, core::millis{0}) : core::micros{0};
    return now + run >= it.deadline;
}

void refuse_late(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    for (auto& queue : d.queues)
    {
        for (std::size_t i = 0; i < queue.size();)
        {
            const auto& it = queue[i];
            if (!is_late(d, it, now))
            {
                ++i;
                continue;
            }
            const auto wait = expected_wait(d, it.klass, queue.size());
            refuse(d, it.key, refusal::expired, bounded_retry_after(d, wait), now, out);
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
}

void close_ask(
    pool_dispatcher& d, const ask_key& key, const ports::permit_reply& reply, core::mono_time now)
{
    while (!d.closed_order.empty() && d.closed[d.closed_order.front()].until <= now)
    {
        d.closed.erase(d.closed_order.front());
        d.closed_order.pop_front();
    }
    if (d.closed.emplace(key, closed_ask{now + d.settings.answer_memory, reply}).second)
    {
        d.closed_order.push_back(key);
    }
}

void refuse_all_waiting(pool_dispatcher& d, refusal why, core::mono_time now, permit_answers& out)
{
    for (auto& queue : d.queues)
    {
        for (const auto& it : queue)
        {
            refuse(d, it.key, why, d.settings.no_target_retry_after, now, out);
        }
        queue.clear();
    }
}

bool none_serving(const pool_dispatcher& d)
{
    return std::none_of(
        d.targets.begin(), d.targets.end(), [](const auto& it) { return it.second.serving; });
}

} // namespace

ports::permit_reply refusal_reply(refusal why, core::millis retry_after)
{
    ports::permit_reply out;
    out.verdict = why == refusal::not_ready ? ports::permit_verdict::not_ready
                                            : ports::permit_verdict::refused;
    out.reason = core::name_of(refusal_names, why);
    out.retry_after = retry_after;
    return out;
}

void close_given_up(pool_dispatcher& d, const ask_key& key, core::mono_time now)
{
    close_ask(d, key, refusal_reply(refusal::given_up, d.settings.shortest_retry_after), now);
}

void refuse(pool_dispatcher& d,
    const ask_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out)
{
    const auto reply = refusal_reply(why, retry_after);
    d.counters.refused += 1;
    if (why != refusal::not_ready)
    {
        close_ask(d, key, reply, now);
    }
    out.push_back({key, reply});
}

void free_slot(pool_dispatcher& d, permit_record& permit)
{
    if (!permit.counted)
    {
        return;
    }
    permit.counted = false;
    const auto target = d.targets.find(permit.host);
    core::require(target != d.targets.end(), "permit on a target that is not known", permit.host);
    auto& count =
        permit.klass ? target->second.in_use[index_of(*permit.klass)] : target->second.taken_over;
    core::require(count > 0, "more permits returned than granted", permit.host);
    count -= 1;
}

void release(pool_dispatcher& d, std::map<ask_key, permit_record>::iterator it)
{
    free_slot(d, it->second);
    d.permits.erase(it);
}

void serve(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    if (!d.hosts_known || !is_ready(d))
    {
        return;
    }
    if (none_serving(d))
    {
        refuse_all_waiting(d, refusal::no_target, now, out);
        return;
    }
    refuse_late(d, now, out);
    while (grant_next(d, now, out))
    {
    }
}

} // namespace camphorhitch::dispatch
