#include "move_choice.hpp"

#include "bookkeeping.hpp"
#include "host_release.hpp"
#include "restarts.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

pending_move& choose_host_to_move(fleet& f,
    rebalancer& r,
    balance& from,
    const std::string& to,
    bool is_wanted,
    core::mono_time now,
    task_events& out)
{
    const auto& m = *from.free.back().machine;
    r.moves_to_choose -= from.free.back().cost == move_cost{} ? 1 : 0;
    from.free.pop_back();
    auto* const h = find_runner(f, m.runner);
    auto& move = r.moves[m.id];
    move = {to, h == nullptr ? m.runner : h->ref.id, false, now, is_wanted};
    out.push_back({"move_chosen",
        "",
        0,
        m.runner,
        "machine=" + m.id + " from=" + from.name + " have=" + std::to_string(from.have) +
            " wanted=" + std::to_string(from.wanted) + " to=" + to});
    if (h != nullptr)
    {
        h->availability = host_availability::closed_for_move;
        h->closed_at = now;
        if (is_wanted && r.settings.task_stop_threshold.count() > 0)
        {
            stop_resumable_tasks(f, *h, r.settings.task_stop_threshold, now, out);
        }
    }
    --from.have;
    return move;
}

bool has_cheap_host(const balance& b)
{
    return !b.free.empty() && is_cheap(b.free.back().cost);
}

namespace
{

/// \return the pool from which a host is taken, or nullptr.
balance* find_donor(const rebalancer& r, std::map<std::string, balance>& all, const balance& to)
{
    // A pool with an urgent shortage can't wait until the need of another pool has been low for a
    // while.
    const bool urgent = to.wanted - to.have >= r.settings.urgent_shortage;
    balance* best = nullptr;
    for (auto& [name, b] : all)
    {
        const int least = urgent ? b.wanted : b.retained;
        if (name == to.name || b.have <= least || !has_cheap_host(b))
        {
            continue;
        }
        const auto surplus = [](const balance& it)
        {
            return it.have - it.retained;
        };
        const bool better = best == nullptr || (b.standby && !best->standby) ||
                            (b.standby == best->standby && surplus(b) > surplus(*best));
        best = better ? &b : best;
    }
    return best;
}

} // namespace

void fill_short_pools(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    for (auto& [name, b] : all)
    {
        while (!b.standby && b.have < b.wanted && r.moves_to_choose > 0)
        {
            auto* const donor = find_donor(r, all, b);
            if (donor == nullptr)
            {
                return;
            }
            choose_host_to_move(f, r, *donor, name, true, now, out);
            ++b.have;
        }
    }
}

void move_surplus_to_standby(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    const auto standby =
        std::find_if(all.begin(), all.end(), [](const auto& it) { return it.second.standby; });
    if (standby == all.end())
    {
        return;
    }
    for (auto& [name, b] : all)
    {
        if (b.standby || b.have <= b.retained)
        {
            r.surplus_since.erase(name);
            continue;
        }
        const auto since = r.surplus_since.try_emplace(name, now).first->second;
        const bool has_rested = now - since >= r.settings.standby_delay;
        while (has_rested && b.have > b.retained && has_cheap_host(b) &&
               r.moves_to_choose > r.other_moves_waiting)
        {
            choose_host_to_move(f, r, b, standby->first, false, now, out);
        }
    }
}

} // namespace camphorhitch::coordinator
