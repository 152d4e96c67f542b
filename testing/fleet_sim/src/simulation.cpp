#include "fleet_sim/simulation.hpp"

#include "core/rendezvous.hpp"
#include "fleet/budget.hpp"
#include "fleet/pool_rules.hpp"

#include <algorithm>
#include <string_view>

namespace camphorhitch::fleet_sim
{

using fleet::pool_view;
using fleet::wave_view;

namespace
{

core::mono_time mono(const simulation& sim)
{
    return core::mono_time{core::millis{sim.platform.now_ms}};
}

core::wall_time wall(const simulation& sim)
{
    return core::from_unix_ms(sim.platform.now_ms);
}

bool owns(const simulation& sim, const sim_member& m, const std::string& key)
{
    return m.epoch == sim.epoch && owner_by_roster(sim, key) == m.id;
}

pool_view* find_view(sim_member& m, const std::string& pool)
{
    const auto it = std::find_if(m.pools.begin(),
        m.pools.end(),
        [&](const pool_view& v) { return v.document.pool == pool; });
    return it == m.pools.end() ? nullptr : &*it;
}

const pool_view* find_view(const sim_member& m, const std::string& pool)
{
    return find_view(const_cast<sim_member&>(m), pool);
}

/// Records the takeover time of newly owned pools and removes the state of pools that the member no
/// longer owns. In an epoch that the member missed, another member may have owned its pools, so the
/// member then takes all of them over again.
void record_ownership(simulation& sim, sim_member& m, bool missed_epochs)
{
    if (missed_epochs)
    {
        m.taken_over_ms.clear();
    }
    for (const auto& it : m.pools)
    {
        const auto& pool = it.document.pool;
        if (!owns(sim, m, "pool/" + pool))
        {
            m.taken_over_ms.erase(pool);
            m.timers.erase(pool);
        }
        else if (m.taken_over_ms.count(pool) == 0)
        {
            m.taken_over_ms[pool] = sim.platform.now_ms;
        }
    }
}

std::vector<fleet::host_activity> activity(
    const simulation& sim, const sim_member& m, const pool_view& own)
{
    std::vector<fleet::host_activity> out;
    const bool certain = is_certain(sim, m, own.document.pool);
    for (const auto& it : own.document.hosts)
    {
        const auto host = sim.platform.hosts.find(it.id);
        if (host == sim.platform.hosts.end())
        {
            continue;
        }
        const auto& h = host->second;
        out.push_back({it.id,
            !fleet::accepts_work(it),
            certain,
            static_cast<int>(h.requests.size()),
            static_cast<int>(h.jobs.size())});
    }
    return out;
}

void decide_one_pool(
    simulation& sim, sim_member& m, const pool_view& own, const fleet::live_list_index& all)
{
    const auto live = all.of(own.document);
    const auto seen = activity(sim, m, own);
    const fleet::pool_inputs in{own,
        *m.config,
        m.waves,
        m.as_of > 0,
        {m.pools, m.as_of},
        live,
        seen,
        {},
        mono(sim),
        wall(sim)};
    for (auto& it : fleet::decide_pool(in, m.timers[own.document.pool]))
    {
        m.pending.push_back({own.document.pool, std::move(it), m.config});
    }
}

void update_view(sim_member& m, const model::pool_document& d, std::int64_t revision)
{
    auto* known = find_view(m, d.pool);
    auto& entry = known ? *known : m.pools.emplace_back();
    entry = {d, revision};
}

answer write(simulation& sim,
    sim_member& m,
    const model::configuration& config,
    const model::pool_document& d,
    std::int64_t expected)
{
    sim.writer_config = &config;
    const auto out = put_pool(sim.kv, d, expected);
    if (out == answer::ok)
    {
        update_view(m, d, sim.kv.revision);
    }
    return out;
}

void execute(simulation& sim, sim_member& m, const pending_step& step, const fleet::write_pool& a)
{
    write(sim, m, *step.config, a.document, a.expected);
}

void execute(simulation& sim, sim_member& m, const pending_step& step, const fleet::order_reboot& a)
{
    reboot(sim.platform, a.host, a.command);
    fleet::record_reboot_acknowledged(m.timers[step.pool], a.host, a.command, mono(sim));
}

/// Moves jobs off a host. Jobs that end in time stay; the others go to hosts of the same pool,
/// preferably to hosts that are not awaiting maintenance.
void execute(
    simulation& sim, sim_member& m, const pending_step& step, const fleet::move_jobs_off& a)
{
    const auto* view = find_view(m, step.pool);
    auto& from = sim.platform.hosts.at(a.host);
    const auto upcoming = fleet::hosts_awaiting_maintenance(m.pools, m.waves);
    const std::int64_t until = sim.platform.now_ms + a.time_left.count();
    sim_host* best = nullptr;
    const auto awaits_maintenance = [&](const std::string& id)
    {
        return std::find(upcoming.begin(), upcoming.end(), id) != upcoming.end();
    };
    for (const auto& it : view->document.hosts)
    {
        const bool fit = fleet::accepts_work(it) && sim.platform.hosts.at(it.id).up;
        auto* next = fit && it.id != a.host ? &sim.platform.hosts.at(it.id) : nullptr;
        const auto rank = [&](const sim_host* h)
        {
            return std::make_pair(awaits_maintenance(h->id), h->jobs.size());
        };
        if (next != nullptr && (best == nullptr || rank(next) < rank(best)))
        {
            best = next;
        }
    }
    const auto stays = [&](std::int64_t end)
    {
        return end <= until || best == nullptr;
    };
    const auto moving = std::stable_partition(from.jobs.begin(), from.jobs.end(), stays);
    sim.job_moves += std::distance(moving, from.jobs.end());
    std::for_each(moving,
        from.jobs.end(),
        [&](std::int64_t end)
        { sim.repeated_job_moves += sim.moved_jobs.insert(end).second ? 0 : 1; });
    if (best != nullptr)
    {
        best->jobs.insert(best->jobs.end(), moving, from.jobs.end());
    }
    from.jobs.erase(moving, from.jobs.end());
}

void execute(simulation&, sim_member&, const pending_step&, const fleet::stop_host&)
{
    // may_send() uses the member's own view, in which the host is already stopped.
}

void execute(simulation&, sim_member&, const pending_step&, const fleet::report_slow_drain&)
{
}

void execute(simulation& sim, sim_member& m, const pending_step&, const fleet::write_wave& a)
{
    if (put_wave(sim.kv, a.document, a.expected) != answer::ok)
    {
        return;
    }
    const auto it = std::find_if(m.waves.begin(),
        m.waves.end(),
        [&](const wave_view& v) { return v.document.id == a.document.id; });
    if (it != m.waves.end())
    {
        *it = {a.document, sim.kv.revision};
    }
}

} // namespace

void set_roster(simulation& sim, std::vector<std::string> members)
{
    sim.roster = std::move(members);
    ++sim.epoch;
}

std::string owner_by_roster(const simulation& sim, const std::string& key)
{
    const std::vector<std::string_view> ids(sim.roster.begin(), sim.roster.end());
    return ids.empty() ? "" : sim.roster[core::rendezvous_order(key, ids)[0]];
}

void refresh(simulation& sim, sim_member& m)
{
    if (sim.kv.down)
    {
        return;
    }
    m.pools = sim.kv.pools;
    m.waves = sim.kv.waves;
    if (!m.config || m.config->version != sim.config.version)
    {
        m.config = std::make_shared<const model::configuration>(sim.config);
    }
    m.as_of = sim.kv.revision;
    const bool missed_epochs = sim.epoch > m.epoch + 1;
    m.epoch = sim.epoch;
    m.confirmed_ms = sim.platform.now_ms;
    record_ownership(sim, m, missed_epochs);
}

void refresh_pool(simulation& sim, sim_member& m, const std::string& pool)
{
    const auto* newest = find_pool(sim.kv, pool);
    if (!sim.kv.down && newest != nullptr && m.as_of > 0)
    {
        update_view(m, newest->document, newest->revision);
    }
}

bool is_certain(const simulation& sim, const sim_member& m, const std::string& pool)
{
    const auto since = m.taken_over_ms.find(pool);
    const bool fresh = sim.platform.now_ms - m.confirmed_ms <= sim.settings.freshness_ms;
    if (!fresh || since == m.taken_over_ms.end())
    {
        return false;
    }
    const auto has_adopted_epoch = [&](const sim_member& it)
    {
        return it.id == m.id || it.epoch >= m.epoch;
    };
    const std::int64_t bound =
        sim.settings.freshness_ms + sim.settings.margin_ms + sim.settings.max_request_ms;
    return std::all_of(sim.members.begin(), sim.members.end(), has_adopted_epoch) ||
           sim.platform.now_ms - since->second >= bound;
}

bool may_send(
    const simulation& sim, const sim_member& m, const std::string& pool, const std::string& host)
{
    const auto* view = find_view(m, pool);
    const auto* h = view ? model::find_host(view->document, host) : nullptr;
    return h != nullptr && fleet::accepts_work(*h) && is_certain(sim, m, pool);
}

void decide(simulation& sim, sim_member& m)
{
    const fleet::live_list_index live(live_list(sim.platform));
    for (const auto& [pool, since] : m.taken_over_ms)
    {
        if (const auto* own = find_view(m, pool))
        {
            decide_one_pool(sim, m, *own, live);
        }
    }
    for (const auto& it : m.waves)
    {
        if (owner_by_roster(sim, "wave/" + it.document.id) != m.id)
        {
            continue;
        }
        const fleet::wave_inputs in{it, *m.config, m.pools, m.as_of > 0, m.waves, wall(sim)};
        if (auto next = fleet::decide_wave(in))
        {
            m.pending.push_back({"", std::move(*next), m.config});
        }
    }
}

void execute_pending(simulation& sim, sim_member& m, std::size_t max_steps)
{
    for (std::size_t n = 0; n < max_steps && !m.pending.empty(); ++n)
    {
        const auto next = std::move(m.pending.front());
        m.pending.pop_front();
        const auto run_action = [&](const auto& a)
        {
            execute(sim, m, next, a);
        };
        if (const auto* action = std::get_if<fleet::pool_action>(&next.what))
        {
            std::visit(run_action, *action);
        }
        else
        {
            run_action(std::get<fleet::write_wave>(next.what));
        }
    }
}

void run_round(simulation& sim, sim_member& m)
{
    refresh(sim, m);
    decide(sim, m);
    execute_pending(sim, m, m.pending.size());
}

bool request_change(
    simulation& sim, sim_member& m, const std::string& pool, const fleet::pool_event& e)
{
    const auto* view = find_view(m, pool);
    if (view == nullptr || !m.config)
    {
        return false;
    }
    const auto out = fleet::change(view->document, e, *m.config, wall(sim));
    if (!core::is_ok(out) || !core::value(out).outcome.changed)
    {
        return false;
    }
    return write(sim, m, *m.config, core::value(out).next, view->revision) == answer::ok;
}

} // namespace camphorhitch::fleet_sim
