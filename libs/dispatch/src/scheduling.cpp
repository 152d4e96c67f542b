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

constexpr std::array<ports::request_class, class_count> classes_by_urgency{
    ports::request_class::quick, ports::request_class::normal, ports::request_class::long_running};

/// Checks that a target has no more permits than slots. The permits themselves are counted, not the
/// counters that the choice was based on.
void check_target(const pool_dispatcher& d, const target_state& target, core::mono_time now)
{
    int held = 0;
    for (const auto& [key, it] : d.permits)
    {
        held += it.holds_slot && it.host == target.host ? 1 : 0;
    }
    for (const auto& it : target.reservations)
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
    made.expires_at = std::max(request.deadline, now) + use_after_deadline(settings);
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
    d.next_wakeup_at = std::min(d.next_wakeup_at, made.expires_at);
    out.push_back({request.key, made.reply});
    d.permits.insert_or_assign(request.key, std::move(made));
    check_target(d, target, now);
}

/// Grants the first request of the queue that a target can take. Requests whose only free targets
/// are targets that they avoid are skipped.
bool grant_one_of(
    pool_dispatcher& d, ports::request_class klass, core::mono_time now, permit_answers& out)
{
    auto& queue = d.queues[index_of(klass)];
    if (queue.empty() || !has_free_target(d, klass, now))
    {
        return false;
    }
    for (auto it = queue.begin(); it != queue.end(); ++it)
    {
        if (auto* target = choose_target(d, *it, now))
        {
            if (now > it->arrived)
            {
                record_wait(d, *it, now);
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

/// \return whether the first request of the class is granted before quicker classes. A less urgent
/// class would starve beside a steady stream of quick requests. So a request that has waited for
/// aged_share of its deadline goes first while its class uses few slots. The class makes progress
/// in this way, and an overload of aged requests can't displace the quick ones.
bool goes_first_by_age(const pool_dispatcher& d, ports::request_class klass, core::mono_time now)
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
    for (const auto klass : classes_by_urgency)
    {
        if (goes_first_by_age(d, klass, now) && grant_one_of(d, klass, now, out))
        {
            return true;
        }
    }
    return std::any_of(classes_by_urgency.begin(),
        classes_by_urgency.end(),
        [&](ports::request_class klass) { return grant_one_of(d, klass, now, out); });
}

/// \return whether a request that has waited can't be answered in time any more, so that running it
/// would waste a slot. A request that has just arrived runs regardless of the mean run time.
/// Otherwise a mean above the deadlines would cause every request to be refused, and no request
/// would run to bring the mean down.
bool cannot_finish_in_time(const pool_dispatcher& d, const waiting_request& it, core::mono_time now)
{
    const bool waited = now > it.arrived;
    const auto run = waited ? expected_service(d, it.klass, core::millis{0}) : core::micros{0};
    return now + run >= it.deadline;
}

void refuse_overdue(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    for (auto& queue : d.queues)
    {
        for (std::size_t i = 0; i < queue.size();)
        {
            const auto& it = queue[i];
            if (!cannot_finish_in_time(d, it, now))
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

void close_request(pool_dispatcher& d,
    const permit_request_key& key,
    const ports::permit_reply& reply,
    core::mono_time now)
{
    while (!d.closed_order.empty() && d.closed_requests[d.closed_order.front()].until <= now)
    {
        d.closed_requests.erase(d.closed_order.front());
        d.closed_order.pop_front();
    }
    if (d.closed_requests
            .emplace(key, closed_request{now + d.settings.closed_request_retention, reply})
            .second)
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

void close_withdrawn_request(pool_dispatcher& d, const permit_request_key& key, core::mono_time now)
{
    close_request(d, key, refusal_reply(refusal::withdrawn, d.settings.min_retry_after), now);
}

void refuse(pool_dispatcher& d,
    const permit_request_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out)
{
    const auto reply = refusal_reply(why, retry_after);
    d.counters.refused += 1;
    if (why != refusal::not_ready)
    {
        close_request(d, key, reply, now);
    }
    out.push_back({key, reply});
}

void free_slot(pool_dispatcher& d, permit_record& permit)
{
    if (!permit.holds_slot)
    {
        return;
    }
    permit.holds_slot = false;
    const auto target = d.targets.find(permit.host);
    core::require(target != d.targets.end(), "permit on a target that is not known", permit.host);
    auto& count =
        permit.klass ? target->second.in_use[index_of(*permit.klass)] : target->second.inherited;
    core::require(count > 0, "more permits returned than granted", permit.host);
    count -= 1;
}

void release(pool_dispatcher& d, std::map<permit_request_key, permit_record>::iterator it)
{
    free_slot(d, it->second);
    d.permits.erase(it);
}

void grant_waiting(pool_dispatcher& d, core::mono_time now, permit_answers& out)
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
    refuse_overdue(d, now, out);
    while (grant_next(d, now, out))
    {
    }
}

} // namespace camphorhitch::dispatch
