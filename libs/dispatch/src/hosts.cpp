#include "choice.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/take_over.hpp"
#include "expiry.hpp"
#include "health.hpp"
#include "scheduling.hpp"
#include "take_over_parts.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

namespace
{

bool is_not_live(const ports::live_list& live, const std::string& host)
{
    return std::any_of(live.hosts.begin(),
        live.hosts.end(),
        [&](const auto& it) { return it.id == host && it.state != ports::live_state::live; });
}

void update_target(pool_dispatcher& d, const model::host_record& from, const ports::live_list& live)
{
    auto& it = d.targets[from.id];
    const bool moved = it.address != from.target;
    it.host = from.id;
    it.zone = from.zone;
    it.address = from.target;
    it.slots = std::max(0, std::min(from.slots, from.connections));
    it.serving = from.state == model::host_state::serving && !from.target.empty() && it.slots > 0 &&
                 !is_not_live(live, from.id);
    if (moved)
    {
        it.health = target_health{};
    }
}

} // namespace

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
        update_target(d, it, live);
    }
    d.hosts_known = true;
    remove_unused_targets(d, now);
    limit_ejections(d);
    grant_waiting(d, now, out);
    return out;
}

void set_pool(pool_dispatcher& d, const model::pool_config& pool)
{
    d.pool = pool;
}

host_use outstanding_on(const pool_dispatcher& d, const std::string& host, core::mono_time now)
{
    host_use out;
    out.uncounted = !d.hosts_known || !is_ready(d) || has_uncounted_permits(d, now);
    int counted = 0;
    for (const auto& [key, permit] : d.permits)
    {
        const bool here = permit.host == host;
        out.permits += here ? 1 : 0;
        counted += here && permit.holds_slot ? 1 : 0;
    }
    const auto it = d.targets.find(host);
    out.reserved = it == d.targets.end() ? 0 : slots_taken(it->second, now) - counted;
    return out;
}

bool is_certainly_idle(const host_use& use)
{
    return use.permits == 0 && use.reserved == 0 && !use.uncounted;
}

int idle_connections(const model::host_record& host, std::size_t members)
{
    const auto spare = std::max(0, host.connections - host.slots);
    return members == 0 ? spare : spare / static_cast<int>(members);
}

} // namespace camphorhitch::dispatch
