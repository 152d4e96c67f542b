#include "coordinator/share_accounts.hpp"

#include "bookkeeping.hpp"
#include "share_levels.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

constexpr double milli = 1000.0;

/// Rows in the stored record, which is written twice a second.
constexpr std::size_t max_rows = 64;

double seconds(core::mono_time::duration d)
{
    return std::chrono::duration<double>(d).count();
}

double window_seconds(const fleet& f)
{
    return seconds(std::max(f.settings.placement.share.window, core::millis{1}));
}

/// \return the part of an amount that is left after the time.
double decay_factor(const fleet& f, core::mono_time::duration elapsed)
{
    return std::exp(-std::max(seconds(elapsed), 0.0) / window_seconds(f));
}

/// \return the decayed use, in core-seconds, of \p cpu thousandths of a core that have been in use
/// for the time whose decay_factor() is \p left.
double used_until(const fleet& f, std::int64_t cpu, double left)
{
    return static_cast<double>(cpu) / milli * window_seconds(f) * (1 - left);
}

/// \return the decayed use of \p cpu thousandths of a core that were in use for the time until now.
double decayed_use(const fleet& f, std::int64_t cpu, core::mono_time::duration duration)
{
    return used_until(f, cpu, decay_factor(f, duration));
}

/// \return what the accounts of the job contain for its active batch runs beyond their use until
/// now, in core-seconds.
double expected_rest(const fleet& f, const job_entry& j, core::mono_time now)
{
    double sum = 0;
    for (std::size_t i = 0; j.batch_share_cpu > 0 && i < j.tasks.size(); ++i)
    {
        for (const auto& it : j.tasks[i].runs)
        {
            if (it.share_charge > 0)
            {
                const auto left = decay_factor(f, now - it.ordered_at);
                sum += it.share_charge * left - used_until(f, it.share_cpu, left);
            }
        }
    }
    return sum;
}

/// Lets the account decay, and adds the use of long-running tasks since its last update.
void advance(const fleet& f, share_account& a, core::mono_time now)
{
    if (now <= a.updated_at)
    {
        return;
    }
    const auto elapsed = now - a.updated_at;
    a.used = a.used * decay_factor(f, elapsed) + decayed_use(f, a.long_running_cpu, elapsed);
    a.updated_at = now;
}

/// Adds a run that starts to the state of the pool in the present plan.
void add_to_pool(fleet& f, const job_entry& j, const workflow::step& s, const run_entry& run)
{
    const auto found = f.shares.pools.find(j.spec.pool);
    if (found == f.shares.pools.end())
    {
        return;
    }
    auto& p = found->second;
    const auto started = [&](std::int64_t& waiting)
    {
        waiting = std::max(waiting - run.share_cpu, std::int64_t{0});
    };
    const auto batch_cpu = s.long_running ? 0 : run.share_cpu;
    p.free -= run.share_cpu;
    p.long_running += run.share_cpu - batch_cpu;
    bool beyond = false;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            auto& it = p.uses[static_cast<std::size_t>(level)][name];
            it.running += batch_cpu;
            started(it.waiting);
            beyond = beyond || f.shares.accounts[static_cast<std::size_t>(level)][name].beyond;
        });
    if (beyond)
    {
        p.beyond_running += batch_cpu;
    }
    else
    {
        started(p.within_waiting);
    }
}

} // namespace

std::int64_t dominant_cpu(const fleet& f, const workflow::step& s)
{
    const auto need = required_resources(s);
    const auto& all = f.shares.capacity;
    const auto in_cpu = [&](std::int64_t amount, std::int64_t of)
    {
        return of > 0 ? static_cast<std::int64_t>(static_cast<double>(amount) /
                                                  static_cast<double>(of) *
                                                  static_cast<double>(all.cpu))
                      : std::int64_t{0};
    };
    return std::max({need.cpu, in_cpu(need.memory_mb, all.memory_mb), in_cpu(need.gpus, all.gpus)});
}

double account_use(const fleet& f, const share_account& a, core::mono_time now)
{
    auto it = a;
    advance(f, it, now);
    return it.used;
}

void charge_run(fleet& f, job_entry& j, const workflow::step& s, run_entry& run)
{
    if (f.settings.placement.shares != share_rule::work)
    {
        return;
    }
    run.share_cpu = dominant_cpu(f, s);
    const auto expected = expected_run_time(f.run_time_estimates, s);
    run.share_charge = s.long_running ? 0 : decayed_use(f, run.share_cpu, expected);
    (s.long_running ? j.long_running_share_cpu : j.batch_share_cpu) += run.share_cpu;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            auto& it = f.shares.accounts[static_cast<std::size_t>(level)][name];
            advance(f, it, run.ordered_at);
            it.used += run.share_charge;
            it.long_running_cpu += s.long_running ? run.share_cpu : 0;
        });
    add_to_pool(f, j, s, run);
}

void settle_run(
    fleet& f, job_entry& j, const workflow::step& s, const run_entry& run, core::mono_time now)
{
    if (f.settings.placement.shares != share_rule::work)
    {
        return;
    }
    const auto duration = now - run.ordered_at;
    const auto correction = s.long_running ? 0.0
                                           : decayed_use(f, run.share_cpu, duration) -
                                                 run.share_charge * decay_factor(f, duration);
    (s.long_running ? j.long_running_share_cpu : j.batch_share_cpu) -= run.share_cpu;
    for_each_account(f,
        j.spec,
        [&](share_level level, const std::string& name)
        {
            auto& it = f.shares.accounts[static_cast<std::size_t>(level)][name];
            advance(f, it, now);
            it.used = std::max(it.used + correction, 0.0);
            it.long_running_cpu -= s.long_running ? run.share_cpu : 0;
        });
}

std::map<std::string, double> share_ratios(const fleet& f, share_level level, core::mono_time now)
{
    std::map<std::string, double> out;
    for (const auto& [name, it] : f.shares.accounts[static_cast<std::size_t>(level)])
    {
        out[name] = it.share > 0 ? account_use(f, it, now) / it.share : 0;
    }
    return out;
}

std::vector<share_row> share_rows(const fleet& f, core::mono_time now)
{
    if (f.settings.placement.shares != share_rule::work)
    {
        return {};
    }
    auto accounts = f.shares.accounts;
    for (auto& level : accounts)
    {
        for (auto& [name, it] : level)
        {
            advance(f, it, now);
        }
    }
    for (const auto& id : f.open_jobs)
    {
        const auto& j = *f.jobs.at(id);
        const auto expected = expected_rest(f, j, now);
        for_each_account(f,
            j.spec,
            [&](share_level level, const std::string& name)
            { accounts[static_cast<std::size_t>(level)][name].used -= expected; });
    }
    std::vector<share_row> out;
    for (const auto& level : share_level_names)
    {
        for (const auto& [name, it] : accounts[static_cast<std::size_t>(level.value)])
        {
            if (it.used > 0)
            {
                out.push_back({level.value, name, it.used});
            }
        }
    }
    const auto key = [](const share_row& it)
    {
        return std::tuple(-it.used, it.level, it.name);
    };
    std::sort(
        out.begin(), out.end(), [&](const auto& a, const auto& b) { return key(a) < key(b); });
    out.resize(std::min(out.size(), max_rows));
    return out;
}

void restore_shares(fleet& f, const std::vector<share_row>& rows, core::mono_time at)
{
    f.shares.accounts = {};
    for (const auto& it : rows)
    {
        auto& a = f.shares.accounts[static_cast<std::size_t>(it.level)][it.name];
        a.used = it.used;
        a.updated_at = at;
    }
}

} // namespace camphorhitch::coordinator
