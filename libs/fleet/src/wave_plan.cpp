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

turn turn_of(const host_record& h, const wave_document& w)
{
    if (h.state == host_state::failed)
    {
        return turn::failed;
    }
    if (h.maintained == w.id)
    {
        return turn::done;
    }
    if (is_absent(h))
    {
        return h.wave == w.id ? turn::absent : turn::busy;
    }
    return is_guest(h) || !is_member(h) ? turn::busy : turn::untouched;
}

bool by_place(const wave_host& a, const wave_host& b)
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

/// The pool with most turns left decides how long the wave takes, so even the canary is one of its.
/// Inside a pool the fullest zones go first; else one zone's hosts would be left over at the end,
/// to leave one after the other.
bool by_turns_left(const wave_host& a, const wave_host& b)
{
    const auto most = [](const wave_host& it)
    {
        return std::max(it.pool_turns, it.zone_turns);
    };
    return std::make_tuple(most(a), a.zone_turns) > std::make_tuple(most(b), b.zone_turns);
}

void sort_by(wave_order order, std::vector<wave_host>& hosts)
{
    const auto before = order == wave_order::zone_by_zone   ? by_zone_then_pool
                        : order == wave_order::pool_by_pool ? by_pool_then_zone
                                                            : by_turns_left;
    std::sort(hosts.begin(), hosts.end(), by_place);
    std::stable_sort(hosts.begin(),
        hosts.end(),
        [&](const wave_host& a, const wave_host& b)
        { return a.spare != b.spare ? a.spare : before(a, b); });
}

int turns_of(int hosts, int at_once)
{
    const int most = std::max(1, at_once);
    return (hosts + most - 1) / most;
}

/// What the configuration says of one pool, looked up once for all its hosts.
struct pool_facts
{
    model::policy_config policy;
    model::availability_budget budget;
    bool spare = false;
};

class pool_book
{
public:
    pool_book(const model::configuration& c, const std::string& policy)
        : config_(c), policy_(policy)
    {
    }

    const pool_facts& of(const std::string& pool)
    {
        const auto known = facts_.find(pool);
        if (known != facts_.end())
        {
            return known->second;
        }
        const pool_facts out{policy_in_force(config_, pool, policy_),
            budget_of(config_, pool).value_or(model::availability_budget{}),
            is_spare_pool(config_, pool)};
        return facts_.emplace(pool, out).first->second;
    }

private:
    const model::configuration& config_;
    const std::string& policy_;
    std::unordered_map<std::string, pool_facts> facts_;
};

void count_turns(wave_group& group, pool_book& pools)
{
    std::unordered_map<std::string, int> in_pool;
    std::map<std::pair<std::string, std::string>, int> in_zone;
    for (const auto& it : group.hosts)
    {
        const int left = it.at == turn::untouched || it.at == turn::absent ? 1 : 0;
        in_pool[it.pool] += left;
        in_zone[{it.pool, it.zone}] += left;
    }
    for (auto& it : group.hosts)
    {
        const auto& budget = pools.of(it.pool).budget;
        it.pool_turns = turns_of(in_pool[it.pool], budget.absent);
        it.zone_turns = turns_of(in_zone[{it.pool, it.zone}], budget.absent_per_zone);
    }
}

void add(wave_plan& plan, wave_host h, const pool_facts& facts, int spares)
{
    auto& group = plan.groups[facts.policy.name];
    group.policy = facts.policy;
    group.progress.spares = spares;
    group.progress.hosts += h.at == turn::gone ? 0 : 1;
    group.progress.done += h.at == turn::done ? 1 : 0;
    group.failures += h.by_wave ? 1 : 0;
    plan.failures += h.by_wave ? 1 : 0;
    group.hosts.push_back(std::move(h));
}

int fit_spares(const wave_inputs& in)
{
    int n = 0;
    for (const auto& view : in.pools)
    {
        const bool spare_pool = is_spare_pool(in.config, view.document.pool);
        for (const auto& it : view.document.hosts)
        {
            const bool spare = is_guest(it) || (spare_pool && is_member(it));
            n += spare && it.state != host_state::failed ? 1 : 0;
        }
        for (const auto& it : view.document.released)
        {
            const bool on_its_way = owner_of(it.host.id, in.pools).in_transit;
            n += on_its_way && (is_guest(it.host) || is_spare_pool(in.config, it.to)) ? 1 : 0;
        }
    }
    return n;
}

void count(wave_summary& s, turn at)
{
    ++s.hosts;
    s.done += at == turn::done ? 1 : 0;
    s.in_progress += at == turn::absent ? 1 : 0;
    s.waiting += at == turn::untouched || at == turn::busy ? 1 : 0;
    s.failed += at == turn::failed ? 1 : 0;
    s.gone += at == turn::gone ? 1 : 0;
}

} // namespace

std::unordered_map<std::string, host_place> index_owners(const std::vector<pool_view>& pools)
{
    std::unordered_map<std::string, host_place> out;
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
    // A released host has no document to stand in until it is adopted.
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
    const std::unordered_map<std::string, host_place>& owners)
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
    out.at = it->second.in_transit ? turn::busy : turn_of(h, w);
    out.by_wave = out.at == turn::failed && (h.wave == w.id || h.maintained == w.id);
    return out;
}

wave_plan plan_of(const wave_inputs& in)
{
    const auto& w = in.own.document;
    const auto owners = index_owners(in.pools);
    const auto spares = fit_spares(in);
    pool_book facts(in.config, w.policy);
    wave_plan out;
    for (const auto& id : w.hosts)
    {
        auto h = locate(id, w, owners);
        const auto* claims = claimant(id, in.waves);
        const bool taken = claims != nullptr && claims->id != w.id;
        h.at = taken && h.at == turn::untouched ? turn::busy : h.at;
        const auto& of_pool = facts.of(h.pool);
        h.spare = h.at == turn::untouched && of_pool.spare;
        count(out.summary, h.at);
        add(out, std::move(h), of_pool, spares);
    }
    for (auto& [name, group] : out.groups)
    {
        count_turns(group, facts);
        sort_by(policy_of(group.policy.kind).order, group.hosts);
    }
    return out;
}

wave_summary summarize(const wave_document& w, const std::vector<pool_view>& pools)
{
    wave_summary out;
    if (w.phase == model::wave_phase::done)
    {
        // Hosts remember the last wave alone, so the pools tell nothing of one that is done.
        out.hosts = static_cast<int>(w.hosts.size());
        out.failed = w.failed_at_end;
        out.gone = w.gone_at_end;
        out.done = out.hosts - out.failed - out.gone;
        return out;
    }
    const auto owners = index_owners(pools);
    for (const auto& id : w.hosts)
    {
        count(out, locate(id, w, owners).at);
    }
    return out;
}

} // namespace camphorhitch::fleet
