#include "fleet/waves.hpp"

#include "fleet/budget.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::fleet
{

using model::host_record;
using model::host_state;
using model::pool_document;
using model::wave_document;
using model::wave_phase;

namespace
{

/// Binary search, because a wave may select the whole fleet and each pool queries each of its
/// hosts.
bool contains(const std::vector<std::string>& sorted, const std::string& one)
{
    return std::binary_search(sorted.begin(), sorted.end(), one);
}

bool started_before(const wave_document& a, const wave_document& b)
{
    return std::tie(a.started_ms, a.id) < std::tie(b.started_ms, b.id);
}

void count_host(pool_counts& n, const host_record& h)
{
    const bool failed = h.state == host_state::failed;
    ++n.hosts;
    n.failed += failed ? 1 : 0;
    n.planned_absent += !failed && is_absent(h) ? 1 : 0;
}

void count_work(pool_counts& n, const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = assigned_wave(h.id, waves);
    if (wave == nullptr || !is_active(*wave))
    {
        return;
    }
    n.admitted += admits(*wave, h.id) ? 1 : 0;
    n.unfinished += h.state != host_state::failed && h.last_wave != wave->id ? 1 : 0;
}

} // namespace

bool is_active(const wave_document& w)
{
    return w.phase == wave_phase::canary || w.phase == wave_phase::growing;
}

bool is_ended(const wave_document& w)
{
    return w.phase == wave_phase::done || w.phase == wave_phase::cancelled;
}

bool selects(const wave_document& w, const std::string& host)
{
    return contains(w.hosts, host);
}

bool admits(const wave_document& w, const std::string& host)
{
    return contains(w.admitted, host);
}

const wave_document* assigned_wave(const std::string& host, const std::vector<wave_view>& waves)
{
    const wave_document* best = nullptr;
    for (const auto& it : waves)
    {
        const bool claims = !is_ended(it.document) && selects(it.document, host);
        if (claims && (best == nullptr || started_before(it.document, *best)))
        {
            best = &it.document;
        }
    }
    return best;
}

const wave_document* active_wave_for(const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = assigned_wave(h.id, waves);
    const bool works = wave != nullptr && is_active(*wave) && h.last_wave != wave->id;
    return works ? wave : nullptr;
}

model::policy_config managing_policy(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    for (const auto& it : d.hosts)
    {
        const auto* wave = is_borrowed(it) ? nullptr : active_wave_for(it, waves);
        if (wave != nullptr && !wave->policy.empty())
        {
            return policy_in_force(c, d.pool, wave->policy);
        }
    }
    return policy_in_force(c, d.pool, "");
}

pool_counts count_pool(const pool_document& d, const model::configuration& c)
{
    pool_counts out;
    const auto budget = budget_of(c, d.pool);
    out.budget = budget ? budget->absent : 0;
    for (const auto& it : d.hosts)
    {
        if (is_member(it) && !is_borrowed(it))
        {
            count_host(out, it);
        }
    }
    return out;
}

pool_counts count_pool(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    auto out = count_pool(d, c);
    for (const auto& it : d.hosts)
    {
        if (is_member(it) && !is_borrowed(it))
        {
            count_work(out, it, waves);
        }
    }
    return out;
}

bool is_spare_pool(const model::configuration& c, const std::string& pool)
{
    const auto* found = model::find_pool(c, pool);
    return found != nullptr && found->spare;
}

int borrowed_hosts_wanted(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    if (is_spare_pool(c, d.pool) || model::find_pool(c, d.pool) == nullptr)
    {
        return 0;
    }
    const auto p = managing_policy(d, waves, c);
    return policy_of(p.kind).borrowed_hosts_wanted(p, count_pool(d, waves, c));
}

int count_borrowed_hosts(const std::string& pool, const std::vector<pool_view>& pools)
{
    int n = 0;
    for (const auto& view : pools)
    {
        const bool own = view.document.pool == pool;
        for (const auto& it : view.document.hosts)
        {
            const bool stays = own && it.move_to.empty() && it.state != host_state::failed;
            n += is_borrowed(it) && (stays || it.move_to == pool) ? 1 : 0;
        }
        for (const auto& it : view.document.released)
        {
            const bool on_its_way = it.to == pool && is_borrowed(it.host);
            n += on_its_way && owner_of(it.host.id, pools).in_transit ? 1 : 0;
        }
    }
    return n;
}

std::vector<std::string> pools_short_of_borrowed_hosts(const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    const model::configuration& c)
{
    std::vector<std::string> out;
    for (const auto& it : pools)
    {
        const int wanted = borrowed_hosts_wanted(it.document, waves, c);
        if (wanted > 0 && count_borrowed_hosts(it.document.pool, pools) < wanted)
        {
            out.push_back(it.document.pool);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

bool is_lendable(const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = active_wave_for(h, waves);
    const bool taken_by_wave = wave != nullptr && admits(*wave, h.id);
    return is_member(h) && !is_borrowed(h) && h.state == host_state::held && !taken_by_wave;
}

std::vector<std::string> hosts_awaiting_maintenance(
    const std::vector<pool_view>& pools, const std::vector<wave_view>& waves)
{
    std::vector<std::string> out;
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (active_wave_for(it, waves) != nullptr)
            {
                out.push_back(it.id);
            }
        }
    }
    return out;
}

} // namespace camphorhitch::fleet
