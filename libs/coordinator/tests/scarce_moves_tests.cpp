#include "bookkeeping.hpp"
#include "coordinator/rebalance.hpp"
#include "fleet_fixture.hpp"
#include "pool_claims.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <tuple>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

/// Pools p, q and the standby pool off, between which hosts move by a rule other than in_order.
struct scarce_fixture
{
    fleet_fixture w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    std::vector<pool_info> pools{{"p", false}, {"q", false}, {"off", true}};

    explicit scarce_fixture(allocation_rule rule = allocation_rule::max_min)
    {
        r.settings.allocation = rule;
        r.settings.spare_hosts = 0;
        list.known = true;
        list.requested_at = w.now;
    }

    void add_machines(const std::string& pool, int n)
    {
        for (int i = 0; i < n; ++i)
        {
            const auto id = pool + std::to_string(i);
            list.machines[id] = {id, pool, "z", "h" + id, ports::machine_state::up};
            if (pool == "off")
            {
                list.machines[id].runner = "";
                continue;
            }
            w.add_host("h" + id);
            w.f.hosts["h" + id].pool = pool;
        }
    }

    /// Adds waiting work that needs this many hosts of 4 cores, before the margin of the need.
    void add_work(const std::string& pool, int hosts)
    {
        auto s = make_step(4 * hosts, 1000);
        s.estimated_run_time = d.settings.horizon;
        auto j = make_job("work of " + pool, {s});
        j.pool = pool;
        w.accept_job(j);
    }

    std::vector<move_action> next()
    {
        return plan_moves(w.f, r, d, list, pools, {}, w.now, w.events);
    }

    /// Fills pool p with hosts and gives both pools work for more.
    std::vector<move_action> begin_scarcity()
    {
        add_machines("p", 10);
        add_work("p", 20);
        add_work("q", 20);
        return next();
    }

    void take(const std::vector<move_action>& moves, ports::machine_verdict verdict)
    {
        for (const auto& it : moves)
        {
            handle_move_answer(w.f, r, list, it.machine, verdict, w.now, w.events);
        }
    }

    /// Shows the machine in the newest list as it is after the order.
    void show(const move_action& a, ports::machine_state state)
    {
        auto& m = list.machines[a.machine];
        m.pool = a.pool;
        m.state = state;
        m.runner = state == ports::machine_state::up ? "new " + a.machine : "";
    }

    void read_list()
    {
        w.now += 100ms;
        list.requested_at = w.now;
        remove_completed_moves(r, list, {});
    }

    std::size_t count_events(const std::string& name) const
    {
        return static_cast<std::size_t>(std::count_if(
            w.events.begin(), w.events.end(), [&](const auto& it) { return it.event == name; }));
    }
};

} // namespace

TEST_GROUP(scarce_moves){};

// Two pools are short at once. Guards against one that gets all because its name comes first.
TEST(scarce_moves, a_full_pool_gives_to_one_without_hosts)
{
    for (const auto rule : {allocation_rule::max_min, allocation_rule::marginal})
    {
        scarce_fixture t(rule);
        const auto moves = t.begin_scarcity();
        CHECK(moves.size() >= 3 && moves.size() <= 5);
        CHECK(
            std::all_of(moves.begin(), moves.end(), [](const auto& it) { return it.pool == "q"; }));
        LONGS_EQUAL(moves.size(), t.r.hosts["q"].target);
        LONGS_EQUAL(0, t.next().size()); // the hosts are moving already
    }
}

// Guards against hosts with long-running tasks that are taken, and against a pool that falls below
// the floor of its long-running tasks and spare hosts.
TEST(scarce_moves, hosts_of_the_floor_stay)
{
    scarce_fixture t;
    t.r.settings.spare_hosts = 1;
    t.add_machines("p", 6);
    auto serving = make_step(4, 3000);
    serving.long_running = true;
    serving.max_per_host = 1;
    t.w.accept_job(make_job("serving", {serving}));
    for (const auto& it : t.w.plan_next().starts)
    {
        t.w.answer_start(it);
    }
    t.add_work("q", 50);
    const auto moves = t.next();
    LONGS_EQUAL(5, t.r.hosts["p"].floor);
    LONGS_EQUAL(1, moves.size());
    for (const auto& it : moves)
    {
        LONGS_EQUAL(0, long_running_tasks(t.w.f, t.w.f.hosts["h" + it.machine]));
    }
}

// Guards against hosts of the standby pool that stay off while hosts are taken from pools with
// work.
TEST(scarce_moves, hosts_of_the_standby_pool_go_first)
{
    scarce_fixture t;
    t.add_machines("p", 3);
    t.add_machines("off", 4);
    t.add_work("p", 2);
    t.add_work("q", 2);
    const auto moves = t.next();
    LONGS_EQUAL(3, moves.size()); // 2 hosts and the margin of the need
    for (const auto& it : moves)
    {
        STRCMP_EQUAL("off", it.machine.substr(0, 3).c_str());
    }
}

// Guards against more orders in one plan than the platform permits, and against hosts that wait for
// their orders, closed to tasks, while the platform takes no more.
TEST(scarce_moves, the_moves_of_one_plan_are_bounded)
{
    scarce_fixture t;
    t.add_machines("p", 1);
    t.add_machines("off", 39);
    t.add_work("q", 40);
    const auto bound = static_cast<std::size_t>(t.r.settings.max_moves_per_plan);
    std::size_t ordered = 0;
    while (ordered < 40)
    {
        const auto moves = t.next();
        LONGS_EQUAL(std::min(bound, 40 - ordered), moves.size());
        ordered += moves.size();
        LONGS_EQUAL(ordered, t.r.moves.size());
    }
    LONGS_EQUAL(0, t.next().size());
}

// Pattern: the demand of a large fleet turns to another pool. Guards against moves that take as
// long as the turn because each plan orders as few as in a small fleet.
TEST(scarce_moves, a_platform_that_accepts_more_orders_gets_more)
{
    for (const auto& [per_second, after, expected] : {std::tuple{0.0, 100ms, 12},
             std::tuple{64.0, 40ms, 12},
             std::tuple{600.0, 100ms, 60},
             std::tuple{600.0, 120ms, 72},
             std::tuple{600.0, 1500ms, 600}})
    {
        scarce_fixture t;
        t.r.settings.orders_per_second = per_second;
        t.add_machines("p", 1);
        t.add_machines("off", 1000);
        t.add_work("q", 1000);
        t.r.orders_planned_at = t.w.now - after;
        LONGS_EQUAL(expected, t.next().size());
    }
}

// Guards against a move that is decided again, or reverted, because a list that was requested
// before its order shows the machine in its former pool.
TEST(scarce_moves, a_stale_list_changes_nothing)
{
    scarce_fixture t;
    const auto moves = t.begin_scarcity();
    t.take(moves, ports::machine_verdict::done);
    for (int i = 0; i < 20; ++i)
    {
        t.w.now += 50ms;
        remove_completed_moves(t.r, t.list, {}); // the list of before the orders arrives again
        LONGS_EQUAL(0, t.next().size());
        LONGS_EQUAL(moves.size(), t.r.hosts["q"].have);
    }
    LONGS_EQUAL(moves.size(), t.r.moves.size());
}

// Guards against a successor that does not know of the moves under way and orders as many again.
TEST(scarce_moves, a_successor_continues_the_moves_under_way)
{
    scarce_fixture t;
    const auto moves = t.begin_scarcity();
    t.take(moves, ports::machine_verdict::done);
    for (const auto& it : moves)
    {
        t.show(it, ports::machine_state::moving);
    }
    t.read_list();
    const auto settings = t.r.settings;
    t.r = {};
    t.r.settings = settings;
    LONGS_EQUAL(0, t.next().size());
    LONGS_EQUAL(moves.size(), t.r.hosts["q"].have);
}

// Guards against a refused move that counts as carried out, or whose machine is asked again at
// once.
TEST(scarce_moves, after_a_refused_move_another_host_goes)
{
    scarce_fixture t;
    const auto refused = t.begin_scarcity();
    t.take(refused, ports::machine_verdict::busy);
    LONGS_EQUAL(0, t.r.moves.size());
    const auto moves = t.next();
    CHECK(!moves.empty());
    for (const auto& it : moves)
    {
        STRCMP_EQUAL("q", it.pool.c_str());
        CHECK(std::none_of(refused.begin(),
            refused.end(),
            [&](const auto& before) { return before.machine == it.machine; }));
    }
}

// Guards against a pool that waits for a host that was lost on its way to it.
TEST(scarce_moves, a_host_lost_during_its_move_counts_as_absent)
{
    for (const bool leaves_list : {false, true})
    {
        scarce_fixture t;
        t.add_machines("p", 1);
        t.add_machines("off", 4);
        t.add_work("q", 2);
        const auto moves = t.next();
        LONGS_EQUAL(3, moves.size()); // 2 hosts and the margin of the need
        t.take(moves, ports::machine_verdict::done);
        t.show(moves[1], ports::machine_state::moving);
        t.show(moves[2], ports::machine_state::moving);
        t.show(moves[0], ports::machine_state::down);
        if (leaves_list)
        {
            t.list.machines.erase(moves[0].machine);
        }
        t.read_list();
        const auto more = t.next();
        LONGS_EQUAL(1, more.size());
        STRCMP_EQUAL("q", more[0].pool.c_str());
    }
}

// Guards against hosts that move on before their move has paid off: each move costs 1.5 s.
TEST(scarce_moves, a_host_that_arrived_in_scarcity_stays_until_it_has_paid_off)
{
    scarce_fixture t;
    const auto moves = t.begin_scarcity();
    t.take(moves, ports::machine_verdict::done);
    for (const auto& it : moves)
    {
        t.show(it, ports::machine_state::up);
    }
    t.read_list();
    LONGS_EQUAL(0, t.r.moves.size());
    finish_job(t.w.f, *t.w.f.jobs.at("work of q"), workflow::job_state::completed, t.w.now);
    const auto arrived = t.w.now;
    while (t.next().empty())
    {
        t.read_list();
    }
    const auto stayed = t.w.now - arrived;
    CHECK(stayed >= t.r.settings.division.payoff_time);
    CHECK(stayed < t.r.settings.division.payoff_time + 500ms);
}

// Guards against hosts that move back and forth over many plans with equal inputs, and against a
// log line for each plan.
TEST(scarce_moves, equal_inputs_move_nothing_more)
{
    for (const auto rule : {allocation_rule::max_min, allocation_rule::marginal})
    {
        scarce_fixture t(rule);
        t.add_machines("p", 12);
        t.add_work("p", 30);
        t.add_work("q", 10);
        const auto moves = t.next();
        t.take(moves, ports::machine_verdict::done);
        for (const auto& it : moves)
        {
            t.show(it, ports::machine_state::up);
        }
        for (int i = 0; i < 100; ++i)
        {
            t.read_list();
            LONGS_EQUAL(0, t.next().size());
        }
        CHECK(!moves.empty());
        CHECK(t.count_events("pool_allocation") <= 2 * t.pools.size());
    }
}

// The stake of a pool is its work that can be in time. Guards against a backlog that is late in any
// case and draws the hosts of pools whose work could be in time, and against a pool that gets no
// host for work that is expected and has not arrived.
TEST(scarce_moves, stakes_are_counted_by_outlook)
{
    struct row
    {
        const char* what;
        bool forecasts;
        bool has_outlook;
        double batch_cores;
        double expected;
    };
    // The job has 8 tasks of a core and 1.3 s: 10.4 core-seconds.
    for (const auto& it : {row{"without forecasts all work counts", false, true, 0, 10.4},
             row{"late work counts with a tenth", true, true, 0, 3 + 0.1 * 7.4},
             row{"without an outlook all work counts", true, false, 0, 10.4},
             row{"expected work counts as far as it exceeds the rest", false, true, 10, 13},
             row{"expected work that has arrived counts once", false, true, 5, 10.4}})
    {
        scarce_fixture t(allocation_rule::marginal);
        t.add_work("p", 2);
        t.w.f.settings.placement.forecasts = it.forecasts;
        auto& forecast = t.w.f.forecasts["p"];
        if (it.has_outlook)
        {
            forecast.jobs["work of p"] = job_outlook::late;
            forecast.in_time_core_seconds = 3;
            forecast.late_core_seconds = 7.4;
        }
        std::map<std::string, balance> all;
        all["p"].name = "p";
        all["p"].wanted = 5;
        all["p"].batch_cores = it.batch_cores;
        const auto claims = make_claims(t.w.f, t.r, t.d, all);
        DOUBLES_EQUAL_TEXT(it.expected, claims[0].stake, 1e-6, it.what);
    }
}
