#include "experiment/lifecycle.hpp"

#include <algorithm>

namespace camphorhitch::experiment
{

namespace
{

/// Ids of the newest commands that a configuration remembers.
constexpr std::size_t most_commands = 200;

constexpr double ms_per_hour = 3600000.0;

std::string command_of(const experiment_document& d, const char* what)
{
    return "experiment/" + d.id + '@' + std::to_string(d.started_ms) + '/' + what;
}

bool was_applied(const model::configuration& c, const std::string& command)
{
    return std::find(c.commands.begin(), c.commands.end(), command) != c.commands.end();
}

void finish_change(model::configuration& c, std::string command)
{
    c.version += 1;
    c.commands.push_back(std::move(command));
    if (c.commands.size() > most_commands)
    {
        c.commands.erase(c.commands.begin());
    }
}

model::pool_config* find_config(model::configuration& c, const std::string& pool)
{
    const auto it =
        std::find_if(c.pools.begin(), c.pools.end(), [&](const auto& p) { return p.name == pool; });
    return it == c.pools.end() ? nullptr : &*it;
}

/// An operator who edits the whole configuration may change the policy and leave the mark.
bool is_under_arm(const experiment_document& d, const model::configuration& c, const pool_record& p)
{
    const model::pool_config* it = model::find_pool(c, p.pool);
    return it != nullptr && it->experiment == d.id && it->policy == policy_of(d, p.arm);
}

bool any_is_marked(const experiment_document& d, const model::configuration& c)
{
    return std::any_of(c.pools.begin(),
        c.pools.end(),
        [&](const model::pool_config& it) { return it.experiment == d.id; });
}

model::configuration with_policies(const experiment_document& d, const model::configuration& c)
{
    model::configuration next = c;
    for (const auto& it : d.pools)
    {
        model::pool_config* pool = find_config(next, it.pool);
        if (it.withdrawn || pool == nullptr)
        {
            continue;
        }
        pool->experiment = d.id;
        pool->policy_before = pool->policy;
        pool->policy = policy_of(d, it.arm);
    }
    finish_change(next, command_of(d, "apply"));
    return next;
}

model::configuration restored(const experiment_document& d, const model::configuration& c)
{
    model::configuration next = c;
    for (auto& it : next.pools)
    {
        if (it.experiment != d.id)
        {
            continue;
        }
        const pool_record* p = find_pool(d, it.name);
        if (p != nullptr && it.policy == policy_of(d, p->arm))
        {
            it.policy = it.policy_before;
        }
        it.policy_before.clear();
        it.experiment.clear();
    }
    finish_change(next, command_of(d, "restore"));
    return next;
}

/// Takes pools out that operators gave another policy, or that are gone.
bool withdraw(experiment_document& d, const model::configuration& c)
{
    bool changed = false;
    for (auto& it : d.pools)
    {
        if (!it.withdrawn && !is_under_arm(d, c, it))
        {
            it.withdrawn = true;
            changed = true;
        }
    }
    return changed;
}

/// The configuration moved on before the policies were applied: plan upon the new one.
experiment_document rebased(const experiment_document& d, const model::configuration& c)
{
    experiment_document next = d;
    next.base_version = c.version;
    for (auto& it : next.pools)
    {
        const model::pool_config* pool = model::find_pool(c, it.pool);
        const bool chosen_anew =
            pool == nullptr || pool->policy != it.policy_before || !pool->experiment.empty();
        it.withdrawn = it.withdrawn || chosen_anew;
    }
    return next;
}

next_write next_of_applying(const experiment_document& d, const model::configuration& c)
{
    if (was_applied(c, command_of(d, "apply")) || any_is_marked(d, c))
    {
        experiment_document next = d;
        withdraw(next, c);
        next.state = experiment_state::running;
        return write_experiment{std::move(next)};
    }
    if (c.version != d.base_version)
    {
        return write_experiment{rebased(d, c)};
    }
    return write_configuration{with_policies(d, c)};
}

/// The configuration is written also when no pool of it is ours: a write that applies the policies
/// may be on its way, decided before the end. It is conditional on the version before this one, so
/// that after this write it can only fail, and no pool is left under a policy that nobody chose.
next_write next_of_restoring(
    const experiment_document& d, const model::configuration& c, core::wall_time now)
{
    if (!was_applied(c, command_of(d, "restore")) || any_is_marked(d, c))
    {
        return write_configuration{restored(d, c)};
    }
    experiment_document next = d;
    next.state = experiment_state::ended;
    next.ended_ms = core::to_unix_ms(now);
    return write_experiment{std::move(next)};
}

void end(experiment_document& d, end_cause cause, std::string weighed, core::wall_time now)
{
    d.state = experiment_state::restoring;
    d.cause = cause;
    d.why = {std::string{core::name_of(end_cause_names, cause)},
        std::move(weighed),
        core::to_unix_ms(now)};
}

void count(pool_record& p, const pool_sample& s, core::millis elapsed)
{
    const double hours = static_cast<double>(elapsed.count()) / ms_per_hour;
    p.sum.observed_ms += elapsed.count();
    p.sum.buffer_host_hours += s.held_back * hours;
    p.sum.host_hours += s.hosts * hours;
    p.sum.host_moves += s.host_moves;
    p.sum.job_moves += s.job_moves;
    for (const double it : s.rollouts)
    {
        p.sum.rollouts += 1;
        p.sum.rollout_hours += it;
    }
    const bool at_limit = s.absent >= s.absent_budget || s.zone_at_limit;
    p.at_limit_ms = at_limit ? p.at_limit_ms + elapsed.count() : 0;
}

/// \return why the experiment must end now, or an empty text.
std::string danger_of(const experiment_document& d, const pool_record& p, const pool_sample& s)
{
    if (d.over_budget > d.guards.most_over_budget)
    {
        return "pool " + p.pool + " has " + std::to_string(s.absent) +
               " hosts absent, over its budget of " + std::to_string(s.absent_budget) +
               " or a zone's";
    }
    if (p.at_limit_ms > d.guards.most_at_limit_ms)
    {
        return "pool " + p.pool + " has had its budget used up for " +
               std::to_string(p.at_limit_ms / 1000) + " s: the next failure would break it";
    }
    if (d.halted_waves > d.guards.most_halted_waves)
    {
        return "a wave halted in pool " + p.pool + " because hosts did not come back";
    }
    return {};
}

} // namespace

next_write next_step(
    const experiment_document& d, const model::configuration& c, core::wall_time now)
{
    switch (d.state)
    {
    case experiment_state::applying:
        return next_of_applying(d, c);
    case experiment_state::running:
    {
        experiment_document next = d;
        if (withdraw(next, c))
        {
            return write_experiment{std::move(next)};
        }
        return {};
    }
    case experiment_state::restoring:
        return next_of_restoring(d, c, now);
    case experiment_state::ended:
        return {};
    }
    return {};
}

bool stop(experiment_document& d, const std::string& command, core::wall_time now)
{
    const bool repeat =
        std::find(d.commands.begin(), d.commands.end(), command) != d.commands.end();
    const bool over = d.state == experiment_state::restoring || d.state == experiment_state::ended;
    if (repeat || over)
    {
        return false;
    }
    d.commands.push_back(command);
    end(d, end_cause::stopped, command, now);
    return true;
}

bool add_sample(experiment_document& d, const sample& s, core::wall_time now)
{
    if (d.state != experiment_state::running || s.id == d.last_sample)
    {
        return false;
    }
    d.last_sample = s.id;
    d.observed_ms += s.elapsed.count();
    std::string danger;
    for (const auto& it : s.pools)
    {
        pool_record* p = find_pool(d, it.pool);
        if (p == nullptr || p->withdrawn)
        {
            continue;
        }
        count(*p, it, s.elapsed);
        d.over_budget += it.absent > it.absent_budget || it.zone_over ? 1 : 0;
        d.halted_waves += it.halted_waves;
        danger = danger.empty() ? danger_of(d, *p, it) : danger;
    }
    if (!danger.empty())
    {
        end(d, end_cause::endangered, danger, now);
    }
    else if (d.observed_ms >= d.duration_ms)
    {
        end(d, end_cause::completed, "observed for its whole duration", now);
    }
    return true;
}

} // namespace camphorhitch::experiment
