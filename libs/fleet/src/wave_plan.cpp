#include "wave_plan.hpp"

#include "fleet/budget.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::fleet
{

using model::host_record;
using model::host_state;
using model::wave_document;

namespace
{

wave_host_status status_of(const host_record& h, const wave_document& w)
{
    if (h.state == host_state::failed)
    {
        return wave_host_status::failed;
    }
    if (h.last_wave == w.id)
    {
        return wave_host_status::done;
    }
    if (is_absent(h))
    {
        return h.wave == w.id ? wave_host_status::in_progress : wave_host_status::unavailable;
    }
    return is_borrowed(h) || !is_member(h) ? wave_host_status::unavailable
                                           : wave_host_status::pending;
}

bool by_location(const wave_host& a, const wave_host& b)
{
    return std::tie(a.zone, a.rack, a.id) < std::tie(b.zone, b.rack, b.id);
}

bool by_zone_then_pool(const wave_host& a, const wave_host& b)
{
    return std::tie(a.zone, a.pool) < std::tie(b.zone, b.pool);
}

bool by_pool_then_zone(const wave_host& a, const wave_host& b)
{
    return std::tie(a.pool, a.zone) < std::tie(b.pool, b.zone);
}

/// Orders hosts by the rounds that their pool or zone still needs. The pool with the most remaining
/// rounds determines how long the wave takes, so even the canary is taken from it. Within a pool,
/// the zones with the most remaining hosts come first; otherwise the hosts of one zone would remain
/// at the end and could leave only one after the other.
bool by_rounds_left(const wave_host& a, const wave_host& b)
{
    const auto most = [](const wave_host& it)
    {
        return std::max(it.pool_rounds, it.zone_rounds);
    };
    return std::make_tuple(most(a), a.zone_rounds) > std::make_tuple(most(b), b.zone_rounds);
}

void sort_by(wave_order order, std::vector<wave_host>& hosts)
{
    const auto before = order == wave_order::zone_by_zone   ? by_zone_then_pool
                        : order == wave_order::pool_by_pool ? by_pool_then_zone
                                                            : by_rounds_left;
    std::sort(hosts.begin(), hosts.end(), by_location);
    std::stable_sort(hosts.begin(),
        hosts.end(),
        [&](const wave_host& a, const wave_host& b)
        { return a.spare != b.spare ? a.spare : before(a, b); });
}

int rounds_needed(int hosts, int at_once)
{
    const int most = std::max(1, at_once);
    return (hosts + most - 1) / most;
}

/// Settings of one pool, looked up in the configuration once for all its hosts.
struct pool_settings
{
    model::policy_config policy;
    model::availability_budget budget;
    bool spare = false;
};

/// Caches the settings of each pool.
class pool_settings_cache
{
public:
    pool_settings_cache(const model::configuration& c, const std::string& policy)
        : config_(c), policy_(policy)
    {
    }

    const pool_settings& of(const std::string& pool)
    {
        const auto known = facts_.find(pool);
        if (known != facts_.end())
        {
            return known->second;
        }
        const pool_settings out{policy_in_force(config_, pool, policy_),
            budget_of(config_, pool).value_or(model::availability_budget{}),
            is_spare_pool(config_, pool)};
        return facts_.emplace(pool, out).first->second;
    }

private:
    const model::configuration& config_;
    const std::string& policy_;
    std::unordered_map<std::string, pool_settings> facts_;
};

void count_rounds(wave_group& group, pool_settings_cache& pools)
{
    std::unordered_map<std::string, int> in_pool;
    std::map<std::pair<std::string, std::string>, int> in_zone;
    for (const auto& it : group.hosts)
    {
        const int left =
            it.status == wave_host_status::pending || it.status == wave_host_status::in_progress
                ? 1
                : 0;
        in_pool[it.pool] += left;
        in_zone[{it.pool, it.zone}] += left;
    }
    for (auto& it : group.hosts)
    {
        const auto& budget = pools.of(it.pool).budget;
        it.pool_rounds = rounds_needed(in_pool[it.pool], budget.absent);
        it.zone_rounds = rounds_needed(in_zone[{it.pool, it.zone}], budget.absent_per_zone);
    }
}

void add(wave_plan& plan, wave_host h, const pool_settings& facts, int spares)
{
    auto& group = plan.groups[facts.policy.name];
    group.policy = facts.policy;
    group.progress.spares = spares;
    group.progress.hosts += h.status == wave_host_status::gone ? 0 : 1;
    group.progress.done += h.status == wave_host_status::done ? 1 : 0;
    group.failures += h.failed_by_wave ? 1 : 0;
    plan.failures += h.failed_by_wave ? 1 : 0;
    group.hosts.push_back(std::move(h));
}

int count_usable_spares(const wave_inputs& in)
{
    int n = 0;
    for (const auto& view : in.pools)
    {
        const bool spare_pool = is_spare_pool(in.config, view.document.pool);
        for (const auto& it : view.document.hosts)
        {
            const bool spare = is_borrowed(it) || (spare_pool && is_member(it));
            n += spare && it.state != host_state::failed ? 1 : 0;
        }
        for (const auto& it : view.document.released)
        {
            const bool on_its_way = owner_of(it.host.id, in.pools).in_transit;
            n += on_its_way && (is_borrowed(it.host) || is_spare_pool(in.config, it.to)) ? 1 : 0;
        }
    }
    return n;
}

void count(wave_summary& s, wave_host_status status)
{
    ++s.hosts;
    s.done += status == wave_host_status::done ? 1 : 0;
    s.in_progress += status == wave_host_status::in_progress ? 1 : 0;
    s.waiting +=
        status == wave_host_status::pending || status == wave_host_status::unavailable ? 1 : 0;
    s.failed += status == wave_host_status::failed ? 1 : 0;
    s.gone += status == wave_host_status::gone ? 1 : 0;
}

} // namespace

std::unordered_map<std::string, host_location> index_host_locations(
    const std::vector<pool_view>& pools)
{
    std::unordered_map<std::string, host_location> out;
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.hosts)
        {
            auto& known = out[it.id];
            if (known.host == nullptr || it.ownership >= known.host->ownership)
            {
                known = {&it, &view.document.pool, false};
            }
        }
    }
    // Between its release and its adoption, a host appears only as a released entry.
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.released)
        {
            auto& known = out[it.host.id];
            if (known.host == nullptr || it.host.ownership > known.host->ownership)
            {
                known = {&it.host, &it.to, true};
            }
        }
    }
    return out;
}

wave_host locate(const std::string& id,
    const wave_document& w,
    const std::unordered_map<std::string, host_location>& owners)
{
    wave_host out;
    out.id = id;
    const auto it = owners.find(id);
    if (it == owners.end())
    {
        return out;
    }
    const auto& h = *it->second.host;
    out.pool = *it->second.pool;
    out.zone = h.zone;
    out.rack = h.rack;
    out.status = it->second.in_transit ? wave_host_status::unavailable : status_of(h, w);
    out.failed_by_wave =
        out.status == wave_host_status::failed && (h.wave == w.id || h.last_wave == w.id);
    return out;
}

wave_plan make_wave_plan(const wave_inputs& in)
{
    const auto& w = in.own.document;
    const auto owners = index_host_locations(in.pools);
    const auto spares = count_usable_spares(in);
    pool_settings_cache facts(in.config, w.policy);
    wave_plan out;
    for (const auto& id : w.hosts)
    {
        auto h = locate(id, w, owners);
        const auto* claims = assigned_wave(id, in.waves);
        const bool taken = claims != nullptr && claims->id != w.id;
        h.status = taken && h.status == wave_host_status::pending ? wave_host_status::unavailable
                                                                  : h.status;
        const auto& of_pool = facts.of(h.pool);
        h.spare = h.status == wave_host_status::pending && of_pool.spare;
        count(out.summary, h.status);
        add(out, std::move(h), of_pool, spares);
    }
    for (auto& [name, group] : out.groups)
    {
        count_rounds(group, facts);
        sort_by(policy_of(group.policy.kind).order, group.hosts);
    }
    return out;
}

wave_summary summarize(const wave_document& w, const std::vector<pool_view>& pools)
{
    wave_summary out;
    if (w.phase == model::wave_phase::done)
    {
        // A host records only the last wave that maintained it, so the pool documents don't show
        // the result of a finished wave. The wave's own document does.
        out.hosts = static_cast<int>(w.hosts.size());
        out.failed = w.failed_at_end;
        out.gone = w.gone_at_end;
        out.done = out.hosts - out.failed - out.gone;
        return out;
    }
    const auto owners = index_host_locations(pools);
    for (const auto& id : w.hosts)
    {
        count(out, locate(id, w, owners).status);
    }
    return out;
}

} // namespace camphorhitch::fleet
