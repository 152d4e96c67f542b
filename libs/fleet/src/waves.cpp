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

/// A wave may select the whole fleet, and each pool asks for each of its hosts.
bool contains(const std::vector<std::string>& sorted, const std::string& one)
{
    return std::binary_search(sorted.begin(), sorted.end(), one);
}

bool started_before(const wave_document& a, const wave_document& b)
{
    return std::tie(a.started_ms, a.id) < std::tie(b.started_ms, b.id);
}

void count_host(pool_need& n, const host_record& h)
{
    const bool failed = h.state == host_state::failed;
    ++n.hosts;
    n.failed += failed ? 1 : 0;
    n.planned_absent += !failed && is_absent(h) ? 1 : 0;
}

void count_work(pool_need& n, const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = claimant(h.id, waves);
    if (wave == nullptr || !is_active(*wave))
    {
        return;
    }
    n.admitted += admits(*wave, h.id) ? 1 : 0;
    n.unfinished += h.state != host_state::failed && h.maintained != wave->id ? 1 : 0;
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

const wave_document* claimant(const std::string& host, const std::vector<wave_view>& waves)
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

const wave_document* working_wave(const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = claimant(h.id, waves);
    const bool works = wave != nullptr && is_active(*wave) && h.maintained != wave->id;
    return works ? wave : nullptr;
}

model::policy_config managing_policy(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    for (const auto& it : d.hosts)
    {
        const auto* wave = is_guest(it) ? nullptr : working_wave(it, waves);
        if (wave != nullptr && !wave->policy.empty())
        {
            return policy_in_force(c, d.pool, wave->policy);
        }
    }
    return policy_in_force(c, d.pool, "");
}

pool_need need_of(const pool_document& d, const model::configuration& c)
{
    pool_need out;
    const auto budget = budget_of(c, d.pool);
    out.budget = budget ? budget->absent : 0;
    for (const auto& it : d.hosts)
    {
        if (is_member(it) && !is_guest(it))
        {
            count_host(out, it);
        }
    }
    return out;
}

pool_need need_of(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    auto out = need_of(d, c);
    for (const auto& it : d.hosts)
    {
        if (is_member(it) && !is_guest(it))
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

int guests_wanted(
    const pool_document& d, const std::vector<wave_view>& waves, const model::configuration& c)
{
    if (is_spare_pool(c, d.pool) || model::find_pool(c, d.pool) == nullptr)
    {
        return 0;
    }
    const auto p = managing_policy(d, waves, c);
    return policy_of(p.kind).guests_wanted(p, need_of(d, waves, c));
}

int guests_of(const std::string& pool, const std::vector<pool_view>& pools)
{
    int n = 0;
    for (const auto& view : pools)
    {
        const bool own = view.document.pool == pool;
        for (const auto& it : view.document.hosts)
        {
            const bool stays = own && it.move_to.empty() && it.state != host_state::failed;
            n += is_guest(it) && (stays || it.move_to == pool) ? 1 : 0;
        }
        for (const auto& it : view.document.released)
        {
            const bool on_its_way = it.to == pool && is_guest(it.host);
            n += on_its_way && owner_of(it.host.id, pools).in_transit ? 1 : 0;
        }
    }
    return n;
}

std::vector<std::string> pools_short_of_guests(const std::vector<pool_view>& pools,
    const std::vector<wave_view>& waves,
    const model::configuration& c)
{
    std::vector<std::string> out;
    for (const auto& it : pools)
    {
        const int wanted = guests_wanted(it.document, waves, c);
        if (wanted > 0 && guests_of(it.document.pool, pools) < wanted)
        {
            out.push_back(it.document.pool);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

bool is_lendable(const host_record& h, const std::vector<wave_view>& waves)
{
    const auto* wave = working_wave(h, waves);
    const bool taken_by_wave = wave != nullptr && admits(*wave, h.id);
    return is_member(h) && !is_guest(h) && h.state == host_state::held && !taken_by_wave;
}

std::vector<std::string> upcoming_hosts(
    const std::vector<pool_view>& pools, const std::vector<wave_view>& waves)
{
    std::vector<std::string> out;
    for (const auto& view : pools)
    {
        for (const auto& it : view.document.hosts)
        {
            if (working_wave(it, waves) != nullptr)
            {
                out.push_back(it.id);
            }
        }
    }
    return out;
}

} // namespace camphorhitch::fleet
