#include "fleet_sim/world.hpp"

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

core::mono_time mono(const world& w)
{
    return core::mono_time{core::millis{w.platform.now_ms}};
}

core::wall_time wall(const world& w)
{
    return core::from_unix_ms(w.platform.now_ms);
}

bool owns(const world& w, const sim_member& m, const std::string& key)
{
    return m.epoch == w.epoch && owner_by_roster(w, key) == m.id;
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

/// Notes which pools are newly owned, and forgets the timers of those that are not any more. A
/// member that missed an epoch can't know that nobody owned its pools in between: it takes them
/// over anew.
void take_over(world& w, sim_member& m, bool missed_epochs)
{
    if (missed_epochs)
    {
        m.taken_over_ms.clear();
    }
    for (const auto& it : m.pools)
    {
        const auto& pool = it.document.pool;
        if (!owns(w, m, "pool/" + pool))
        {
            m.taken_over_ms.erase(pool);
            m.memory.erase(pool);
        }
        else if (m.taken_over_ms.count(pool) == 0)
        {
            m.taken_over_ms[pool] = w.platform.now_ms;
        }
    }
}

std::vector<fleet::host_activity> activity(
    const world& w, const sim_member& m, const pool_view& own)
{
    std::vector<fleet::host_activity> out;
    const bool certain = is_certain(w, m, own.document.pool);
    for (const auto& it : own.document.hosts)
    {
        const auto host = w.platform.hosts.find(it.id);
        if (host == w.platform.hosts.end())
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
    world& w, sim_member& m, const pool_view& own, const fleet::live_list_index& all)
{
    const auto live = all.of(own.document);
    const auto seen = activity(w, m, own);
    const fleet::pool_inputs in{
        own, *m.config, m.waves, m.as_of > 0, {m.pools, m.as_of}, live, seen, {}, mono(w), wall(w)};
    for (auto& it : fleet::decide_pool(in, m.memory[own.document.pool]))
    {
        m.pending.push_back({own.document.pool, std::move(it), m.config});
    }
}

void learn(sim_member& m, const model::pool_document& d, std::int64_t revision)
{
    auto* known = find_view(m, d.pool);
    auto& place = known ? *known : m.pools.emplace_back();
    place = {d, revision};
}

answer write(world& w,
    sim_member& m,
    const model::configuration& config,
    const model::pool_document& d,
    std::int64_t expected)
{
    w.writer_config = &config;
    const auto out = put_pool(w.kv, d, expected);
    if (out == answer::ok)
    {
        learn(m, d, w.kv.revision);
    }
    return out;
}

void carry_out(world& w, sim_member& m, const pending_step& step, const fleet::write_pool& a)
{
    write(w, m, *step.config, a.document, a.expected);
}

void carry_out(world& w, sim_member& m, const pending_step& step, const fleet::order_reboot& a)
{
    reboot(w.platform, a.host, a.command);
    fleet::record_reboot_acknowledged(m.memory[step.pool], a.host, a.command, mono(w));
}

/// Jobs that end in time stay; the others go to hosts of the pool, best to those not to come.
void carry_out(world& w, sim_member& m, const pending_step& step, const fleet::move_jobs_off& a)
{
    const auto* view = find_view(m, step.pool);
    auto& from = w.platform.hosts.at(a.host);
    const auto upcoming = fleet::hosts_awaiting_maintenance(m.pools, m.waves);
    const std::int64_t until = w.platform.now_ms + a.time_left.count();
    sim_host* best = nullptr;
    const auto later = [&](const std::string& id)
    {
        return std::find(upcoming.begin(), upcoming.end(), id) != upcoming.end();
    };
    for (const auto& it : view->document.hosts)
    {
        const bool fit = fleet::accepts_work(it) && w.platform.hosts.at(it.id).up;
        auto* next = fit && it.id != a.host ? &w.platform.hosts.at(it.id) : nullptr;
        const auto rank = [&](const sim_host* h)
        {
            return std::make_pair(later(h->id), h->jobs.size());
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
    w.job_moves += std::distance(moving, from.jobs.end());
    std::for_each(moving,
        from.jobs.end(),
        [&](std::int64_t end) { w.job_moves_again += w.moved_jobs.insert(end).second ? 0 : 1; });
    if (best != nullptr)
    {
        best->jobs.insert(best->jobs.end(), moving, from.jobs.end());
    }
    from.jobs.erase(moving, from.jobs.end());
}

void carry_out(world&, sim_member&, const pending_step&, const fleet::stop_host&)
{
    // may_send() works by the member's own view, which has the host stopped already.
}

void carry_out(world&, sim_member&, const pending_step&, const fleet::report_slow_drain&)
{
}

void carry_out(world& w, sim_member& m, const pending_step&, const fleet::write_wave& a)
{
    if (put_wave(w.kv, a.document, a.expected) != answer::ok)
    {
        return;
    }
    const auto it = std::find_if(m.waves.begin(),
        m.waves.end(),
        [&](const wave_view& v) { return v.document.id == a.document.id; });
    if (it != m.waves.end())
    {
        *it = {a.document, w.kv.revision};
    }
}

} // namespace

void set_roster(world& w, std::vector<std::string> members)
{
    w.roster = std::move(members);
    ++w.epoch;
}

std::string owner_by_roster(const world& w, const std::string& key)
{
    const std::vector<std::string_view> ids(w.roster.begin(), w.roster.end());
    return ids.empty() ? "" : w.roster[core::rendezvous_order(key, ids)[0]];
}

void refresh(world& w, sim_member& m)
{
    if (w.kv.down)
    {
        return;
    }
    m.pools = w.kv.pools;
    m.waves = w.kv.waves;
    if (!m.config || m.config->version != w.config.version)
    {
        m.config = std::make_shared<const model::configuration>(w.config);
    }
    m.as_of = w.kv.revision;
    const bool missed_epochs = w.epoch > m.epoch + 1;
    m.epoch = w.epoch;
    m.confirmed_ms = w.platform.now_ms;
    take_over(w, m, missed_epochs);
}

void refresh_one(world& w, sim_member& m, const std::string& pool)
{
    const auto* newest = find_pool(w.kv, pool);
    if (!w.kv.down && newest != nullptr && m.as_of > 0)
    {
        learn(m, newest->document, newest->revision);
    }
}

bool is_certain(const world& w, const sim_member& m, const std::string& pool)
{
    const auto since = m.taken_over_ms.find(pool);
    const bool fresh = w.platform.now_ms - m.confirmed_ms <= w.settings.freshness_ms;
    if (!fresh || since == m.taken_over_ms.end())
    {
        return false;
    }
    const auto told = [&](const sim_member& it)
    {
        return it.id == m.id || it.epoch >= m.epoch;
    };
    const std::int64_t bound =
        w.settings.freshness_ms + w.settings.margin_ms + w.settings.longest_request_ms;
    return std::all_of(w.members.begin(), w.members.end(), told) ||
           w.platform.now_ms - since->second >= bound;
}

bool may_send(const world& w, const sim_member& m, const std::string& pool, const std::string& host)
{
    const auto* view = find_view(m, pool);
    const auto* h = view ? model::find_host(view->document, host) : nullptr;
    return h != nullptr && fleet::accepts_work(*h) && is_certain(w, m, pool);
}

void decide(world& w, sim_member& m)
{
    const fleet::live_list_index live(live_list(w.platform));
    for (const auto& [pool, since] : m.taken_over_ms)
    {
        if (const auto* own = find_view(m, pool))
        {
            decide_one_pool(w, m, *own, live);
        }
    }
    for (const auto& it : m.waves)
    {
        if (owner_by_roster(w, "wave/" + it.document.id) != m.id)
        {
            continue;
        }
        const fleet::wave_inputs in{it, *m.config, m.pools, m.as_of > 0, m.waves, wall(w)};
        if (auto next = fleet::decide_wave(in))
        {
            m.pending.push_back({"", std::move(*next), m.config});
        }
    }
}

void perform(world& w, sim_member& m, std::size_t most)
{
    for (std::size_t n = 0; n < most && !m.pending.empty(); ++n)
    {
        const auto next = std::move(m.pending.front());
        m.pending.pop_front();
        const auto one = [&](const auto& a)
        {
            carry_out(w, m, next, a);
        };
        if (const auto* action = std::get_if<fleet::pool_action>(&next.what))
        {
            std::visit(one, *action);
        }
        else
        {
            one(std::get<fleet::write_wave>(next.what));
        }
    }
}

void run_round(world& w, sim_member& m)
{
    refresh(w, m);
    decide(w, m);
    perform(w, m, m.pending.size());
}

bool wish(world& w, sim_member& m, const std::string& pool, const fleet::pool_event& e)
{
    const auto* view = find_view(m, pool);
    if (view == nullptr || !m.config)
    {
        return false;
    }
    const auto out = fleet::change(view->document, e, *m.config, wall(w));
    if (!core::is_ok(out) || !core::value(out).outcome.changed)
    {
        return false;
    }
    return write(w, m, *m.config, core::value(out).next, view->revision) == answer::ok;
}

} // namespace camphorhitch::fleet_sim
