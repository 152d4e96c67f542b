#include "scheduling.hpp"

#include "admission.hpp"
#include "core/invariant.hpp"
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

bool contains(const std::vector<std::string>& names, const std::string& it)
{
    return std::find(names.begin(), names.end(), it) != names.end();
}

/// Permits of \p klass and of the classes that are less urgent.
int slower_in_use(const target_state& target, ports::request_class klass)
{
    const auto from = target.in_use.begin() + static_cast<std::ptrdiff_t>(index_of(klass));
    return std::accumulate(from, target.in_use.end(), 0);
}

/// The less urgent classes never hold all slots of a target, so that a quick request does not have
/// to wait for the end of a long one.
bool leaves_reserve(
    const pool_dispatcher& d, const target_state& target, ports::request_class klass)
{
    const auto reserved = std::min(limits_of(d.pool, klass).reserved_slots, target.slots - 1);
    return slower_in_use(target, klass) + 1 <= target.slots - std::max(0, reserved);
}

bool has_room(const pool_dispatcher& d,
    const target_state& target,
    ports::request_class klass,
    core::mono_time now)
{
    const auto limit = std::min(target.slots, health_limit(target, now));
    return target.serving && slots_taken(target, now) < limit && leaves_reserve(d, target, klass);
}

/// Whether the pool has a target that takes requests and that the request doesn't avoid. When it
/// has none, a target that failed the request already is better than no target.
bool can_avoid(const pool_dispatcher& d, const waiting_request& request)
{
    return std::any_of(d.targets.begin(),
        d.targets.end(),
        [&](const auto& it)
        {
            const auto& target = it.second;
            return target.serving && target.health.state != health_state::ejected &&
                   !contains(request.avoid, target.host);
        });
}

double load_of(const pool_dispatcher& d,
    const target_state& target,
    const std::string& zone,
    core::mono_time now)
{
    const auto share = static_cast<double>(slots_taken(target, now)) / target.slots;
    return share + (target.zone == zone ? 0 : d.settings.zone_penalty);
}

/// \return the target for \p request, or nullptr while none has room for it.
target_state* choose_target(pool_dispatcher& d, const waiting_request& request, core::mono_time now)
{
    const bool avoid = !request.avoid.empty() && can_avoid(d, request);
    target_state* best = nullptr;
    double best_load = 0;
    for (auto& [name, it] : d.targets)
    {
        if (!has_room(d, it, request.klass, now) || (avoid && contains(request.avoid, it.host)))
        {
            continue;
        }
        if (would_probe(it, now))
        {
            return &it; // a probe that is due goes first, or a busy pool would never have one
        }
        const auto load = load_of(d, it, request.zone, now);
        if (best == nullptr || load < best_load)
        {
            best = &it;
            best_load = load;
        }
    }
    return best;
}

bool any_room(const pool_dispatcher& d, ports::request_class klass, core::mono_time now)
{
    return std::any_of(d.targets.begin(),
        d.targets.end(),
        [&](const auto& it) { return has_room(d, it.second, klass, now); });
}

/// The invariant of permits: recounted from the permits themselves, not from the counters that the
/// choice was made by.
void check_target(const pool_dispatcher& d, const target_state& target, core::mono_time now)
{
    int held = 0;
    for (const auto& [key, it] : d.permits)
    {
        held += it.host == target.host ? 1 : 0;
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
    made.bound = std::max(request.deadline, now) + settings.permit_ttl + settings.result_grace +
                 settings.clock_margin;
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

/// Refuses what can't be answered in time any more: running it would take a slot for nothing. A
/// mean run time is no reason here: a mean above the deadline would refuse all that come, and then
/// nothing would run that could bring the mean down.
void refuse_late(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    for (auto& queue : d.queues)
    {
        for (std::size_t i = 0; i < queue.size();)
        {
            const auto& it = queue[i];
            if (now < it.deadline)
            {
                ++i;
                continue;
            }
            const auto wait = expected_wait(d, it.klass, queue.size());
            refuse(d, it.key, refusal::deadline, bounded_retry_after(d, wait), now, out);
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
}

} // namespace

int slots_taken(const target_state& target, core::mono_time now)
{
    int n = std::accumulate(target.in_use.begin(), target.in_use.end(), target.taken_over);
    for (const auto& it : target.reserves)
    {
        n += it.until > now ? it.slots : 0;
    }
    return n;
}

void close_ask(pool_dispatcher& d, const ask_key& key, core::mono_time now)
{
    while (!d.closed_order.empty() && d.closed[d.closed_order.front()] <= now)
    {
        d.closed.erase(d.closed_order.front());
        d.closed_order.pop_front();
    }
    if (d.closed.emplace(key, now + d.settings.answer_memory).second)
    {
        d.closed_order.push_back(key);
    }
}

void refuse(pool_dispatcher& d,
    const ask_key& key,
    refusal why,
    core::millis retry_after,
    core::mono_time now,
    permit_answers& out)
{
    permit_answer it;
    it.to = key;
    it.reply.verdict = why == refusal::not_ready ? ports::permit_verdict::not_ready
                                                 : ports::permit_verdict::refused;
    it.reply.reason = core::name_of(refusal_names, why);
    it.reply.retry_after = retry_after;
    d.counters.refused += 1;
    if (why != refusal::not_ready)
    {
        close_ask(d, key, now);
    }
    out.push_back(std::move(it));
}

void release(pool_dispatcher& d, std::map<ask_key, permit_record>::iterator it)
{
    const auto target = d.targets.find(it->second.host);
    core::require(
        target != d.targets.end(), "permit on a target that is not known", it->second.host);
    auto& count = it->second.klass ? target->second.in_use[index_of(*it->second.klass)]
                                   : target->second.taken_over;
    core::require(count > 0, "more permits returned than granted", it->second.host);
    count -= 1;
    d.permits.erase(it);
}

void serve(pool_dispatcher& d, core::mono_time now, permit_answers& out)
{
    refuse_late(d, now, out);
    while (grant_next(d, now, out))
    {
    }
}

} // namespace camphorhitch::dispatch
