#include "choice.hpp"

#include "health.hpp"

#include <algorithm>
#include <numeric>

namespace camphorhitch::dispatch
{

namespace
{

bool contains(const std::vector<std::string>& names, const std::string& it)
{
    return std::find(names.begin(), names.end(), it) != names.end();
}

/// \return the number of permits of \p klass and of the less urgent classes.
int slower_in_use(const target_state& target, ports::request_class klass)
{
    const auto from = target.in_use.begin() + static_cast<std::ptrdiff_t>(index_of(klass));
    return std::accumulate(from, target.in_use.end(), 0);
}

/// \return whether one more permit of \p klass leaves the slots free that are reserved for quicker
/// classes. The less urgent classes never hold all slots of a target, so that a quick request does
/// not have to wait for the end of a long one.
bool keeps_reserved_slots(
    const pool_dispatcher& d, const target_state& target, ports::request_class klass)
{
    const auto reserved = std::min(limits_of(d.pool, klass).reserved_slots, target.slots - 1);
    return slower_in_use(target, klass) + 1 <= target.slots - std::max(0, reserved);
}

bool has_free_slot(const pool_dispatcher& d,
    const target_state& target,
    ports::request_class klass,
    core::mono_time now)
{
    const auto limit = std::min(target.slots, health_limit(target, now));
    return target.serving && slots_taken(target, now) < limit &&
           keeps_reserved_slots(d, target, klass);
}

/// \return whether the pool has a target that takes requests and that the request does not avoid.
/// If there is none, a target at which the request failed before is better than no target.
bool has_other_target(const pool_dispatcher& d, const waiting_request& request)
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

} // namespace

int slots_taken(const target_state& target, core::mono_time now)
{
    int n = std::accumulate(target.in_use.begin(), target.in_use.end(), target.inherited);
    for (const auto& it : target.reservations)
    {
        n += it.until > now ? it.slots : 0;
    }
    return n;
}

target_state* choose_target(pool_dispatcher& d, const waiting_request& request, core::mono_time now)
{
    const bool avoid = !request.avoid.empty() && has_other_target(d, request);
    target_state* best = nullptr;
    double best_load = 0;
    for (auto& [name, it] : d.targets)
    {
        if (!has_free_slot(d, it, request.klass, now) ||
            (avoid && contains(request.avoid, it.host)))
        {
            continue;
        }
        if (would_probe(it, now))
        {
            return &it; // a due probe goes first; otherwise a busy pool would never send one
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

bool has_free_target(const pool_dispatcher& d, ports::request_class klass, core::mono_time now)
{
    return std::any_of(d.targets.begin(),
        d.targets.end(),
        [&](const auto& it) { return has_free_slot(d, it.second, klass, now); });
}

} // namespace camphorhitch::dispatch
