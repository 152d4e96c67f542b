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
        add_host(f.w.platform, h.id, h.zone, h.rack);
        d.hosts.push_back(std::move(h));
    }
    put_pool(f.w.kv, d, 0);
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
    return f.w.members[n % f.w.members.size()];
}

sim_host& host(random_fleet& f, unsigned n)
{
    auto it = f.w.platform.hosts.begin();
    std::advance(it, n % f.w.platform.hosts.size());
    return it->second;
}

/// A new command's id, or the last one again: an operator repeats after a lost answer.
std::string command(random_fleet& f, unsigned n)
{
    const bool repeat = n % 4 == 0 && !f.last_command.empty();
    f.last_command = repeat ? f.last_command : "c" + std::to_string(++f.commands);
    return f.last_command;
}

void operate(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    const auto& id = host(f, s.b).id;
    const auto owner = owner_of(id, m.pools);
    const std::string id_of_command = command(f, s.c);
    const auto& to = f.pools[s.c % f.pools.size()];
    switch (s.c % 7)
    {
    case 6:
        wish(f.w, m, owner.pool, leave_request{id, id_of_command});
        break;
    case 0:
        wish(f.w, m, owner.pool, drain_request{id, id_of_command});
        break;
    case 1:
    case 2:
        wish(f.w, m, owner.pool, move_request{id, to, id_of_command});
        break;
    case 3:
        wish(f.w, m, owner.pool, undo_request{id, id_of_command});
        break;
    case 4:
        if (const auto* known = find_host(f.w.kv, id); !known || known->state == host_state::failed)
        {
            const auto* view = find_pool(f.w.kv, owner.pool);
            const bool settled =
                view && is_confirmed_exclusive(id, owner.pool, view->revision, {m.pools, m.as_of});
            const forget_request wish_of{id, id_of_command, settled};
            wish(f.w, m, owner.pool, wish_of);
            f.forgotten.insert(id); // the write may stand though its answer was lost
        }
        break;
    default:
        wish(f.w, m, to, add_request{record_of(host(f, s.b)), id_of_command});
        break;
    }
}

void operate_wave(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    const auto now = core::from_unix_ms(f.w.platform.now_ms);
    if (s.b % 8 > 3 && !m.waves.empty())
    {
        const auto& view = m.waves[s.c % m.waves.size()];
        const auto out = s.b % 8 == 4 ? cancel_wave(view.document, command(f, s.c), now)
                                      : resume_wave(view.document, command(f, s.c), m.pools, now);
        if (core::is_ok(out) && core::value(out).changed)
        {
            put_wave(f.w.kv, core::value(out).next, view.revision);
        }
        return;
    }
    const char* policies[] = {"", "one_by_one", "least_buffer", "fastest"};
    wave_start_request wish{
        "w" + std::to_string(++f.waves), {}, policies[s.c % 4], command(f, s.c)};
    if (s.c % 3 == 0)
    {
        wish.selection.zones = {"z" + std::to_string(s.c % 2)};
    }
    const auto out = start_wave(wish, f.w.config, m.pools, m.waves, now);
    if (core::is_ok(out) && core::value(out).changed)
    {
        put_wave(f.w.kv, core::value(out).next, 0);
    }
}

void fail(random_fleet& f, const random_step& s)
{
    auto& h = host(f, s.a);
    // For good, for a while, or so short that the live list never has it down.
    const std::int64_t back = s.b % 4 == 0 ? 0 : (s.b % 4 == 1 ? 1 : 200) * std::int64_t{s.b};
    switch (s.c % 7)
    {
    case 0:
        h.returns = false;
        break;
    case 1:
        set_leaving(f.w.platform, h.id, !h.leaving);
        break;
    case 2:
        // A rack fails at once.
        for (auto& [id, it] : f.w.platform.hosts)
        {
            if (it.rack == h.rack && it.up)
            {
                crash(f.w.platform, id, back);
            }
        }
        break;
    case 3:
    case 4:
        for (auto& [id, it] : f.w.platform.hosts)
        {
            repair(f.w.platform, id);
        }
        break;
    default:
        if (h.up)
        {
            crash(f.w.platform, h.id, back);
        }
        break;
    }
}

/// A request or job goes to a host, if its sender may send by what it knows. The store's records
/// must then have the host in that pool, and not handed over.
void send(random_fleet& f, const random_step& s)
{
    auto& m = member(f, s.a);
    auto& h = host(f, s.b);
    const auto owner = owner_of(h.id, m.pools);
    if (!h.up || !may_send(f.w, m, owner.pool, h.id))
    {
        return;
    }
    const auto* view = find_pool(f.w.kv, owner.pool);
    const auto* truth = view ? model::find_host(view->document, h.id) : nullptr;
    const bool in_hand = truth && truth->state != host_state::drained && !reboot_pending(*truth);
    if (!in_hand)
    {
        f.w.violations.push_back("sent to host " + h.id + " that was handed over");
    }
    auto& work = s.c % 4 == 0 ? h.jobs : h.requests;
    const std::int64_t longest = s.c % 4 == 0 ? 20000 : f.w.settings.longest_request_ms;
    work.push_back(f.w.platform.now_ms + longest * s.c / 256);
}

void reconfigure(random_fleet& f, const random_step& s)
{
    auto& pool = f.w.config.pools[s.a % 2];
    ++f.w.config.version;
    pool.budget = {1 + s.b % 3, 1 + s.b % 2};
    const char* policies[] = {"one_by_one", "least_buffer", "fastest"};
    pool.policy = policies[s.c % 3];
}

/// Operators take back what they let go.
void undo_leaves(random_fleet& f)
{
    auto& m = f.w.members[0];
    for (const auto& view : std::vector<pool_view>(m.pools))
    {
        for (const auto& it : view.document.hosts)
        {
            if (it.purpose == model::drain_purpose::leaving)
            {
                wish(f.w,
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
    w.config = first_config(pools);
    w.platform.now_ms = 1'000'000;
    w.platform.reboot_ms = 20000;
    w.settings.longest_request_ms = 10000;
    watch_promises(w);
    w.writer_config = &w.config;
    for (const auto& pool : pools)
    {
        add_pool(*this, pool, pool == "s" ? spare_hosts : hosts_per_pool);
    }
    w.members.resize(3);
    for (std::size_t i = 0; i < w.members.size(); ++i)
    {
        w.members[i].id = "e" + std::to_string(i);
    }
    set_roster(w, {"e0", "e1", "e2"});
}

void take(random_fleet& f, const random_step& s)
{
    const int kind = s.what % 32;
    auto& m = member(f, s.a);
    if (kind < 3)
    {
        decide(f.w, m);
    }
    else if (kind < 8)
    {
        perform(f.w, m, 1 + s.b % 4);
    }
    else if (kind < 10)
    {
        refresh(f.w, m);
    }
    else if (kind < 12)
    {
        refresh_one(f.w, m, f.pools[s.b % f.pools.size()]);
    }
    else if (kind < 20)
    {
        run_round(f.w, m);
    }
    else if (kind < 23)
    {
        const std::int64_t long_pause = s.c % 8 == 0 ? 30000 : 0;
        advance(f.w.platform, 50 * std::int64_t{s.b} + long_pause);
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
        operate(f, s);
    }
    else if (kind == 27)
    {
        operate_wave(f, s);
    }
    else if (kind == 28)
    {
        fail(f, s);
    }
    else if (kind == 29)
    {
        f.w.kv.answers_to_lose += 1 + s.b % 2;
    }
    else if (kind == 30)
    {
        f.w.kv.down = s.b % 3 == 0;
        m.pending.resize(std::min<std::size_t>(m.pending.size(), s.c % 4));
    }
    else if (s.c % 2 == 0)
    {
        reconfigure(f, s);
    }
    else
    {
        set_roster(f.w,
            s.b % 2 == 0 ? std::vector<std::string>{"e0", "e1", "e2"}
                         : std::vector<std::string>{member(f, s.a + 1).id});
    }
}

/// All faults end, every member runs on, and the hosts that are down come back.
void settle(random_fleet& f)
{
    f.w.kv.down = false;
    f.w.kv.answers_to_lose = 0;
    for (auto& [id, it] : f.w.platform.hosts)
    {
        it.returns = true;
        if (it.leaving)
        {
            set_leaving(f.w.platform, id, false);
        }
    }
    for (int i = 0; i < settle_rounds && (i == 0 || !stranded(f).empty()); ++i)
    {
        advance(f.w.platform, settle_tick_ms);
        for (auto& [id, it] : f.w.platform.hosts)
        {
            repair(f.w.platform, id);
        }
        for (auto& it : f.w.members)
        {
            run_round(f.w, it);
        }
        undo_leaves(f);
    }
}

/// \return the hosts and waves that are stuck although nothing is wrong any more.
std::string stranded(const random_fleet& f)
{
    std::string text;
    for (const auto& view : f.w.kv.pools)
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
    for (const auto& [id, it] : f.w.platform.hosts)
    {
        const bool lost = find_host(f.w.kv, id) == nullptr && f.forgotten.count(id) == 0;
        text += lost ? " " + id + " (in no pool)" : "";
    }
    for (const auto& view : f.w.kv.waves)
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
