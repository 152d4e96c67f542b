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
        if (it->second.may_still_run && it->second.slot_free_at <= now)
        {
            free_slot(d, it->second);
        }
        if (it->second.expires_at <= now)
        {
            if (!it->second.may_still_run)
            {
                d.counters.expired += 1;
                record_failure(d, d.targets.at(it->second.host), it->second.probe, now);
                close_withdrawn_request(d, it->first, now);
            }
            release(d, it);
        }
        it = next;
    }
}

void expire_reservations(pool_dispatcher& d, core::mono_time now)
{
    for (auto& [name, target] : d.targets)
    {
        std::erase_if(target.reservations, [&](const auto& it) { return it.until <= now; });
    }
    std::erase_if(d.take_over.uncounted_until, [&](const auto& it) { return it.second <= now; });
}

void remove_unused_targets(pool_dispatcher& d, core::mono_time now)
{
    std::erase_if(d.targets,
        [&](const auto& it) { return !it.second.serving && slots_taken(it.second, now) == 0; });
}

core::mono_time earliest_wakeup(const pool_dispatcher& d, core::mono_time now)
{
    auto out = core::mono_time::max();
    for (const auto& [key, it] : d.permits)
    {
        out = std::min(out, it.may_still_run && it.holds_slot ? it.slot_free_at : it.expires_at);
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
        for (const auto& it : target.reservations)
        {
            out = std::min(out, it.until);
        }
        if (target.health.state == health_state::ejected && target.health.probe_at > now)
        {
            out = std::min(out, target.health.probe_at);
        }
    }
    for (const auto& [name, until] : d.take_over.uncounted_until)
    {
        out = std::min(out, until);
    }
    return d.take_over.missing_reports.empty() ? out : std::min(out, d.take_over.report_deadline);
}

} // namespace camphorhitch::dispatch
