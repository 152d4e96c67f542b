// Long random runs: several deciders with stale views, pauses, lost answers, outages, failures,
// waves, moves and operators' commands, with the promises checked after every step.
//
// CAMPHORHITCH_SEED tries another seed, CAMPHORHITCH_STEPS another number of steps a run.
#include "core/invariant.hpp"
#include "fleet/budget.hpp"
#include "fleet_sim/world.hpp"
#include "sample.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::fleet;
using fleet_sim::sim_member;
using fleet_sim::world;
using model::host_state;

namespace
{

constexpr std::uint64_t default_seed = 20261202;
constexpr int default_steps = 500;
constexpr int runs = 60;
constexpr int hosts_per_pool = 6;
constexpr int settle_rounds = 3000;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// One random step: what to do and three choices for it.
struct random_step
{
    std::uint8_t what = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint8_t c = 0;
};

std::ostream& operator<<(std::ostream& out, const random_step& s)
{
    return out << int(s.what) << '/' << int(s.a) << '/' << int(s.b) << '/' << int(s.c);
}

rc::Gen<random_step> any_step()
{
    const auto byte = []
    {
        return rc::gen::inRange(0, 256);
    };
    return rc::gen::map(rc::gen::tuple(byte(), byte(), byte(), byte()),
        [](const std::tuple<int, int, int, int>& t)
        {
            const auto at = [](int n)
            {
                return static_cast<std::uint8_t>(n);
            };
            return random_step{
                at(std::get<0>(t)), at(std::get<1>(t)), at(std::get<2>(t)), at(std::get<3>(t))};
        });
}

/// The fleet under test and the choices made from random numbers.
struct random_fleet
{
    world w;
    std::vector<std::string> pools{"a", "b", "s"};
    int commands = 0;
    int waves = 0;
    std::string last_command;

    random_fleet()
    {
        w.config = sample::config(2, 1);
        w.config.pools[0].policy = "least_buffer";
        w.config.pools[1].policy = "fastest";
        w.platform.now_ms = 1'000'000;
        w.platform.reboot_ms = 20000;
        for (auto& it : w.config.policies)
        {
            it.return_timeout = core::millis{60000};
            it.drain_timeout = core::millis{30000};
            it.fixed_buffer = 1;
        }
        w.settings.longest_request_ms = 10000;
        fleet_sim::watch_promises(w);
        w.writer_config = &w.config;
        for (const auto& pool : pools)
        {
            add_pool(pool, pool == "s" ? 2 : hosts_per_pool);
        }
        w.members.resize(3);
        for (std::size_t i = 0; i < w.members.size(); ++i)
        {
            w.members[i].id = "e" + std::to_string(i);
        }
        fleet_sim::set_roster(w, {"e0", "e1", "e2"});
    }

    void add_pool(const std::string& pool, int n)
    {
        model::pool_document d{pool, {}, {}, {}};
        for (int i = 0; i < n; ++i)
        {
            const std::string id = pool + std::to_string(i);
            const std::string zone = "z" + std::to_string(i % 3);
            d.hosts.push_back(sample::host(id, zone));
            fleet_sim::add_host(w.platform, id, zone, zone + "-r" + std::to_string(i / 3));
        }
        fleet_sim::put_pool(w.kv, d, 0);
    }

    sim_member& member(unsigned n)
    {
        return w.members[n % w.members.size()];
    }

    fleet_sim::sim_host& host(unsigned n)
    {
        auto it = w.platform.hosts.begin();
        std::advance(it, n % w.platform.hosts.size());
        return it->second;
    }

    /// A new command's id, or the last one again: an operator repeats after a lost answer.
    std::string command(unsigned n)
    {
        last_command =
            n % 4 == 0 && !last_command.empty() ? last_command : "c" + std::to_string(++commands);
        return last_command;
    }

    void take(const random_step& s);
    void operate(const random_step& s);
    void operate_wave(const random_step& s);
    void fail(const random_step& s);
    void send(const random_step& s);
    void reconfigure(const random_step& s);
    void settle();
    std::string stranded() const;
};

void random_fleet::take(const random_step& s)
{
    const int kind = s.what % 32;
    auto& m = member(s.a);
    if (kind < 3)
    {
        fleet_sim::decide(w, m);
    }
    else if (kind < 8)
    {
        fleet_sim::perform(w, m, 1 + s.b % 4);
    }
    else if (kind < 10)
    {
        fleet_sim::refresh(w, m);
    }
    else if (kind < 12)
    {
        fleet_sim::refresh_one(w, m, pools[s.b % pools.size()]);
    }
    else if (kind < 20)
    {
        fleet_sim::run_round(w, m);
    }
    else if (kind < 23)
    {
        const std::int64_t long_pause = s.c % 8 == 0 ? 30000 : 0;
        fleet_sim::advance(w.platform, 50 * std::int64_t{s.b} + long_pause);
    }
    else if (kind < 26)
    {
        for (std::uint8_t i = 0; i < 5; ++i)
        {
            send({s.what,
                s.a,
                static_cast<std::uint8_t>(s.b + i),
                static_cast<std::uint8_t>(s.c * (i + 1))});
        }
    }
    else if (kind == 26)
    {
        operate(s);
    }
    else if (kind == 27)
    {
        operate_wave(s);
    }
    else if (kind == 28)
    {
        fail(s);
    }
    else if (kind == 29)
    {
        w.kv.answers_to_lose += 1 + s.b % 2;
    }
    else if (kind == 30)
    {
        w.kv.down = s.b % 3 == 0;
        m.pending.resize(std::min<std::size_t>(m.pending.size(), s.c % 4));
    }
    else if (s.c % 2 == 0)
    {
        reconfigure(s);
    }
    else
    {
        fleet_sim::set_roster(w,
            s.b % 2 == 0 ? std::vector<std::string>{"e0", "e1", "e2"}
                         : std::vector<std::string>{member(s.a + 1).id});
    }
}

void random_fleet::operate(const random_step& s)
{
    auto& m = member(s.a);
    const auto& id = host(s.b).id;
    const auto owner = owner_of(id, m.pools);
    const std::string id_of_command = command(s.c);
    const auto& to = pools[s.c % pools.size()];
    switch (s.c % 6)
    {
    case 0:
        fleet_sim::wish(w, m, owner.pool, wish_drain{id, id_of_command});
        break;
    case 1:
    case 2:
        fleet_sim::wish(w, m, owner.pool, wish_move{id, to, id_of_command});
        break;
    case 3:
        fleet_sim::wish(w, m, owner.pool, wish_undo{id, id_of_command});
        break;
    case 4:
        if (const auto* known = fleet_sim::find_host(w.kv, id);
            !known || known->state == host_state::failed)
        {
            const auto* view = fleet_sim::find_pool(w.kv, owner.pool);
            const bool settled =
                view && is_settled(id, owner.pool, view->revision, {m.pools, m.as_of});
            fleet_sim::wish(w, m, owner.pool, wish_forget{id, id_of_command, settled});
        }
        break;
    default:
        fleet_sim::wish(w, m, to, wish_add{sample::host(id, host(s.b).zone), id_of_command});
        break;
    }
}

void random_fleet::operate_wave(const random_step& s)
{
    auto& m = member(s.a);
    const auto now = core::from_unix_ms(w.platform.now_ms);
    if (s.b % 8 > 3 && !m.waves.empty())
    {
        const auto& view = m.waves[s.c % m.waves.size()];
        const auto out = s.b % 8 == 4 ? cancel_wave(view.document, command(s.c), now)
                                      : resume_wave(view.document, command(s.c), m.pools, now);
        if (core::is_ok(out) && core::value(out).changed)
        {
            fleet_sim::put_wave(w.kv, core::value(out).next, view.revision);
        }
        return;
    }
    const char* policies[] = {"", "one_by_one", "least_buffer", "fastest"};
    wave_wish wish{"w" + std::to_string(++waves), {}, policies[s.c % 4], command(s.c)};
    if (s.c % 3 == 0)
    {
        wish.which.zones = {"z" + std::to_string(s.c % 2)};
    }
    const auto out = start_wave(wish, w.config, m.pools, m.waves, now);
    if (core::is_ok(out) && core::value(out).changed)
    {
        fleet_sim::put_wave(w.kv, core::value(out).next, 0);
    }
}

void random_fleet::fail(const random_step& s)
{
    auto& h = host(s.a);
    // For good, for a while, or so short that the live list never has it down.
    const std::int64_t back = s.b % 4 == 0 ? 0 : (s.b % 4 == 1 ? 1 : 200) * std::int64_t{s.b};
    switch (s.c % 7)
    {
    case 0:
        h.returns = false;
        break;
    case 1:
        fleet_sim::set_leaving(w.platform, h.id, !h.leaving);
        break;
    case 2:
        // A rack fails at once.
        for (auto& [id, it] : w.platform.hosts)
        {
            if (it.rack == h.rack && it.up)
            {
                fleet_sim::crash(w.platform, id, back);
            }
        }
        break;
    case 3:
    case 4:
        for (auto& [id, it] : w.platform.hosts)
        {
            fleet_sim::repair(w.platform, id);
        }
        break;
    default:
        if (h.up)
        {
            fleet_sim::crash(w.platform, h.id, back);
        }
        break;
    }
}

/// A request or job goes to a host, if its sender may send by what it knows. The store's records
/// must then have the host in that pool, and not handed over.
void random_fleet::send(const random_step& s)
{
    auto& m = member(s.a);
    auto& h = host(s.b);
    const auto owner = owner_of(h.id, m.pools);
    if (!h.up || !fleet_sim::may_send(w, m, owner.pool, h.id))
    {
        return;
    }
    const auto* view = fleet_sim::find_pool(w.kv, owner.pool);
    const auto* truth = view ? model::find_host(view->document, h.id) : nullptr;
    const bool in_hand = truth && truth->state != host_state::drained && !reboot_pending(*truth);
    if (!in_hand)
    {
        w.violations.push_back("sent to host " + h.id + " that was handed over");
    }
    auto& work = s.c % 4 == 0 ? h.jobs : h.requests;
    const std::int64_t longest = s.c % 4 == 0 ? 20000 : w.settings.longest_request_ms;
    work.push_back(w.platform.now_ms + longest * s.c / 256);
}

void random_fleet::reconfigure(const random_step& s)
{
    auto& pool = w.config.pools[s.a % 2];
    ++w.config.version;
    pool.budget = {1 + s.b % 3, 1 + s.b % 2};
    const char* policies[] = {"one_by_one", "least_buffer", "fastest"};
    pool.policy = policies[s.c % 3];
}

/// All faults end, every member runs on, and the hosts that are down come back.
void random_fleet::settle()
{
    w.kv.down = false;
    w.kv.answers_to_lose = 0;
    for (auto& [id, it] : w.platform.hosts)
    {
        it.returns = true;
        if (it.leaving)
        {
            fleet_sim::set_leaving(w.platform, id, false);
        }
    }
    for (int i = 0; i < settle_rounds && (i == 0 || !stranded().empty()); ++i)
    {
        fleet_sim::advance(w.platform, 5000);
        for (auto& [id, it] : w.platform.hosts)
        {
            fleet_sim::repair(w.platform, id);
        }
        for (auto& it : w.members)
        {
            fleet_sim::run_round(w, it);
        }
    }
}

/// \return the hosts and waves that are stuck although nothing is wrong any more.
std::string random_fleet::stranded() const
{
    std::string text;
    for (const auto& view : w.kv.pools)
    {
        text += view.document.released.empty() ? "" : " released from " + view.document.pool;
        const bool spare = view.document.pool == "s";
        for (const auto& it : view.document.hosts)
        {
            const bool fit = it.state == host_state::serving || it.state == host_state::held;
            const bool lost =
                !fit || !is_member(it) || is_guest(it) || (spare && it.state != host_state::held);
            const auto state = std::string{name_of(model::host_state_names, it.state)};
            text += lost ? " " + it.id + " (" + state + ")" : "";
        }
    }
    for (const auto& view : w.kv.waves)
    {
        const bool ended = is_ended(view.document);
        const auto phase = std::string{name_of(model::wave_phase_names, view.document.phase)};
        text += ended ? ""
                      : " wave " + view.document.id + " (" + phase + ": " +
                            view.document.why.weighed + ")";
    }
    return text;
}

struct totals
{
    std::int64_t steps = 0;
    std::int64_t writes = 0;
    std::int64_t conflicts = 0;
    std::int64_t reboots = 0;
    std::int64_t moves = 0;
    std::int64_t waves_done = 0;
};

void count(totals& t, const random_fleet& f, std::size_t steps)
{
    t.steps += static_cast<std::int64_t>(steps);
    t.writes += f.w.kv.writes;
    t.conflicts += f.w.kv.conflicts;
    t.moves += f.w.kv.host_moves;
    for (const auto& [id, it] : f.w.platform.hosts)
    {
        t.reboots += static_cast<std::int64_t>(it.reboots.size());
    }
    for (const auto& it : f.w.kv.waves)
    {
        t.waves_done += it.document.phase == model::wave_phase::done ? 1 : 0;
    }
}

} // namespace

TEST_GROUP(random_run){};

TEST(random_run, promises_hold_after_every_step_and_nothing_is_stranded)
{
    std::vector<std::string> broken;
    auto handler =
        core::set_invariant_handler([&](const std::string& text) { broken.push_back(text); });
    const auto steps = static_cast<int>(number_from("CAMPHORHITCH_STEPS", default_steps));
    rc::detail::TestParams params;
    params.seed = number_from("CAMPHORHITCH_SEED", default_seed);
    params.maxSuccess = runs;
    params.disableShrinking = steps > default_steps; // long scripts take too long to shrink
    rc::detail::TestMetadata metadata;
    metadata.id = "random_run";
    totals sum;
    const auto property = [&]
    {
        const auto script = *rc::gen::resize(rc::kNominalSize,
            rc::gen::container<std::vector<random_step>>(
                static_cast<std::size_t>(steps), any_step()));
        random_fleet f;
        broken.clear();
        for (const auto& it : script)
        {
            f.take(it);
            RC_ASSERT(broken == std::vector<std::string>{});
            RC_ASSERT(f.w.violations == std::vector<std::string>{});
        }
        f.settle();
        RC_ASSERT(broken == std::vector<std::string>{});
        RC_ASSERT(f.w.violations == std::vector<std::string>{});
        RC_ASSERT(f.stranded() == std::string{});
        RC_ASSERT(f.w.platform.cut_off == 0);
        count(sum, f, script.size());
    };
    const auto result = rc::detail::checkTestable(property, metadata, params);
    core::set_invariant_handler(handler);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    std::printf("random_run: seed %llu, %lld steps, %lld writes, %lld conflicts, %lld reboots, "
                "%lld moves, %lld waves done\n",
        static_cast<unsigned long long>(params.seed),
        static_cast<long long>(sum.steps),
        static_cast<long long>(sum.writes),
        static_cast<long long>(sum.conflicts),
        static_cast<long long>(sum.reboots),
        static_cast<long long>(sum.moves),
        static_cast<long long>(sum.waves_done));
    CHECK_TEXT(result.template is<rc::detail::SuccessResult>(), text.str().c_str());
    CHECK(sum.reboots > 0 && sum.moves > 0 && sum.waves_done > 0 && sum.conflicts > 0);
}
