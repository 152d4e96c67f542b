#include "host_division.hpp"

#include "move_choice.hpp"
#include "pool_claims.hpp"

#include <algorithm>
#include <numeric>

namespace camphorhitch::coordinator
{

namespace
{

/// \return the pool below its target with the smallest share of it, or nullptr.
balance* shortest_pool(
    std::map<std::string, balance>& all, const std::map<std::string, int>& targets)
{
    balance* best = nullptr;
    double smallest = 1;
    for (auto& [name, b] : all)
    {
        const int target = targets.at(name);
        const double share = target > 0 ? static_cast<double>(b.have) / target : 1.0;
        if (share < smallest)
        {
            best = &b;
            smallest = share;
        }
    }
    return best;
}

/// \return the pool above its target that has the cheapest host, or nullptr. Of pools with equally
/// cheap hosts the standby pool comes first, then the one that is furthest above its target.
balance* cheapest_donor(
    std::map<std::string, balance>& all, const std::map<std::string, int>& targets)
{
    balance* best = nullptr;
    std::tuple<move_cost, bool, int> best_rank;
    for (auto& [name, b] : all)
    {
        const int excess = b.have - targets.at(name);
        if (excess <= 0 || !has_cheap_host(b))
        {
            continue;
        }
        const std::tuple rank{b.free.back().cost, !b.standby, -excess};
        if (best == nullptr || rank < best_rank)
        {
            best = &b;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

void keep_scarce_arrivals(rebalancer& r,
    const machine_table& list,
    std::map<std::string, balance>& all,
    core::mono_time now)
{
    std::erase_if(r.scarce_arrivals,
        [&](const auto& it)
        {
            return now - it.second >= r.settings.division.payoff_time ||
                   !list.machines.contains(it.first);
        });
    for (auto& [name, b] : all)
    {
        std::erase_if(b.free,
            [&](const free_host& it) { return r.scarce_arrivals.contains(it.machine->id); });
    }
}

std::map<std::string, int> choose_targets(
    fleet& f, const rebalancer& r, const demand& d, const std::map<std::string, balance>& all)
{
    const int total = std::accumulate(
        all.begin(), all.end(), 0, [](int n, const auto& it) { return n + it.second.have; });
    return divide_hosts(
        make_claims(f, r, d, all), total, r.settings.allocation, r.settings.division);
}

void move_to_targets(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    const std::map<std::string, int>& targets,
    core::mono_time now,
    task_events& out)
{
    const bool in_scarcity = is_scarce(all);
    for (auto* to = shortest_pool(all, targets); to != nullptr; to = shortest_pool(all, targets))
    {
        auto* const from = cheapest_donor(all, targets);
        if (from == nullptr || r.moves_to_choose <= 0)
        {
            return;
        }
        choose_host_to_move(f, r, *from, to->name, true, now, out).in_scarcity = in_scarcity;
        ++to->have;
    }
}

} // namespace camphorhitch::coordinator
