#include "dispatch/dispatcher.hpp"

#include "admission.hpp"
#include "dispatch/take_over.hpp"
#include "health.hpp"
#include "scheduling.hpp"
#include "take_over_parts.hpp"

#include <algorithm>
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

bool is_withheld(const ports::live_list& live, const std::string& host)
{
    return std::any_of(live.hosts.begin(),
        live.hosts.end(),
        [&](const auto& it) { return it.id == host && it.state != ports::live_state::live; });
}

void take_host(pool_dispatcher& d, const model::host_record& from, const ports::live_list& live)
{
    auto& it = d.targets[from.id];
    const bool moved = it.address != from.target;
    it.host = from.id;
    it.zone = from.zone;
    it.address = from.target;
    it.slots = std::max(0, std::min(from.slots, from.connections));
    it.serving = from.state == model::host_state::serving && !from.target.empty() && it.slots > 0 &&
                 !is_withheld(live, from.id);
    if (moved)
    {
        it.health = target_health{};
    }
}

/// A host out of sight is kept while permits for it are out: they still have to come back.
void forget_unused(pool_dispatcher& d, core::mono_time now)
{
    std::erase_if(d.targets,
        [&](const auto& it) { return !it.second.serving && slots_taken(it.second, now) == 0; });
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

void serve_when_ready(pool_dispatcher& d, core::mono_time now, permit_answers& out)
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
    serve(d, now, out);
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
            note_service(d, *permit.klass, back.elapsed);
        }
        break;
    case ports::permit_outcome::failed:
    case ports::permit_outcome::silent:
        note_failure(d, target, permit.probe, now);
        break;
    }
}

/// A call that ended unheard may still run at the target, which would then see one request more
/// than its slots. Its slot stays taken for a while; a target gives up a request whose connection
/// was closed, or has finished it by then.
void linger(pool_dispatcher& d, permit_record& permit, core::mono_time now)
{
    permit.lingering = true;
    permit.bound = std::min(permit.bound, now + d.settings.silent_linger);
    d.wake = std::min(d.wake, permit.bound);
}

void give_back(pool_dispatcher& d,
    std::map<ask_key, permit_record>::iterator it,
    const ports::permit_return& back,
    core::mono_time now)
{
    close_ask(d, it->first, now);
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

void expire_permits(pool_dispatcher& d, core::mono_time now)
{
    for (auto it = d.permits.begin(); it != d.permits.end();)
    {
        const auto next = std::next(it);
        if (it->second.bound <= now)
        {
            if (!it->second.lingering)
            {
                d.counters.expired += 1;
                note_failure(d, d.targets.at(it->second.host), it->second.probe, now);
                close_ask(d, it->first, now);
            }
            release(d, it);
        }
        it = next;
    }
}

void expire_reserves(pool_dispatcher& d, core::mono_time now)
{
    for (auto& [name, target] : d.targets)
    {
        std::erase_if(target.reserves, [&](const auto& it) { return it.until <= now; });
    }
    if (d.take_over.unknown_holders && d.take_over.gone_by <= now)
    {
        d.take_over.unknown_holders = false;
    }
}

core::mono_time earliest_wake(const pool_dispatcher& d)
{
    auto out = core::mono_time::max();
    for (const auto& [key, it] : d.permits)
    {
        out = std::min(out, it.bound);
    }
    for (const auto& queue : d.queues)
    {
        for (const auto& it : queue)
        {
            out = std::min(out, it.deadline);
        }
    }
    for (const auto& [name, target] : d.targets)
    {
        for (const auto& it : target.reserves)
        {
            out = std::min(out, it.until);
        }
        const bool probe_due = target.health.state == health_state::ejected &&
                               !target.health.probing && target.serving;
        out = probe_due ? std::min(out, target.health.probe_at) : out;
    }
    if (!d.take_over.missing.empty())
    {
        out = std::min(out, d.take_over.answers_by);
    }
    return d.take_over.unknown_holders ? std::min(out, d.take_over.gone_by) : out;
}

} // namespace

dispatcher_builder& dispatcher_builder::pool(model::pool_config it)
{
    made_.pool = std::move(it);
    return *this;
}

dispatcher_builder& dispatcher_builder::settings(dispatcher_settings it)
{
    made_.settings = it;
    return *this;
}

dispatcher_builder& dispatcher_builder::epoch(ports::epoch_number it)
{
    made_.epoch = it;
    return *this;
}

dispatcher_builder& dispatcher_builder::first_permit(std::uint64_t it)
{
    made_.next_permit = it;
    return *this;
}

std::variant<pool_dispatcher, core::findings> dispatcher_builder::build() const
{
    auto wrong = check(made_.settings, "dispatcher settings");
    if (made_.pool.name.empty())
    {
        wrong.push_back({{"dispatcher", "", 0, 0}, "the pool has no name", ""});
    }
    if (made_.next_permit == 0)
    {
        wrong.push_back({{"dispatcher", "", 0, 0}, "permit 0 means none", ""});
    }
    if (!wrong.empty())
    {
        return wrong;
    }
    auto out = made_;
    out.retries.tokens = out.settings.retry_burst;
    return out;
}

permit_answers set_hosts(pool_dispatcher& d,
    const model::pool_document& document,
    const ports::live_list& live,
    core::mono_time now)
{
    permit_answers out;
    for (auto& [name, it] : d.targets)
    {
        it.serving = false;
    }
    for (const auto& it : document.hosts)
    {
        take_host(d, it, live);
    }
    d.hosts_known = true;
    forget_unused(d, now);
    bound_ejections(d);
    serve_when_ready(d, now, out);
    return out;
}

void set_pool(pool_dispatcher& d, const model::pool_config& pool)
{
    d.pool = pool;
}

permit_answers on_request(
    pool_dispatcher& d, const ports::permit_request& request, core::mono_time now)
{
    permit_answers out;
    const ask_key key{request.member, request.incarnation, request.request};
    if (const auto held = d.permits.find(key); held != d.permits.end() && !held->second.lingering)
    {
        out.push_back({key, held->second.reply});
        return out;
    }
    if (is_waiting(d, key))
    {
        return out;
    }
    if (const auto over = d.closed.find(key); over != d.closed.end() && over->second > now)
    {
        refuse(d, key, refusal::given_up, d.settings.shortest_retry_after, now, out);
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
    serve_when_ready(d, now, out);
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
        close_ask(d, key, now); // the ask itself may come later than its own withdrawal
    }
    forget_unused(d, now);
    serve_when_ready(d, now, out);
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
    for (auto& [key, permit] : d.permits)
    {
        if (proven && !permit.lingering && its_own(key))
        {
            note_unused(d.targets.at(permit.host), permit.probe);
            linger(d, permit, now);
        }
    }
    serve_when_ready(d, now, out);
    return out;
}

permit_answers on_tick(pool_dispatcher& d, core::mono_time now)
{
    permit_answers out;
    expire_permits(d, now);
    expire_reserves(d, now);
    if (!d.take_over.missing.empty() && d.take_over.answers_by <= now)
    {
        end_waiting_for_reports(d);
    }
    forget_unused(d, now);
    serve_when_ready(d, now, out);
    d.wake = earliest_wake(d);
    return out;
}

core::mono_time next_wakeup(const pool_dispatcher& d)
{
    return d.wake;
}

host_use outstanding_on(const pool_dispatcher& d, const std::string& host, core::mono_time now)
{
    host_use out;
    out.unknown = !d.hosts_known || !is_ready(d) ||
                  (d.take_over.unknown_holders && now < d.take_over.gone_by);
    const auto it = d.targets.find(host);
    if (it == d.targets.end())
    {
        return out;
    }
    for (const auto& [key, permit] : d.permits)
    {
        out.permits += permit.host == host ? 1 : 0;
    }
    out.reserved = slots_taken(it->second, now) - out.permits;
    return out;
}

bool is_quiet(const host_use& use)
{
    return use.permits == 0 && use.reserved == 0 && !use.unknown;
}

std::size_t waiting(const pool_dispatcher& d, ports::request_class klass)
{
    return d.queues[index_of(klass)].size();
}

int idle_connections(const model::host_record& host, std::size_t members)
{
    const auto spare = std::max(0, host.connections - host.slots);
    return members == 0 ? spare : spare / static_cast<int>(members);
}

} // namespace camphorhitch::dispatch
