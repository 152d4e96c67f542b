#include "hosted_tables.hpp"

#include "core/names.hpp"

#include <algorithm>

namespace camphorhitch::daemon
{

namespace
{

using language::cell;
using language::value_kind;

std::int64_t done_tasks(const workflow::job_progress& p)
{
    return std::count_if(
        p.tasks.begin(), p.tasks.end(), [](const workflow::task_progress& it) { return it.done; });
}

std::int64_t failed_runs(const workflow::job_progress& p)
{
    std::int64_t n = 0;
    for (const auto& it : p.tasks)
    {
        n += static_cast<std::int64_t>(it.failed_runs.size());
    }
    return n;
}

std::int64_t all_tasks(const workflow::job& j)
{
    return static_cast<std::int64_t>(workflow::tasks_per_occurrence(j)) *
           workflow::occurrence_count(j);
}

language::row job_row(const hosted::stored_job& it, std::int64_t unix_ms)
{
    const auto state = core::name_of(workflow::job_state_names, hosted::effective_state(it));
    language::row out{it.id, std::string{state}};
    if (!it.spec)
    {
        out.resize(8);
        return out;
    }
    const auto& j = *it.spec;
    out.emplace_back(j.queue);
    out.emplace_back(j.pool);
    out.emplace_back(std::int64_t{j.priority});
    out.emplace_back(all_tasks(j));
    out.emplace_back(done_tasks(it.progress));
    out.emplace_back(core::millis{std::max<std::int64_t>(unix_ms - j.accepted_unix_ms, 0)});
    return out;
}

/// Describes the steps by the stored state, for nodes that don't coordinate.
std::string describe_stored_steps(const hosted::stored_job& it)
{
    std::string out;
    const auto& j = *it.spec;
    for (std::size_t s = 0; s < j.steps.size(); ++s)
    {
        std::int64_t done = 0;
        for (std::size_t i = 0; i < it.progress.tasks.size(); ++i)
        {
            const auto name = workflow::name_of_task(j, i);
            done += name.step == static_cast<int>(s) && it.progress.tasks[i].done ? 1 : 0;
        }
        const auto tasks = std::int64_t{j.steps[s].tasks} * workflow::occurrence_count(j);
        out += "step " + std::to_string(s) + ": " + std::to_string(done) + " of " +
               std::to_string(tasks) + " tasks stored as done\n";
    }
    return out;
}

std::string describe_leader(const std::string& leader, const std::string& own)
{
    if (leader.empty())
    {
        return "no node is known here to coordinate: nothing starts until one does\n";
    }
    if (leader == own)
    {
        return "this node coordinates and has not read the job yet\n";
    }
    return leader + " coordinates and knows what runs where: ask it\n";
}

} // namespace

language::table job_table(const std::vector<hosted::stored_job>& all, std::int64_t unix_ms)
{
    language::table t;
    t.columns = {{"id", value_kind::text},
        {"state", value_kind::text},
        {"queue", value_kind::text},
        {"pool", value_kind::text},
        {"priority", value_kind::integer},
        {"tasks", value_kind::integer},
        {"done", value_kind::integer},
        {"age", value_kind::duration}};
    for (const auto& it : all)
    {
        t.rows.push_back(job_row(it, unix_ms));
    }
    return t;
}

language::table host_table(const std::vector<coordinator::host_listing>& all)
{
    language::table t;
    t.columns = {{"id", value_kind::text},
        {"pool", value_kind::text},
        {"zone", value_kind::text},
        {"rack", value_kind::text},
        {"state", value_kind::text},
        {"address", value_kind::text},
        {"cores", value_kind::number},
        {"memory_mb", value_kind::integer},
        {"gpus", value_kind::integer}};
    constexpr double thousandths = 1000;
    for (const auto& it : all)
    {
        t.rows.push_back({ports::read_incarnation(it.ref.id).runner,
            it.pool,
            it.zone,
            it.rack,
            std::string{it.draining ? "draining" : "serving"},
            it.ref.address,
            static_cast<double>(it.capacity.cpu) / thousandths,
            it.capacity.memory_mb,
            it.capacity.gpus});
    }
    return t;
}

language::table pool_table(const hosted::fleet_config& config)
{
    language::table t;
    t.columns = {{"id", value_kind::text},
        {"standby", value_kind::boolean},
        {"queues", value_kind::integer}};
    for (const auto& it : config.pools)
    {
        const auto queues = std::count_if(config.queues.begin(),
            config.queues.end(),
            [&](const hosted::queue& q) { return q.pool == it.name; });
        t.rows.push_back({it.name, it.standby, static_cast<std::int64_t>(queues)});
    }
    return t;
}

language::table config_table(const hosted::fleet_config& config, core::micros age)
{
    const auto age_ms = std::chrono::duration_cast<core::millis>(age).count();
    language::table t;
    t.columns = {{"setting", value_kind::text}, {"value", value_kind::text}};
    t.rows = {{std::string{"version"}, std::to_string(config.version)},
        {std::string{"queues"}, std::to_string(config.queues.size())},
        {std::string{"pools"}, std::to_string(config.pools.size())},
        {std::string{"workspaces"},
            config.requires_keys ? std::to_string(config.workspaces.size()) : "none: no keys"},
        {std::string{"largest_body"}, std::to_string(config.max_body_bytes)},
        {std::string{"store_answered"}, std::to_string(age_ms) + " ms ago"}};
    return t;
}

std::string explain(const hosted::stored_job& j,
    const std::vector<std::string>& steps,
    const std::string& leader,
    const std::string& own,
    std::int64_t unix_ms)
{
    const auto state = hosted::effective_state(j);
    auto out =
        "job " + j.id + " is " + std::string{core::name_of(workflow::job_state_names, state)};
    if (!j.spec)
    {
        return out + '\n';
    }
    out += ", accepted " + std::to_string(unix_ms - j.spec->accepted_unix_ms) +
           " ms ago by queue " + j.spec->queue + " for pool " + j.spec->pool +
           (j.spec->workspace.empty() ? "" : " and workspace " + j.spec->workspace) + '\n';
    if (const auto n = failed_runs(j.progress); n > 0)
    {
        out += std::to_string(n) + " runs failed; a task may fail " +
               std::to_string(j.spec->max_attempts) + " times\n";
    }
    if (workflow::is_final(state))
    {
        return out + "nothing of it starts any more; what still runs is being stopped\n";
    }
    if (steps.empty())
    {
        return out + describe_stored_steps(j) + describe_leader(leader, own);
    }
    for (const auto& it : steps)
    {
        out += it + '\n';
    }
    return out;
}

} // namespace camphorhitch::daemon
