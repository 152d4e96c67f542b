#include "fleet_sim/random_fleet.hpp"

#include "fleet/budget.hpp"
#include "fleet/pool_rules.hpp"

#include <algorithm>
#include <iterator>
#include <ostream>

namespace camphorhitch::fleet_sim
{

using namespace fleet;
using model::host_state;

namespace
{

constexpr int hosts_per_pool = 6;
constexpr int spare_hosts = 2;
constexpr int zones = 3;
constexpr int settle_rounds = 3000;
constexpr std::int64_t settle_tick_ms = 5000;

void add_pool(random_fleet& f, const std::string& pool, int n)
{
    model::pool_document d{pool, {}, {}, {}};
    for (int i = 0; i < n; ++i)
    {
        model::host_record h;
        h.id = pool + std::to_string(i);
        h.zone = "z" + std::to_string(i % zones);
        h.rack = h.zone + "-r" + std::to_string(i / zones);
        h.boot_count = 1;
        add_host(f.sim.platform, h.id, h.zone, h.rack);
        d.hosts.push_back(std::move(h));
    }
    put_pool(f.sim.kv, d, 0);
}

model::configuration first_config(const std::vector<std::string>& pools)
{
    model::configuration out;
    out.version = 1;
    for (const auto& it : model::policy_kind_names)
    {
        model::policy_config p;
        p.name = std::string{it.name};
        p.kind = it.value;
        p.return_timeout = core::millis{60000};
        p.drain_timeout = core::millis{30000};
        out.policies.push_back(std::move(p));
    }
    for (std::size_t i = 0; i < pools.size(); ++i)
    {
        model::pool_config p;
        p.name = pools[i];
        p.budget = {2, 1};
        p.policy = out.policies[i % out.policies.size()].name;
        p.spare = pools[i] == "s";
        out.pools.push_back(std::move(p));
    }
    return out;
}

model::host_record record_of(const sim_host& h)
{
    model::host_record out;
    out.id = h.id;
    out.zone = h.zone;
    out.rack = h.rack;
    return out;
}

sim_member& member(random_fleet& f, unsigned n)
{
    return f.sim.members[n % f.sim.members.size()];
}

sim_host& host(random_fleet& f, unsigned n)
{
    auto it = f.sim.platform.hosts.begin();
    std::advance(it, n % f.sim.platform.hosts.size());
    return it->second;
}

/// \return a new command id, or sometimes the last one again, as an operator repeats a command
/// after a lost answer.
std::string next_command_id(random_fleet& f, unsigned n)
{
    const bool repeat = n % 4 == 0 && !f.last_command.empty();
    f.last_command = repeat ? f.last_command : "c" + std::to_string(++f.commands);
    return f.last_command;
}

void apply_command(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    const auto& id = host(f, s.b).id;
    const auto owner = owner_of(id, m.pools);
    const std::string id_of_command = next_command_id(f, s.c);
    const auto& to = f.pools[s.c % f.pools.size()];
    switch (s.c % 7)
    {
    case 6:
        request_change(f.sim, m, owner.pool, leave_request{id, id_of_command});
        break;
    case 0:
        request_change(f.sim, m, owner.pool, drain_request{id, id_of_command});
        break;
    case 1:
    case 2:
        request_change(f.sim, m, owner.pool, move_request{id, to, id_of_command});
        break;
    case 3:
        request_change(f.sim, m, owner.pool, undo_request{id, id_of_command});
        break;
    case 4:
        if (const auto* known = find_host(f.sim.kv, id);
            !known || known->state == host_state::failed)
        {
            const auto* view = find_pool(f.sim.kv, owner.pool);
            const bool settled =
                view && is_confirmed_exclusive(id, owner.pool, view->revision, {m.pools, m.as_of});
            const forget_request request{id, id_of_command, settled};
            request_change(f.sim, m, owner.pool, request);
            f.removed_hosts.insert(
                id); // The write may have taken effect although its answer was lost.
        }
        break;
    default:
        request_change(f.sim, m, to, add_request{record_of(host(f, s.b)), id_of_command});
        break;
    }
}

void apply_wave_command(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    const auto now = core::from_unix_ms(f.sim.platform.now_ms);
    if (s.b % 8 > 3 && !m.waves.empty())
    {
        const auto& view = m.waves[s.c % m.waves.size()];
        const auto out = s.b % 8 == 4
                             ? cancel_wave(view.document, next_command_id(f, s.c), now)
                             : resume_wave(view.document, next_command_id(f, s.c), m.pools, now);
        if (core::is_ok(out) && core::value(out).changed)
        {
            put_wave(f.sim.kv, core::value(out).next, view.revision);
        }
        return;
    }
    const char* policies[] = {"", "one_by_one", "least_buffer", "fastest"};
    wave_start_request request{
        "w" + std::to_string(++f.waves), {}, policies[s.c % 4], next_command_id(f, s.c)};
    if (s.c % 3 == 0)
    {
        request.selection.zones = {"z" + std::to_string(s.c % 2)};
    }
    const auto out = start_wave(request, f.sim.config, m.pools, m.waves, now);
    if (core::is_ok(out) && core::value(out).changed)
    {
        put_wave(f.sim.kv, core::value(out).next, 0);
    }
}

void apply_fault(random_fleet& f, const random_step& s)
{
    auto& h = host(f, s.a);
    // Downtime: unlimited (0), some time, or so short that the live list never shows the host down.
    const std::int64_t downtime_ms =
        s.b % 4 == 0 ? 0 : (s.b % 4 == 1 ? 1 : 200) * std::int64_t{s.b};
    switch (s.c % 7)
    {
    case 0:
        h.returns = false;
        break;
    case 1:
        set_leaving(f.sim.platform, h.id, !h.leaving);
        break;
    case 2:
        // All hosts of the rack fail together.
        for (auto& [id, it] : f.sim.platform.hosts)
        {
            if (it.rack == h.rack && it.up)
            {
                crash(f.sim.platform, id, downtime_ms);
            }
        }
        break;
    case 3:
    case 4:
        for (auto& [id, it] : f.sim.platform.hosts)
        {
            repair(f.sim.platform, id);
        }
        break;
    default:
        if (h.up)
        {
            crash(f.sim.platform, h.id, downtime_ms);
        }
        break;
    }
}

/// Sends a request or a job to a host if the sender's view allows it. The store's records must then
/// have the host in that pool, and the host must not be handed over for maintenance.
void send(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    auto& h = host(f, s.b);
    const auto owner = owner_of(h.id, m.pools);
    if (!h.up || !may_send(f.sim, m, owner.pool, h.id))
    {
        return;
    }
    const auto* view = find_pool(f.sim.kv, owner.pool);
    const auto* stored_record = view ? model::find_host(view->document, h.id) : nullptr;
    const bool is_sendable = stored_record && stored_record->state != host_state::drained &&
                             !reboot_pending(*stored_record);
    if (!is_sendable)
    {
        f.sim.violations.push_back("sent to host " + h.id + " that was handed over");
    }
    auto& work = s.c % 4 == 0 ? h.jobs : h.requests;
    const std::int64_t max_duration_ms = s.c % 4 == 0 ? 20000 : f.sim.settings.max_request_ms;
    work.push_back(f.sim.platform.now_ms + max_duration_ms * s.c / 256);
}

void reconfigure(random_fleet& f, const random_step& s)
{
    auto& pool = f.sim.config.pools[s.a % 2];
    ++f.sim.config.version;
    pool.budget = {1 + s.b % 3, 1 + s.b % 2};
    const char* policies[] = {"one_by_one", "least_buffer", "fastest"};
    pool.policy = policies[s.c % 3];
}

/// Reverts all operators' requests that hosts leave the fleet.
void undo_leaves(random_fleet& f)
{
    auto& m = f.sim.members[0];
    for (const auto& view : std::vector<pool_view>(m.pools))
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.purpose == model::drain_purpose::leaving)
            {
                request_change(f.sim,
                    m,
                    view.document.pool,
                    undo_request{it.id, "c" + std::to_string(++f.commands)});
            }
        }
    }
}

} // namespace

std::ostream& operator<<(std::ostream& out, const random_step& s)
{
    return out << int(s.what) << '/' << int(s.a) << '/' << int(s.b) << '/' << int(s.c);
}

random_fleet::random_fleet()
{
    sim.config = first_config(pools);
    sim.platform.now_ms = 1'000'000;
    sim.platform.reboot_ms = 20000;
    sim.settings.max_request_ms = 10000;
    install_promise_checks(sim);
    sim.writer_config = &sim.config;
    for (const auto& pool : pools)
    {
        add_pool(*this, pool, pool == "s" ? spare_hosts : hosts_per_pool);
    }
    sim.members.resize(3);
    for (std::size_t i = 0; i < sim.members.size(); ++i)
    {
        sim.members[i].id = "e" + std::to_string(i);
    }
    set_roster(sim, {"e0", "e1", "e2"});
}

void apply_step(random_fleet& f, const random_step& s)
{
    const int kind = s.what % 32;
    auto& m = member(f, s.a);
    if (kind < 3)
    {
        decide(f.sim, m);
    }
    else if (kind < 8)
    {
        execute_pending(f.sim, m, 1 + s.b % 4);
    }
    else if (kind < 10)
    {
        refresh(f.sim, m);
    }
    else if (kind < 12)
    {
        refresh_pool(f.sim, m, f.pools[s.b % f.pools.size()]);
    }
    else if (kind < 20)
    {
        run_round(f.sim, m);
    }
    else if (kind < 23)
    {
        const std::int64_t additional_ms = s.c % 8 == 0 ? 30000 : 0;
        advance(f.sim.platform, 50 * std::int64_t{s.b} + additional_ms);
    }
    else if (kind < 26)
    {
        for (std::uint8_t i = 0; i < 5; ++i)
        {
            send(f,
                {s.what,
                    s.a,
                    static_cast<std::uint8_t>(s.b + i),
                    static_cast<std::uint8_t>(s.c * (i + 1))});
        }
    }
    else if (kind == 26)
    {
        apply_command(f, s);
    }
    else if (kind == 27)
    {
        apply_wave_command(f, s);
    }
    else if (kind == 28)
    {
        apply_fault(f, s);
    }
    else if (kind == 29)
    {
        f.sim.kv.answers_to_lose += 1 + s.b % 2;
    }
    else if (kind == 30)
    {
        f.sim.kv.down = s.b % 3 == 0;
        m.pending.resize(std::min<std::size_t>(m.pending.size(), s.c % 4));
    }
    else if (s.c % 2 == 0)
    {
        reconfigure(f, s);
    }
    else
    {
        set_roster(f.sim,
            s.b % 2 == 0 ? std::vector<std::string>{"e0", "e1", "e2"}
                         : std::vector<std::string>{member(f, s.a + 1).id});
    }
}

void run_until_settled(random_fleet& f)
{
    f.sim.kv.down = false;
    f.sim.kv.answers_to_lose = 0;
    for (auto& [id, it] : f.sim.platform.hosts)
    {
        it.returns = true;
        if (it.leaving)
        {
            set_leaving(f.sim.platform, id, false);
        }
    }
    for (int i = 0; i < settle_rounds && (i == 0 || !find_stuck(f).empty()); ++i)
    {
        advance(f.sim.platform, settle_tick_ms);
        for (auto& [id, it] : f.sim.platform.hosts)
        {
            repair(f.sim.platform, id);
        }
        for (auto& it : f.sim.members)
        {
            run_round(f.sim, it);
        }
        undo_leaves(f);
    }
}

std::string find_stuck(const random_fleet& f)
{
    std::string text;
    for (const auto& view : f.sim.kv.pools)
    {
        text += view.document.released.empty() ? "" : " released from " + view.document.pool;
        const bool spare = view.document.pool == "s";
        for (const auto& it : view.document.hosts)
        {
            const bool fit = it.state == host_state::serving || it.state == host_state::held;
            const bool lost = !fit || !is_member(it) || is_borrowed(it) ||
                              (spare && it.state != host_state::held);
            const auto state = std::string{name_of(model::host_state_names, it.state)};
            text += lost ? " " + it.id + " (" + state + ")" : "";
        }
    }
    for (const auto& [id, it] : f.sim.platform.hosts)
    {
        const bool lost = find_host(f.sim.kv, id) == nullptr && f.removed_hosts.count(id) == 0;
        text += lost ? " " + id + " (in no pool)" : "";
    }
    for (const auto& view : f.sim.kv.waves)
    {
        const bool ended = is_ended(view.document);
        const auto phase = std::string{name_of(model::wave_phase_names, view.document.phase)};
        text += ended ? ""
                      : " wave " + view.document.id + " (" + phase + ": " +
                            view.document.why.weighed + ")";
    }
    return text;
}

} // namespace camphorhitch::fleet_sim
