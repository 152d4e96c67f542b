#include "coordinator/rebalance.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

run_phase phase_of(const fleet& f, const workflow::task_name& name)
{
    const auto& j = *f.jobs.at(name.job);
    const auto place = workflow::task_index(j.spec, name.occurrence, name.step, name.index);
    return j.tasks[place].runs.front().phase;
}

} // namespace

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
    CHECK(w.f.hosts["h1"].availability == host_availability::closed_for_move);
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
    CHECK(w.f.hosts[host].availability == host_availability::closed_for_move);
    move_answered(w.f, r, moves[0].machine, ports::machine_verdict::busy, w.now, w.events);
    CHECK(w.f.hosts[host].availability == host_availability::open);
    CHECK(r.moves.empty());
}

// Guards against ending a runner with work for an answer that may be older than its work: the tasks
// would start elsewhere while they run.
TEST(rebalance, an_answer_to_a_move_ends_no_runner_at_work)
{
    add_machine("1", "p");
    r.moves["1"] = {"off", "h1", true, w.now};
    w.add(make_job("a", {make_step(1, 1000)}));
    w.started(w.next().starts[0]);
    move_answered(w.f, r, "1", ports::machine_verdict::done, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    CHECK(w.f.hosts.contains("h1"));
}

// Guards against repeating a move under a runner that came since it was first ordered, or was
// listed since it was decided: it would end the work there.
TEST(rebalance, a_move_is_not_ordered_under_a_runner_that_was_not_closed_for_it)
{
    for (const auto* const chosen : {"gone", "h1"})
    {
        for (const bool ordered_before : {true, false})
        {
            world here;
            std::swap(w, here);
            r = {};
            list = {};
            add_machine("1", "p");
            pools = {{"p", false}, {"q", false}};
            r.moves["1"] = {"q", chosen, ordered_before, w.now};
            w.add(make_job("a", {make_step(1, 1000)}));
            w.started(w.next().starts[0]);
            move_answered(w.f, r, "1", ports::machine_verdict::unknown, w.now, w.events);
            LONGS_EQUAL(0, next().size());
            CHECK(w.f.hosts["h1"].availability == host_availability::open);
            LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
        }
    }
}

// Guards against a move that hangs for ever: the machine is back with a runner that has got a task
// that lasts, which closed waits for its end, and both pools are a host short.
TEST(rebalance, a_move_does_not_wait_for_a_task_that_lasts)
{
    add_machine("1", "p");
    add_machine("2", "p");
    w.f.hosts["h2"].availability =
        host_availability::closed_for_maintenance; // the task is to go to the other one
    pools = {{"p", false}, {"q", false}};
    r.settings.spare_hosts = 0;
    r.moves["1"] = {"q", "gone", true, w.now};
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.add(make_job("a", {s}));
    w.started(w.next().starts[0]);
    w.f.hosts["h2"].availability = host_availability::open;
    move_answered(w.f, r, "1", ports::machine_verdict::unknown, w.now, w.events);
    bool stopped = false;
    for (int i = 0; i < 300 && !stopped; ++i)
    {
        w.now += 200ms;
        w.f.hosts["h1"].last_answer_at = w.now;
        w.f.hosts["h2"].last_answer_at = w.now;
        list.read_at = w.now;
        next();
        stopped = !w.next().stops.empty();
    }
    const bool given_up =
        r.moves.empty() && w.f.hosts["h1"].availability == host_availability::open;
    CHECK(given_up || stopped);
}

// A queue of long tasks has filled the hosts when another queue's busy time begins. Waited for to
// their end, the tasks hold the hosts for seconds, and the short jobs of the other queue are late.
// Tasks that keep their progress are stopped, unless they end soon, keep none, or their own job
// would be late for the pause.
TEST(rebalance, a_host_that_is_wanted_is_freed_of_long_tasks_that_can_go_on_elsewhere)
{
    struct row
    {
        const char* what;
        bool checkpoints;
        core::millis task_time;
        core::millis slack;
        core::millis passed; ///< since the task's start
        bool stops;
    };
    for (const auto& it : {row{"long, keeps its progress", true, 4s, 6s, 500ms, true},
             row{"keeps no progress", false, 4s, 6s, 500ms, false},
             row{"ends soon", true, 4s, 6s, 3500ms, false},
             row{"its job can't bear the pause", true, 4s, 500ms, 500ms, false}})
    {
        world here;
        rebalancer moves;
        moves.settings.spare_hosts = 0;
        machine_table machines;
        machines.known = true;
        for (const std::string id : {"1", "2"})
        {
            machines.machines[id] = {id, "p", "z", "h" + id, ports::machine_state::up};
            here.add_host("h" + id);
        }
        auto job = make_job("a", {make_step(2, 1000)}); // the need of one host, on two
        job.steps[0].max_per_host = 1;
        job.steps[0].checkpoints = it.checkpoints;
        job.steps[0].estimated_run_time = it.task_time;
        job.slack = it.slack;
        here.add(job);
        here.f.jobs.at("a")->added_at = here.now;
        const auto started = here.next().starts;
        LONGS_EQUAL(2, started.size());
        for (const auto& start : started)
        {
            here.started(start);
        }
        here.now += it.passed;
        auto wanting = make_job("b", {make_step(8, 1000)});
        wanting.pool = "q";
        here.add(wanting);
        plan_moves(
            here.f, moves, d, machines, {{"p", false}, {"q", false}}, {}, here.now, here.events);
        int stopping = 0;
        for (const auto& start : started)
        {
            const bool closed =
                here.f.hosts[start.host.id].availability == host_availability::closed_for_move;
            const bool stops = phase_of(here.f, start.task) == run_phase::stopping;
            CHECK_TEXT(closed || !stops, it.what);
            stopping += stops ? 1 : 0;
        }
        LONGS_EQUAL_TEXT(it.stops ? 1 : 0, stopping, it.what);
        LONGS_EQUAL_TEXT(1, moves.moves.size(), it.what);
    }
}

namespace
{

/// A pool whose busy time asked for most of its hosts and is over.
struct after_a_busy_time
{
    world w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    int hosts = 0;

    explicit after_a_busy_time(int n) : hosts(n)
    {
        list.known = true;
        for (int i = 0; i < hosts; ++i)
        {
            const auto id = std::to_string(i);
            list.machines[id] = {id, "p", "z", "h" + id, ports::machine_state::up};
            w.add_host("h" + id);
        }
        r.kept["p"] = hosts;
        r.kept_at = w.now;
    }

    /// \return the hosts that are still kept after so long.
    int kept_after(core::millis how_long, bool busy)
    {
        constexpr core::millis step{40};
        for (auto passed = step; passed <= how_long; passed += step)
        {
            w.now += step;
            d.pools["p"].busy = busy;
            plan_moves(w.f, r, d, list, {{"p", false}, {"off", true}}, {}, w.now, w.events);
        }
        return static_cast<int>(std::ceil(r.kept["p"]));
    }
};

} // namespace

// Queues take turns, each with a busy time of some seconds. Guards against a large pool whose hosts
// stand idle after its turn for longer than the turn lasted, while the next pool's callers wait.
TEST(rebalance, after_a_busy_time_most_hosts_are_let_go_within_seconds_in_pools_of_any_size)
{
    for (const int hosts : {5, 50, 400})
    {
        after_a_busy_time over(hosts);
        CHECK(over.kept_after(3s, false) <= std::max(1, hosts / 4));
    }
}

// Needs jump with each job. Guards against hosts that are sent off in a lull of the busy time and
// missed at the next job.
TEST(rebalance, in_a_lull_of_a_busy_time_hosts_are_kept)
{
    for (const int hosts : {50, 400})
    {
        after_a_busy_time lull(hosts);
        const auto released = static_cast<int>(lull.r.settings.release);
        CHECK(lull.kept_after(1s, true) >= hosts - released - 1);
    }
}
