#include "experiment/lifecycle.hpp"

#include <algorithm>

namespace camphorhitch::experiment
{

namespace
{

/// Number of command ids kept in a configuration; the oldest are removed.
constexpr std::size_t max_commands = 200;

constexpr double ms_per_hour = 3600000.0;

std::string command_id(const experiment_document& d, const char* change)
{
    return "experiment/" + d.id + '@' + std::to_string(d.started_ms) + '/' + change;
}

bool was_command_applied(const model::configuration& c, const std::string& command)
{
    return std::find(c.commands.begin(), c.commands.end(), command) != c.commands.end();
}

void complete_change(model::configuration& c, std::string command)
{
    c.version += 1;
    c.commands.push_back(std::move(command));
    if (c.commands.size() > max_commands)
    {
        c.commands.erase(c.commands.begin());
    }
}

model::pool_config* find_pool_config(model::configuration& c, const std::string& pool)
{
    const auto it =
        std::find_if(c.pools.begin(), c.pools.end(), [&](const auto& p) { return p.name == pool; });
    return it == c.pools.end() ? nullptr : &*it;
}

/// The policy is compared as well as the mark, because an operator who edits the whole
/// configuration may change the policy and leave the mark.
bool uses_arm_policy(
    const experiment_document& d, const model::configuration& c, const experiment_pool& p)
{
    const model::pool_config* it = model::find_pool(c, p.pool);
    return it != nullptr && it->experiment == d.id && it->policy == policy_of(d, p.arm);
}

bool has_marked_pool(const experiment_document& d, const model::configuration& c)
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
        model::pool_config* pool = find_pool_config(next, it.pool);
        if (it.withdrawn || pool == nullptr)
        {
            continue;
        }
        pool->experiment = d.id;
        pool->policy_before = pool->policy;
        pool->policy = policy_of(d, it.arm);
    }
    complete_change(next, command_id(d, "apply"));
    return next;
}

model::configuration with_policies_restored(
    const experiment_document& d, const model::configuration& c)
{
    model::configuration next = c;
    for (auto& it : next.pools)
    {
        if (it.experiment != d.id)
        {
            continue;
        }
        const experiment_pool* p = find_pool(d, it.name);
        if (p != nullptr && it.policy == policy_of(d, p->arm))
        {
            it.policy = it.policy_before;
        }
        it.policy_before.clear();
        it.experiment.clear();
    }
    complete_change(next, command_id(d, "restore"));
    return next;
}

/// Withdraws pools that operators have given another policy or have removed.
bool withdraw_changed_pools(experiment_document& d, const model::configuration& c)
{
    bool changed = false;
    for (auto& it : d.pools)
    {
        if (!it.withdrawn && !uses_arm_policy(d, c, it))
        {
            it.withdrawn = true;
            changed = true;
        }
    }
    return changed;
}

/// Updates the document for a configuration that changed before the policies were applied.
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

next_write next_step_when_applying(const experiment_document& d, const model::configuration& c)
{
    if (was_command_applied(c, command_id(d, "apply")) || has_marked_pool(d, c))
    {
        experiment_document next = d;
        withdraw_changed_pools(next, c);
        next.state = experiment_state::running;
        return write_experiment{std::move(next)};
    }
    if (c.version != d.base_version)
    {
        return write_experiment{rebased(d, c)};
    }
    return write_configuration{with_policies(d, c)};
}

/// The configuration is written even when no pool is marked: a write that applies the policies,
/// decided before the end of the experiment, may still be in flight. That write is conditional on
/// the version before this one and can only fail after this write, so no pool remains under a
/// policy that no operator chose.
next_write next_step_when_restoring(
    const experiment_document& d, const model::configuration& c, core::wall_time now)
{
    if (!was_command_applied(c, command_id(d, "restore")) || has_marked_pool(d, c))
    {
        return write_configuration{with_policies_restored(d, c)};
    }
    experiment_document next = d;
    next.state = experiment_state::ended;
    next.ended_ms = core::to_unix_ms(now);
    return write_experiment{std::move(next)};
}

void begin_restoring(
    experiment_document& d, end_reason reason, std::string weighed, core::wall_time now)
{
    d.state = experiment_state::restoring;
    d.reason = reason;
    d.decision = {std::string{core::name_of(end_reason_names, reason)},
        std::move(weighed),
        core::to_unix_ms(now)};
}

void add_measurements(experiment_pool& p, const pool_sample& s, core::millis elapsed)
{
    const double hours = static_cast<double>(elapsed.count()) / ms_per_hour;
    p.measured.observed_ms += elapsed.count();
    p.measured.buffer_host_hours += s.spare_hosts * hours;
    p.measured.host_hours += s.hosts * hours;
    p.measured.host_moves += s.host_moves;
    p.measured.job_moves += s.job_moves;
    for (const double it : s.rollouts)
    {
        p.measured.rollouts += 1;
        p.measured.rollout_hours += it;
    }
    const bool at_limit = s.absent >= s.absent_budget || s.zone_at_limit;
    p.at_limit_ms = at_limit ? p.at_limit_ms + elapsed.count() : 0;
}

/// \return the reason why a guard rail ends the experiment, or an empty text.
std::string guard_rail_violation(
    const experiment_document& d, const experiment_pool& p, const pool_sample& s)
{
    if (d.over_budget > d.guards.max_over_budget)
    {
        return "pool " + p.pool + " has " + std::to_string(s.absent) +
               " hosts absent, over its budget of " + std::to_string(s.absent_budget) +
               " or a zone's";
    }
    if (p.at_limit_ms > d.guards.max_at_limit_ms)
    {
        return "pool " + p.pool + " has had its budget used up for " +
               std::to_string(p.at_limit_ms / 1000) + " s: the next failure would break it";
    }
    if (d.halted_waves > d.guards.max_halted_waves)
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
        return next_step_when_applying(d, c);
    case experiment_state::running:
    {
        experiment_document next = d;
        if (withdraw_changed_pools(next, c))
        {
            return write_experiment{std::move(next)};
        }
        return {};
    }
    case experiment_state::restoring:
        return next_step_when_restoring(d, c, now);
    case experiment_state::ended:
        return {};
    }
    return {};
}

bool stop(experiment_document& d, const std::string& command, core::wall_time now)
{
    const bool repeat =
        std::find(d.commands.begin(), d.commands.end(), command) != d.commands.end();
    const bool has_ended =
        d.state == experiment_state::restoring || d.state == experiment_state::ended;
    if (repeat || has_ended)
    {
        return false;
    }
    d.commands.push_back(command);
    begin_restoring(d, end_reason::stopped, command, now);
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
    std::string violation;
    for (const auto& it : s.pools)
    {
        experiment_pool* p = find_pool(d, it.pool);
        if (p == nullptr || p->withdrawn)
        {
            continue;
        }
        add_measurements(*p, it, s.elapsed);
        d.over_budget += it.absent > it.absent_budget || it.zone_over_budget ? 1 : 0;
        d.halted_waves += it.halted_waves;
        violation = violation.empty() ? guard_rail_violation(d, *p, it) : violation;
    }
    if (!violation.empty())
    {
        begin_restoring(d, end_reason::endangered, violation, now);
    }
    else if (d.observed_ms >= d.duration_ms)
    {
        begin_restoring(d, end_reason::completed, "observed for its whole duration", now);
    }
    return true;
}

} // namespace camphorhitch::experiment
