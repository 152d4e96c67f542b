#include "coordinator/rebalance.hpp"

#include "bookkeeping.hpp"
#include "coordinator/intake.hpp"
#include "host_release.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0;
/// The room of a host where none of the fleet has told its own yet.
constexpr double usual_host_cores = 32.0;

/// One pool's hosts against its need.
struct balance
{
    std::string name;
    bool standby = false;
    int have = 0; ///< up, or on their way here
    int wanted = 0;
    int kept = 0;          ///< wanted lately; what is above may be given away
    double cores = 0;      ///< what the need is
    bool expected = false; ///< a busy time is about to begin
    bool busy = false;     ///< a busy time is on
    std::vector<const ports::machine_entry*> free; ///< up, and neither held nor moving
};

/// \return the room of the pool's hosts. Hosts are alike on most platforms: where none of the pool
/// is known, one of another tells it.
double host_cores(const fleet& f, const std::string& pool)
{
    std::int64_t other = 0;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.pool == pool && h.capacity.cpu > 0)
        {
            return static_cast<double>(h.capacity.cpu) / milli;
        }
        other = std::max(other, h.capacity.cpu);
    }
    return other > 0 ? static_cast<double>(other) / milli : usual_host_cores;
}

std::map<std::string, balance> take_stock(const fleet& f,
    const rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now)
{
    std::map<std::string, balance> out;
    const auto needs = pool_needs(f, d, now);
    for (const auto& it : pools)
    {
        auto& b = out[it.name];
        b.name = it.name;
        b.standby = it.standby;
        const auto need = needs.find(it.name);
        if (need != needs.end() && !it.standby)
        {
            const auto hosts =
                static_cast<int>(std::ceil(need->second.cores / host_cores(f, it.name)));
            b.wanted = std::max(hosts, need->second.least_hosts);
            b.cores = need->second.cores;
            b.expected = need->second.expected;
        }
        b.wanted += it.standby ? 0 : r.settings.spare_hosts;
        const auto arrivals = d.pools.find(it.name);
        b.busy = arrivals != d.pools.end() && arrivals->second.busy;
    }
    for (const auto& [id, m] : list.machines)
    {
        const auto move = r.moves.find(id);
        const auto& pool = move == r.moves.end() ? m.pool : move->second.to;
        const auto b = out.find(pool);
        if (b == out.end())
        {
            continue;
        }
        // A host that a wave has closed runs nothing new: the pool needs another for it.
        const bool up = m.state == ports::machine_state::up && !held.contains(id);
        b->second.have += up || move != r.moves.end() ? 1 : 0;
        if (up && move == r.moves.end())
        {
            b->second.free.push_back(&m);
        }
    }
    return out;
}

/// Lets the hosts go that a pool has not wanted for a while.
void keep_recent(rebalancer& r, std::map<std::string, balance>& all, core::mono_time now)
{
    const double passed = std::chrono::duration<double>(now - r.kept_at).count();
    r.kept_at = now;
    r.without_spare.clear();
    for (auto& [name, b] : all)
    {
        auto& kept = r.kept[name];
        const double share = b.busy || b.expected ? 0 : r.settings.release_share;
        const double released = passed * (r.settings.release + share * kept);
        kept = std::max(static_cast<double>(b.wanted), kept - released);
        kept = std::min(kept, static_cast<double>(std::max(b.have, 0)));
        b.kept = static_cast<int>(std::ceil(kept));
        if (!b.standby && b.have <= b.kept)
        {
            r.without_spare.insert(name);
        }
    }
}

/// One line each time that a pool's need has changed.
void tell_needs(rebalancer& r, const std::map<std::string, balance>& all, task_events& out)
{
    for (const auto& [name, b] : all)
    {
        auto& told = r.told[name];
        if (!b.standby && told != b.wanted)
        {
            told = b.wanted;
            out.push_back({"pool_need",
                name,
                0,
                "",
                "wanted=" + std::to_string(b.wanted) + " have=" + std::to_string(b.have) +
                    " cores=" + std::to_string(static_cast<int>(b.cores)) +
                    (b.expected ? " expected=1" : "")});
        }
    }
}

/// What it costs to take this host: the lower the better.
std::tuple<bool, int, std::int64_t> cost_of(fleet& f, const ports::machine_entry& m)
{
    const auto* const h = find_host(f, m.runner);
    if (h == nullptr)
    {
        return {false, 0, 0};
    }
    return {h->inherited || h->orphaned_runs > 0, long_running_tasks(f, *h), h->used.cpu};
}

/// Takes the cheapest host of a pool for a move.
/// \param is_wanted the other pool is short: its callers wait for the host
void choose(fleet& f,
    rebalancer& r,
    balance& from,
    const std::string& to,
    bool is_wanted,
    core::mono_time now,
    task_events& out)
{
    const auto best = std::min_element(from.free.begin(),
        from.free.end(),
        [&](const auto* a, const auto* b) { return cost_of(f, *a) < cost_of(f, *b); });
    const auto& m = **best;
    r.moves[m.id] = {to, m.runner, false, now};
    out.push_back({"move_chosen",
        "",
        0,
        m.runner,
        "machine=" + m.id + " from=" + from.name + " have=" + std::to_string(from.have) +
            " wanted=" + std::to_string(from.wanted) + " to=" + to});
    if (auto* const h = find_host(f, m.runner))
    {
        h->availability = host_availability::closed_for_move;
        h->closed_at = now;
        if (is_wanted && r.settings.stops_tasks_above.count() > 0)
        {
            stop_resumable_tasks(f, *h, r.settings.stops_tasks_above, now, out);
        }
    }
    --from.have;
    from.free.erase(best);
}

/// \return whether a host may be taken cheaply: no long-running task has to leave for it.
bool has_cheap_host(fleet& f, const balance& b)
{
    return std::any_of(b.free.begin(),
        b.free.end(),
        [&](const auto* m) { return cost_of(f, *m) < std::tuple(false, 1, std::int64_t{0}); });
}

/// \return the pool to take a host from, or nullptr.
balance* best_donor(
    fleet& f, const rebalancer& r, std::map<std::string, balance>& all, const balance& to)
{
    // A pool that is far short can't wait until another's need has been low for a while.
    const bool far = to.wanted - to.have >= r.settings.far_short;
    balance* best = nullptr;
    for (auto& [name, b] : all)
    {
        const int least = far ? b.wanted : b.kept;
        if (name == to.name || b.have <= least || b.free.empty() || !has_cheap_host(f, b))
        {
            continue;
        }
        const auto surplus = [](const balance& it)
        {
            return it.have - it.kept;
        };
        const bool better = best == nullptr || (b.standby && !best->standby) ||
                            (b.standby == best->standby && surplus(b) > surplus(*best));
        best = better ? &b : best;
    }
    return best;
}

void feed_short_pools(fleet& f,
    rebalancer& r,
    std::map<std::string, balance>& all,
    core::mono_time now,
    task_events& out)
{
    for (auto& [name, b] : all)
    {
        while (!b.standby && b.have < b.wanted)
        {
            auto* const donor = best_donor(f, r, all, b);
            if (donor == nullptr)
            {
                return;
            }
            choose(f, r, *donor, name, true, now, out);
            ++b.have;
        }
    }
}

void rest_surplus(fleet& f,
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
        if (b.standby || b.have <= b.kept)
        {
            r.surplus_since.erase(name);
            continue;
        }
        const auto since = r.surplus_since.try_emplace(name, now).first->second;
        while (now - since >= r.settings.rest && b.have > b.kept && has_cheap_host(f, b))
        {
            choose(f, r, b, standby->first, false, now, out);
        }
    }
}

/// A move that was decided before its runner was listed, or ordered without an answer, may meet a
/// runner on the machine that has got work since.
/// \return whether the machine may still be moved.
bool is_still_free(
    fleet& f, const machine_table& list, const std::string& machine, const pending_move& move)
{
    const auto m = list.machines.find(machine);
    if (m == list.machines.end() || m->second.pool == move.to)
    {
        return true; // it has left, or has moved: its runner works there
    }
    const auto* const h = find_host(f, m->second.runner);
    return h == nullptr ||
           (h->ref.id == move.runner && h->availability == host_availability::closed_for_move);
}

/// Whoever was not closed for the move is judged anew.
void give_up_taken(fleet& f, rebalancer& r, const machine_table& list, task_events& out)
{
    std::erase_if(r.moves,
        [&](const auto& it)
        {
            const auto& [machine, move] = it;
            if (move.ordered || is_still_free(f, list, machine, move))
            {
                return false;
            }
            out.push_back({"move_given_up",
                "",
                0,
                list.machines.at(machine).runner,
                "machine=" + machine + " to=" + move.to + " chosen=" + move.runner});
            return true;
        });
}

} // namespace

std::vector<move_action> plan_moves(fleet& f,
    rebalancer& r,
    const demand& d,
    const machine_table& list,
    const std::vector<pool_info>& pools,
    const std::set<std::string>& held,
    core::mono_time now,
    task_events& out)
{
    std::vector<move_action> ready;
    if (!list.known)
    {
        return ready;
    }
    auto all = take_stock(f, r, d, list, pools, held, now);
    keep_recent(r, all, now);
    tell_needs(r, all, out);
    feed_short_pools(f, r, all, now, out);
    rest_surplus(f, r, all, now, out);
    give_up_taken(f, r, list, out);
    for (auto& [machine, move] : r.moves)
    {
        const auto* const h = find_host(f, move.runner);
        const bool empty = h == nullptr || is_empty(*h);
        if (!move.ordered && empty && static_cast<int>(ready.size()) < r.settings.most_moves)
        {
            move.ordered = true;
            move.ordered_at = now;
            ready.push_back({machine, move.to});
        }
    }
    return ready;
}

void resume_moves(rebalancer& r, core::mono_time now)
{
    r.surplus_since.clear();
    r.kept_at = now;
}

std::set<std::string> pools_without_spare(const rebalancer& r)
{
    return r.without_spare;
}

void move_answered(fleet& f,
    rebalancer& r,
    const std::string& machine,
    ports::machine_verdict verdict,
    core::mono_time now,
    task_events& out)
{
    const auto it = r.moves.find(machine);
    if (it == r.moves.end())
    {
        return;
    }
    if (verdict == ports::machine_verdict::done)
    {
        // The answer is the same when the move was done before. A runner with work came since.
        const auto* const h = find_host(f, it->second.runner);
        if (h == nullptr || is_empty(*h))
        {
            end_host(f, it->second.runner, life_proof::moved, now, out);
        }
        return;
    }
    if (verdict == ports::machine_verdict::unknown)
    {
        it->second.ordered = false; // ordered again once the machine holds no work
        return;
    }
    if (auto* const h = find_host(f, it->second.runner))
    {
        h->availability = host_availability::open;
    }
    r.moves.erase(it);
}

void see_moves(rebalancer& r, const machine_table& list, core::millis list_lag)
{
    std::erase_if(r.moves,
        [&](const auto& it)
        {
            const auto& move = it.second;
            const auto m = list.machines.find(it.first);
            if (m == list.machines.end())
            {
                return true; // it has left
            }
            const bool there = m->second.state == ports::machine_state::up &&
                               m->second.pool == move.to && m->second.runner != move.runner;
            return there && move.ordered && list.read_at > move.ordered_at + list_lag;
        });
}

} // namespace camphorhitch::coordinator
