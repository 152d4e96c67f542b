#include "fleet_tables.hpp"

#include "fleet/budget.hpp"
#include "membership/owners.hpp"

#include <algorithm>
#include <numeric>

namespace camphorhitch::daemon
{

namespace
{

using language::cell;
using language::row;
using language::table;
using language::value_kind;

cell text(std::string_view it)
{
    return std::string{it};
}

cell whole(std::size_t n)
{
    return static_cast<std::int64_t>(n);
}

cell whole(int n)
{
    return static_cast<std::int64_t>(n);
}

std::string owner_name(const model::member_record* it)
{
    return it == nullptr ? std::string{} : it->id;
}

table hosts_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"pool", value_kind::text},
        {"zone", value_kind::text},
        {"rack", value_kind::text},
        {"state", value_kind::text},
        {"purpose", value_kind::text},
        {"wave", value_kind::text},
        {"maintained", value_kind::text},
        {"lent_by", value_kind::text},
        {"target", value_kind::text},
        {"slots", value_kind::integer},
        {"processors", value_kind::number},
        {"memory_gb", value_kind::number},
        {"accelerators", value_kind::integer}};
    for (const auto& pool : services.fleet.pools())
    {
        for (const auto& it : pool.document.hosts)
        {
            const auto purpose = it.purpose == model::drain_purpose::none
                                     ? std::string_view{}
                                     : core::name_of(model::drain_purpose_names, it.purpose);
            t.rows.push_back({text(it.id),
                text(pool.document.pool),
                text(it.zone),
                text(it.rack),
                text(core::name_of(model::host_state_names, it.state)),
                text(purpose),
                text(it.wave),
                text(it.last_wave),
                text(it.lent_by),
                text(it.target),
                whole(it.slots),
                it.processors,
                it.memory_gb,
                whole(it.accelerators)});
        }
    }
    return t;
}

row pool_row(const fleet::pool_view& pool, const service_refs& services)
{
    const auto& d = pool.document;
    const auto& config = services.config.current();
    const auto* settings = model::find_pool(config, d.pool);
    const auto count = [&](model::host_state state)
    {
        return whole(static_cast<std::size_t>(std::count_if(
            d.hosts.begin(), d.hosts.end(), [&](const auto& it) { return it.state == state; })));
    };
    const auto* owner = membership::owner_of_pool(services.members.roster(), d.pool);
    return {text(d.pool),
        text(settings == nullptr ? "" : settings->policy),
        whole(d.hosts.size()),
        count(model::host_state::serving),
        count(model::host_state::held),
        count(model::host_state::draining),
        count(model::host_state::rebooting),
        count(model::host_state::failed),
        whole(fleet::count_absences(d).missing),
        whole(settings == nullptr ? 0 : settings->budget.absent),
        whole(settings == nullptr ? 0 : settings->budget.absent_per_zone),
        text(owner_name(owner))};
}

table pools_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"policy", value_kind::text},
        {"hosts", value_kind::integer},
        {"serving", value_kind::integer},
        {"held", value_kind::integer},
        {"draining", value_kind::integer},
        {"rebooting", value_kind::integer},
        {"failed", value_kind::integer},
        {"absent", value_kind::integer},
        {"budget", value_kind::integer},
        {"budget_per_zone", value_kind::integer},
        {"owner", value_kind::text}};
    for (const auto& pool : services.fleet.pools())
    {
        t.rows.push_back(pool_row(pool, services));
    }
    return t;
}

table waves_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"phase", value_kind::text},
        {"hosts", value_kind::integer},
        {"done", value_kind::integer},
        {"in_progress", value_kind::integer},
        {"waiting", value_kind::integer},
        {"failed", value_kind::integer},
        {"batch", value_kind::integer},
        {"policy", value_kind::text},
        {"took", value_kind::duration}};
    for (const auto& wave : services.fleet.waves())
    {
        const auto& d = wave.document;
        const auto sum = fleet::summarize(d, services.fleet.pools());
        t.rows.push_back({text(d.id),
            text(core::name_of(model::wave_phase_names, d.phase)),
            whole(sum.hosts),
            whole(sum.done),
            whole(sum.in_progress),
            whole(sum.waiting),
            whole(sum.failed),
            whole(d.batch),
            text(d.policy),
            {}});
        if (d.ended_ms > 0)
        {
            t.rows.back().back() = core::millis{d.ended_ms - d.started_ms};
        }
    }
    return t;
}

table jobs_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"pool", value_kind::text},
        {"team", value_kind::text},
        {"class", value_kind::text},
        {"state", value_kind::text},
        {"host", value_kind::text},
        {"attempt", value_kind::integer},
        {"processors", value_kind::number},
        {"memory_gb", value_kind::number},
        {"accelerators", value_kind::integer},
        {"run_time", value_kind::duration}};
    for (const auto& [pool, list] : services.jobs.all_jobs())
    {
        for (const auto* it : list)
        {
            t.rows.push_back({text(it->id),
                text(pool),
                text(it->team),
                text(core::name_of(jobs::job_class_names, it->klass)),
                text(core::name_of(jobs::job_state_names, it->state)),
                text(it->host),
                whole(it->attempt),
                it->declared.processors,
                it->declared.memory_gb,
                whole(it->declared.accelerators),
                it->run_time});
        }
    }
    return t;
}

table members_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"zone", value_kind::text},
        {"address", value_kind::text},
        {"epoch", value_kind::integer},
        {"config_version", value_kind::integer},
        {"fresh", value_kind::boolean},
        {"incarnation", value_kind::text}};
    for (const auto& it : services.members.roster().members)
    {
        const auto peer = services.members.peers().find(it.id);
        const bool known = peer != services.members.peers().end();
        const bool here = membership::same_process(it, services.members.self());
        row one{text(it.id), text(it.zone), text(it.address), {}, {}, {}, text(it.incarnation)};
        if (here)
        {
            one[3] = static_cast<std::int64_t>(services.members.roster().epoch);
            one[4] = services.config.current().version;
            one[5] = services.members.fresh();
        }
        else if (known)
        {
            one[3] = static_cast<std::int64_t>(peer->second.epoch);
            one[4] = peer->second.config_version;
            one[5] = peer->second.fresh;
        }
        t.rows.push_back(std::move(one));
    }
    return t;
}

table config_table(const service_refs& services)
{
    const auto& c = services.config.current();
    table t;
    t.columns = {{"name", value_kind::text}, {"value", value_kind::text}};
    t.rows = {{text("version"), text(std::to_string(c.version))},
        {text("pools"), text(std::to_string(c.pools.size()))},
        {text("policies"), text(std::to_string(c.policies.size()))},
        {text("teams"), text(std::to_string(c.teams.size()))},
        {text("key_memory"), text(language::to_text(c.key_memory))},
        {text("keys_per_slot"), text(std::to_string(c.keys_per_slot))},
        {text("answer_kept_bytes"), text(std::to_string(c.answer_kept_bytes))}};
    return t;
}

table policies_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"kind", value_kind::text},
        {"canary", value_kind::integer},
        {"growth", value_kind::number},
        {"largest_batch", value_kind::integer},
        {"halt_after", value_kind::integer},
        {"fixed_buffer", value_kind::integer},
        {"return_timeout", value_kind::duration},
        {"drain_timeout", value_kind::duration}};
    for (const auto& it : services.config.current().policies)
    {
        t.rows.push_back({text(it.name),
            text(core::name_of(model::policy_kind_names, it.kind)),
            whole(it.canary),
            it.growth,
            whole(it.largest_batch),
            whole(it.halt_after),
            whole(it.fixed_buffer),
            it.return_timeout,
            it.drain_timeout});
    }
    return t;
}

table teams_table(const service_refs& services)
{
    table t;
    t.columns = {{"id", value_kind::text},
        {"processors", value_kind::number},
        {"memory_gb", value_kind::number},
        {"accelerators", value_kind::integer}};
    for (const auto& it : services.config.current().teams)
    {
        t.rows.push_back({text(it.name), it.processors, it.memory_gb, whole(it.accelerators)});
    }
    return t;
}

void sort_by_id(table& t)
{
    std::sort(t.rows.begin(),
        t.rows.end(),
        [](const row& a, const row& b)
        { return std::get<std::string>(a[0]) < std::get<std::string>(b[0]); });
}

} // namespace

language::table make_table(language::table_kind what, const service_refs& services)
{
    table t;
    switch (what)
    {
    case language::table_kind::hosts:
        t = hosts_table(services);
        break;
    case language::table_kind::pools:
        t = pools_table(services);
        break;
    case language::table_kind::waves:
        t = waves_table(services);
        break;
    case language::table_kind::jobs:
        t = jobs_table(services);
        break;
    case language::table_kind::members:
        t = members_table(services);
        break;
    case language::table_kind::config:
        return config_table(services);
    case language::table_kind::experiments:
        t = services.experiments.make_table();
        break;
    case language::table_kind::policies:
        t = policies_table(services);
        break;
    case language::table_kind::teams:
        t = teams_table(services);
        break;
    }
    sort_by_id(t);
    return t;
}

} // namespace camphorhitch::daemon
