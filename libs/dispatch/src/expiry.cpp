#include "expiry.hpp"

#include "choice.hpp"
#include "health.hpp"
#include "scheduling.hpp"

#include <algorithm>

namespace camphorhitch::dispatch
{

void expire_permits(pool_dispatcher& d, core::mono_time now)
{
    for (auto it = d.permits.begin(); it != d.permits.end();)
    {
        const auto next = std::next(it);
        if (it->second.lingering && it->second.slot_until <= now)
        {
            free_slot(d, it->second);
        }
        if (it->second.bound <= now)
        {
            if (!it->second.lingering)
            {
                d.counters.expired += 1;
                note_failure(d, d.targets.at(it->second.host), it->second.probe, now);
                close_given_up(d, it->first, now);
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
    std::erase_if(d.take_over.unheard, [&](const auto& it) { return it.second <= now; });
}

void forget_unused(pool_dispatcher& d, core::mono_time now)
{
    std::erase_if(d.targets,
        [&](const auto& it) { return !it.second.serving && slots_taken(it.second, now) == 0; });
}

core::mono_time earliest_wake(const pool_dispatcher& d, core::mono_time now)
{
    auto out = core::mono_time::max();
    for (const auto& [key, it] : d.permits)
    {
        out = std::min(out, it.lingering && it.counted ? it.slot_until : it.bound);
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
        if (target.health.state == health_state::ejected && target.health.probe_at > now)
        {
            out = std::min(out, target.health.probe_at);
        }
    }
    for (const auto& [name, until] : d.take_over.unheard)
    {
        out = std::min(out, until);
    }
    return d.take_over.missing.empty() ? out : std::min(out, d.take_over.answers_by);
}

} // namespace camphorhitch::dispatch
