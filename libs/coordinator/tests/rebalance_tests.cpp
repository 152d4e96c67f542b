#include "coordinator/rebalance.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(rebalance)
{
    world w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    std::vector<pool_info> pools{{"p", false}, {"q", false}, {"off", true}};

    void add_machine(const std::string& id, const std::string& pool)
    {
        list.known = true;
        list.machines[id] = {
            id, pool, "z", pool == "off" ? "" : "h" + id, ports::machine_state::up};
        if (pool != "off")
        {
            w.add_host("h" + id);
            w.f.hosts["h" + id].pool = pool;
        }
    }

    std::vector<move_action> next()
    {
        return plan_moves(w.f, r, d, list, pools, {}, w.now, w.events);
    }
};

TEST(rebalance, a_short_pool_gets_hosts_from_the_standby_pool)
{
    add_machine("1", "p");
    add_machine("2", "q");
    add_machine("3", "off");
    add_machine("4", "off");
    pools = {{"p", false}, {"off", true}};
    w.add(make_job("a", {make_step(8, 1000)}));
    const auto moves = next();
    LONGS_EQUAL(2, moves.size());
    STRCMP_EQUAL("p", moves[0].pool.c_str());
    LONGS_EQUAL(0, next().size()); // they are on their way
}

TEST(rebalance, idle_hosts_rest_after_a_while)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.rest + 100ms;
    const auto moves = next();
    LONGS_EQUAL(1, moves.size());
    STRCMP_EQUAL("off", moves[0].pool.c_str());
}

// A host that works is not torn away: it is closed, and moves when its tasks have ended.
TEST(rebalance, a_host_moves_only_when_it_is_empty)
{
    add_machine("1", "q");
    add_machine("2", "p");
    w.f.hosts["h1"].pool = "p"; // its runs are of p's job
    w.add(make_job("a", {make_step(8, 1000)}));
    const auto started = w.next().starts;
    CHECK(!started.empty());
    w.f.hosts["h1"].pool = "q";
    pools = {{"p", false}, {"q", false}};
    r.settings.spare_hosts = 0;
    LONGS_EQUAL(0, next().size());
    CHECK(w.f.hosts["h1"].use == host_use::closed_for_move);
}

TEST(rebalance, a_refused_move_opens_the_host_again)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    next();
    w.now += r.settings.rest + 100ms;
    const auto moves = next();
    const auto host = "h" + moves[0].machine;
    CHECK(w.f.hosts[host].use == host_use::closed_for_move);
    move_answered(w.f, r, moves[0].machine, ports::machine_verdict::busy, w.now, w.events);
    CHECK(w.f.hosts[host].use == host_use::open);
    CHECK(r.moves.empty());
}
