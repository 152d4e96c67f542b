#include "bookkeeping.hpp"
#include "coordinator/share_accounts.hpp"
#include "share_demand.hpp"
#include "share_levels.hpp"
#include "starts.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0;

/// Part of a pool that work beyond its share may hold while other jobs wait: enough to finish what
/// was begun, little enough for the others to be served almost as if alone.
constexpr std::int64_t pool_parts_beyond = 5;

/// share_restored is logged only when an account is this far below its share, since an account in
/// steady use stays close to it.
constexpr double restored_ratio = 0.9;

/// \return the thousandths of a core that are free, by the resource of which least is left.
std::int64_t free_cpu(const workflow::resources& free, const workflow::resources& all)
{
    const auto by_memory = all.memory_mb == 0 ? static_cast<double>(free.cpu)
                                              : static_cast<double>(free.memory_mb) /
                                                    static_cast<double>(all.memory_mb) *
                                                    static_cast<double>(all.cpu);
    return std::min(free.cpu, static_cast<std::int64_t>(by_memory));
}

/// Replaces the state of the pools by that of the hosts; work is added later.
void reset_pools(fleet& f, const pool_host_lists& hosts, core::mono_time now)
{
    auto& t = f.shares;
    t.pools.clear();
    t.capacity = {};
    std::map<std::string, workflow::resources> free;
    for (const auto& [name, all] : hosts)
    {
        auto& p = t.pools[name];
        auto& pool_free = free[name];
        for (const auto* const h : all)
        {
            p.capacity += h->capacity.cpu;
            if (accepts_tasks(f, *h, now))
            {
                pool_free += h->capacity;
                pool_free -= h->used;
            }
            if (!t.standby_pools.contains(name))
            {
                t.capacity += h->capacity;
            }
        }
    }
    for (auto& [name, p] : t.pools)
    {
        p.free = free_cpu(free[name], t.capacity);
    }
}

int weight_of(const fleet& f, share_level level, const std::string& name)
{
    if (level != share_level::workspace)
    {
        return 1;
    }
    const auto it = f.workspaces.entries.find(name);
    return it == f.workspaces.entries.end() ? 1 : std::max(it->second.settings.weight, 1);
}

/// An account that is beyond its share stays reported while nothing else is active. Otherwise two
/// lines would be written for each single job of others.
/// \param contested several accounts of the level are active
void log_change(share_level level,
    const std::string& name,
    share_account& a,
    double used,
    bool contested,
    task_events& out)
{
    const bool exceeded = a.beyond && !a.reported;
    const bool below = contested && used < a.share * restored_ratio;
    const bool restored = a.reported && (a.share == 0 || below);
    if (!exceeded && !restored)
    {
        return;
    }
    a.reported = exceeded;
    const auto text = [](double n)
    {
        return std::to_string(std::llround(n));
    };
    out.push_back({exceeded ? "share_exceeded" : "share_restored",
        "",
        0,
        "",
        "level=" + std::string{core::name_of(share_level_names, level)} + " name=" + name +
            " used=" + text(used) + " share=" + text(a.share)});
}

/// Divides the capacity over the window among the accounts that use some or wait now, by weight.
void divide_shares(fleet& f,
    share_level level,
    const std::vector<active_work>& work,
    core::mono_time now,
    task_events& out)
{
    auto& accounts = f.shares.accounts[static_cast<std::size_t>(level)];
    std::set<std::string> active;
    for (const auto& it : work)
    {
        if (const auto& name = account_name(*it.sample, level); !name.empty())
        {
            active.insert(name);
        }
    }
    std::int64_t weights = 0;
    for (const auto& it : active)
    {
        weights += weight_of(f, level, it);
        accounts[it];
    }
    const auto window = std::chrono::duration<double>(f.settings.placement.share.window).count();
    const auto whole = static_cast<double>(f.shares.capacity.cpu) / milli * window;
    for (auto& [name, a] : accounts)
    {
        a.share = active.contains(name)
                      ? whole * weight_of(f, level, name) / static_cast<double>(weights)
                      : 0;
        const auto used = account_use(f, a, now);
        // One that shares with nobody, or in a fleet of unknown capacity, is within its share.
        a.beyond = active.size() > 1 && a.share > 0 && used > a.share;
        log_change(level, name, a, used, active.size() > 1, out);
    }
}

bool is_beyond(const fleet& f, share_level level, const std::string& name)
{
    const auto& accounts = f.shares.accounts[static_cast<std::size_t>(level)];
    const auto it = accounts.find(name);
    return it != accounts.end() && it->second.beyond;
}

bool is_beyond(const fleet& f, const workflow::job& j)
{
    bool out = false;
    for_each_account(f,
        j,
        [&](share_level level, const std::string& name)
        { out = out || is_beyond(f, level, name); });
    return out;
}

void add_to_pool(fleet& f, const active_work& it)
{
    const auto& j = *it.sample;
    auto& p = f.shares.pools[j.pool];
    const bool beyond = is_beyond(f, j);
    const auto waiting = beyond ? 0 : it.waiting;
    p.beyond_running += beyond ? it.batch : 0;
    p.within_waiting += waiting;
    p.long_running += it.long_running;
    for_each_account(f,
        j,
        [&](share_level level, const std::string& name)
        {
            auto& use = p.uses[static_cast<std::size_t>(level)][name];
            use.weight = weight_of(f, level, name);
            use.running += it.batch;
            use.waiting += waiting;
        });
}

/// Adds up the weights, and bounds what workspaces need by their caps.
void complete_pools(fleet& f)
{
    for (auto& [pool, p] : f.shares.pools)
    {
        for (std::size_t i = 0; i < share_levels; ++i)
        {
            for (const auto& [name, it] : p.uses[i])
            {
                p.weights[i] += it.weight;
            }
        }
        for (auto& [name, it] : p.uses[static_cast<std::size_t>(share_level::workspace)])
        {
            const auto below_cap = cores_below_cap(f, name) * milli;
            it.waiting = below_cap < static_cast<double>(it.waiting)
                             ? static_cast<std::int64_t>(below_cap)
                             : it.waiting;
        }
    }
}

/// \return the part of the pool that belongs to one of the uses by its weight, in thousandths of a
/// core.
std::int64_t pool_part(const pool_share_state& p, share_level level, const pool_share_use& use)
{
    const auto weights = p.weights[static_cast<std::size_t>(level)];
    const auto batch = std::max(p.capacity - p.long_running, std::int64_t{0});
    return weights == 0 ? batch : batch * use.weight / weights;
}

/// \return the thousandths of a core that others at the level need to reach their parts of the
/// pool.
std::int64_t needed_by_others(const pool_share_state& p, share_level level, const std::string& name)
{
    std::int64_t sum = 0;
    for (const auto& [other, it] : p.uses[static_cast<std::size_t>(level)])
    {
        const auto missing = std::max(pool_part(p, level, it) - it.running, std::int64_t{0});
        sum += other == name ? 0 : std::min(it.waiting, missing);
    }
    return sum;
}

/// Why tasks may not start.
enum class share_block
{
    none,
    beyond, ///< work beyond its share has its part of the pool
    part    ///< the part of the pool by weight is in use, and others need the rest
};

share_block find_share_block(
    const fleet& f, const job_entry& j, const workflow::step& s, std::int64_t tasks)
{
    const auto found = f.shares.pools.find(j.spec.pool);
    if (f.settings.placement.shares != share_rule::work || s.long_running ||
        found == f.shares.pools.end())
    {
        return share_block::none;
    }
    const auto& p = found->second;
    const auto cpu = dominant_cpu(f, s) * tasks;
    if (p.within_waiting > 0 && is_beyond(f, j.spec) &&
        (p.beyond_running + cpu) * pool_parts_beyond > p.capacity)
    {
        return share_block::beyond;
    }
    bool blocked = false;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            const auto& uses = p.uses[static_cast<std::size_t>(level)];
            const auto use = uses.find(name);
            blocked = blocked || (use != uses.end() && use->second.running > 0 &&
                                     use->second.running >= pool_part(p, level, use->second) &&
                                     p.free - cpu < needed_by_others(p, level, name));
        });
    return blocked ? share_block::part : share_block::none;
}

/// \return whether the first step of an occurrence has run, and the occurrence has not ended.
bool has_run_first_step(const job_entry& j)
{
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        int done = 0;
        const int steps = static_cast<int>(j.spec.steps.size());
        for (int s = 0; s < steps; ++s)
        {
            const auto tasks = j.spec.steps[static_cast<std::size_t>(s)].tasks;
            done += step_of(j, k, s).done >= tasks ? 1 : 0;
        }
        if (done > 0 && done < steps)
        {
            return true;
        }
    }
    return false;
}

} // namespace

void update_shares(
    fleet& f, core::mono_time now, std::int64_t unix_ms, std::vector<task_event>& out)
{
    if (f.settings.placement.shares != share_rule::work)
    {
        return;
    }
    const auto hosts = list_hosts(f);
    reset_pools(f, hosts, now);
    const auto work = list_active_work(f, hosts, now, unix_ms);
    for (const auto& it : share_level_names)
    {
        if (has_level(f, it.value))
        {
            divide_shares(f, it.value, work, now, out);
        }
    }
    for (const auto& it : work)
    {
        add_to_pool(f, it);
    }
    complete_pools(f);
}

int work_share_rank(const fleet& f, const job_entry& j)
{
    int rank = 0;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            constexpr int highest = 4;
            rank += is_beyond(f, level, name) ? highest >> static_cast<int>(level) : 0;
        });
    return rank > 0 && has_run_first_step(j) ? 0 : rank;
}

bool share_permits_start(
    const fleet& f, const job_entry& j, const workflow::step& s, std::int64_t tasks)
{
    return find_share_block(f, j, s, tasks) == share_block::none;
}

std::string describe_shares(
    const fleet& f, const job_entry& j, const workflow::step& s, core::mono_time now)
{
    std::string out;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            const auto& accounts = f.shares.accounts[static_cast<std::size_t>(level)];
            const auto it = accounts.find(name);
            if (it == accounts.end())
            {
                return;
            }
            out += (out.empty() ? "" : "; ") +
                   std::string{core::name_of(share_level_names, level)} + " " + name +
                   " has used " + std::to_string(std::llround(account_use(f, it->second, now))) +
                   " of its share of " + std::to_string(std::llround(it->second.share)) +
                   " core-seconds" + (it->second.beyond ? ", so others come first" : "");
        });
    const auto block = find_share_block(f, j, s, 1);
    out += block == share_block::beyond
               ? "; work beyond its share has 20% of the pool, while jobs within their share wait"
           : block == share_block::part
               ? "; the part of the pool by weight is in use, and others need the rest"
               : "";
    return out;
}

} // namespace camphorhitch::coordinator
