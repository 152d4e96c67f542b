#include "bookkeeping.hpp"
#include "coordinator/rebalance.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <ctime>
#include <limits>

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

/// \return the processor time of a plan that sends all hosts of a pool to the standby pool, and
/// those of the standby pool to another one; the lowest of several measurements, in seconds.
double time_of_moves(allocation_rule rule, int hosts)
{
    double lowest = std::numeric_limits<double>::max();
    for (int n = 0; n < 5; ++n)
    {
        fleet_fixture w;
        coordinator::demand d;
        rebalancer r;
        r.settings.settling_time = 0ms;
        r.settings.allocation = rule;
        machine_table list;
        list.known = true;
        for (int i = 0; i < hosts; ++i)
        {
            const auto id = std::to_string(i);
            const auto* const pool = i % 2 == 0 ? "p" : "off";
            list.machines[id] = {id, pool, "z", "h" + id, ports::machine_state::up};
            w.add_host("h" + id);
            w.f.hosts["h" + id].pool = pool;
        }
        auto j = make_job("a", {make_step(4 * hosts, 1000)});
        j.pool = "q";
        w.accept_job(j);
        const std::vector<pool_info> pools{{"p", false}, {"q", false}, {"off", true}};
        const auto started = std::clock();
        plan_moves(w.f, r, d, list, pools, {}, w.now, w.events);
        w.now += r.settings.standby_delay;
        plan_moves(w.f, r, d, list, pools, {}, w.now, w.events);
        lowest = std::min(lowest, static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC);
    }
    return lowest;
}

} // namespace

TEST_GROUP(rebalance)
{
    fleet_fixture w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    std::vector<pool_info> pools{{"p", false}, {"q", false}, {"off", true}};

    void setup() override
    {
        r.settings.settling_time = 0ms;
    }

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
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    const auto moves = next();
    LONGS_EQUAL(2, moves.size());
    STRCMP_EQUAL("p", moves[0].pool.c_str());
    LONGS_EQUAL(0, next().size()); // the hosts are moving already
}

TEST(rebalance, idle_hosts_move_to_standby_after_a_delay)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.standby_delay + 100ms;
    const auto moves = next();
    LONGS_EQUAL(1, moves.size());
    STRCMP_EQUAL("off", moves[0].pool.c_str());
}

// A host with tasks is closed first, and moves when its tasks have ended.
TEST(rebalance, a_host_moves_only_when_it_is_empty)
{
    add_machine("1", "q");
    add_machine("2", "p");
    w.f.hosts["h1"].pool = "p"; // its runs belong to a job of pool p
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    const auto started = w.plan_next().starts;
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
    w.now += r.settings.standby_delay + 100ms;
    const auto moves = next();
    const auto host = "h" + moves[0].machine;
    CHECK(w.f.hosts[host].availability == host_availability::closed_for_move);
    handle_move_answer(
        w.f, r, list, moves[0].machine, ports::machine_verdict::busy, w.now, w.events);
    CHECK(w.f.hosts[host].availability != host_availability::closed_for_move);
    CHECK(r.moves.empty());
    w.now += r.settings.busy_machine_delay;
    next();
    CHECK(w.f.hosts[host].availability != host_availability::closed_as_busy);
}

// Guards against a busy period that begins with few hosts because all others were sent away before
// anything was known of the demand.
TEST(rebalance, hosts_stay_until_the_demand_was_seen)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    r.settings.settling_time = 20000ms;
    LONGS_EQUAL(0, next().size());
    w.now += 10s;
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.standby_delay;
    d.history.push_back({"p", w.now}); // a pool was busy
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.standby_delay;
    LONGS_EQUAL(1, next().size());
    d.history.clear();
}

// Guards against a storm of orders for machines that leave: they refuse every one, and use up the
// calls that sound moves need.
TEST(rebalance, a_machine_whose_runner_drains_is_neither_moved_nor_counted)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    r.settings.spare_hosts = 0;
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    LONGS_EQUAL(0, next().size()); // both hosts are needed
    w.f.hosts["h1"].draining = true;
    const auto moves = next();
    LONGS_EQUAL(1, moves.size()); // a host in its place
    STRCMP_EQUAL("3", moves[0].machine.c_str());
    finish_job(w.f, *w.f.jobs.at("a"), workflow::job_state::completed, w.now);
    for (int i = 0; i < 40; ++i)
    {
        w.now += 100ms;
        for (const auto& it : next())
        {
            CHECK(it.machine != "1");
        }
    }
}

// Guards against moves that wait for ever for a machine that began to leave after it was chosen.
TEST(rebalance, a_move_of_a_machine_that_begins_to_leave_is_given_up)
{
    add_machine("1", "q");
    add_machine("2", "p");
    w.f.hosts["h1"].pool = "p"; // its runs belong to a job of pool p
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    w.plan_next();
    w.f.hosts["h1"].pool = "q";
    pools = {{"p", false}, {"q", false}};
    r.settings.spare_hosts = 0;
    next();
    CHECK(r.moves.contains("1"));
    w.f.hosts["h1"].draining = true;
    next();
    CHECK(!r.moves.contains("1"));
}

// Guards against orders that are repeated at once although nothing shows that their refusal has
// lost its cause.
TEST(rebalance, a_busy_machine_is_ordered_ever_more_rarely_until_the_list_shows_a_change)
{
    add_machine("1", "p");
    add_machine("2", "off");
    pools = {{"p", false}, {"off", true}};
    r.settings.spare_hosts = 0;
    int orders = 0;
    for (int i = 0; i < 300; ++i)
    {
        w.now += 100ms;
        list.requested_at = w.now;
        forget_busy_machines(r, list);
        w.f.hosts["h1"].last_answer_at = w.now;
        for (const auto& it : next())
        {
            ++orders;
            handle_move_answer(
                w.f, r, list, it.machine, ports::machine_verdict::busy, w.now, w.events);
            w.accept_job(make_job("a" + std::to_string(i), {make_step(1, 1000)}));
            LONGS_EQUAL(0, w.plan_next().starts.size());
            finish_job(
                w.f, *w.f.jobs.at("a" + std::to_string(i)), workflow::job_state::cancelled, w.now);
        }
    }
    CHECK(orders >= 3 && orders <= 6);
    list.machines["1"].runner = "h9";
    forget_busy_machines(r, list);
    CHECK(r.busy_machines.empty());
}

// Guards against a service at its limit being asked again at once, and against moves to the standby
// pool taking the place of those that callers wait for.
TEST(rebalance, after_a_refusal_for_want_of_capacity_orders_pause_and_the_needed_ones_go_first)
{
    add_machine("1", "q");
    add_machine("2", "off");
    add_machine("3", "p");
    pools = {{"p", false}, {"q", false}, {"off", true}};
    r.settings.spare_hosts = 0;
    r.settings.max_moves_per_plan = 1;
    w.f.hosts["h1"].availability = host_availability::closed_for_move;
    r.moves["1"] = {"off", "h1", false, w.now};
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    auto moves = next();
    LONGS_EQUAL(1, moves.size());
    STRCMP_EQUAL("2", moves[0].machine.c_str());
    handle_move_answer(w.f, r, list, "2", ports::machine_verdict::refused, w.now, w.events);
    CHECK(r.moves.contains("2"));
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.refused_order_pause;
    moves = next();
    STRCMP_EQUAL("2", moves[0].machine.c_str());
    handle_move_answer(w.f, r, list, "2", ports::machine_verdict::refused, w.now, w.events);
    w.now += r.settings.refused_order_pause;
    LONGS_EQUAL(0, next().size()); // the second pause is longer
}

// Guards against ending a runner with tasks because of an answer that may be older than its tasks:
// they would start on other hosts while they run.
TEST(rebalance, an_answer_to_a_move_ends_no_working_runner)
{
    add_machine("1", "p");
    r.moves["1"] = {"off", "h1", true, w.now};
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    w.answer_start(w.plan_next().starts[0]);
    handle_move_answer(w.f, r, list, "1", ports::machine_verdict::done, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    CHECK(w.f.hosts.contains("h1"));
}

// Guards against repeating a move order for a machine whose runner started since the first order,
// or was listed since the decision: the move would end its tasks.
TEST(rebalance, a_move_is_not_ordered_under_a_runner_that_was_not_closed_for_it)
{
    for (const auto* const chosen : {"gone", "h1"})
    {
        for (const bool ordered_before : {true, false})
        {
            fleet_fixture here;
            std::swap(w, here);
            r = {};
            list = {};
            add_machine("1", "p");
            pools = {{"p", false}, {"q", false}};
            r.moves["1"] = {"q", chosen, ordered_before, w.now};
            w.accept_job(make_job("a", {make_step(1, 1000)}));
            w.answer_start(w.plan_next().starts[0]);
            handle_move_answer(w.f, r, list, "1", ports::machine_verdict::unknown, w.now, w.events);
            LONGS_EQUAL(0, next().size());
            CHECK(w.f.hosts["h1"].availability == host_availability::open);
            LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
        }
    }
}

// Guards against a move that hangs forever: the machine is back with a runner that has received a
// long-running task, the closed host waits for the end of the task, and both pools lack a host.
TEST(rebalance, a_move_does_not_wait_for_a_long_running_task)
{
    add_machine("1", "p");
    add_machine("2", "p");
    w.f.hosts["h2"].availability =
        host_availability::closed_for_maintenance; // the task must start on the other host
    pools = {{"p", false}, {"q", false}};
    r.settings.spare_hosts = 0;
    r.moves["1"] = {"q", "gone", true, w.now};
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.accept_job(make_job("a", {s}));
    w.answer_start(w.plan_next().starts[0]);
    w.f.hosts["h2"].availability = host_availability::open;
    handle_move_answer(w.f, r, list, "1", ports::machine_verdict::unknown, w.now, w.events);
    bool stopped = false;
    for (int i = 0; i < 300 && !stopped; ++i)
    {
        w.now += 200ms;
        w.f.hosts["h1"].last_answer_at = w.now;
        w.f.hosts["h2"].last_answer_at = w.now;
        list.requested_at = w.now;
        next();
        stopped = !w.plan_next().stops.empty();
    }
    const bool abandoned =
        r.moves.empty() && w.f.hosts["h1"].availability == host_availability::open;
    CHECK(abandoned || stopped);
}

// A queue of long tasks has filled the hosts when the busy period of another queue starts. If the
// move waited for the end of the tasks, they would occupy the hosts for seconds, and the short jobs
// of the other queue would be late. Tasks with checkpoints are stopped, unless they end soon, have
// no checkpoints, or their own job would be late because of the interruption.
TEST(rebalance, a_needed_host_is_freed_of_long_tasks_with_checkpoints)
{
    struct row
    {
        const char* what;
        bool checkpoints;
        core::millis task_time;
        core::millis slack;
        core::millis passed; ///< since the start of the task
        bool stops;
    };
    for (const auto& it : {row{"long, keeps its progress", true, 4s, 6s, 500ms, true},
             row{"keeps no progress", false, 4s, 6s, 500ms, false},
             row{"ends soon", true, 4s, 6s, 3500ms, false},
             row{"its job can't bear the pause", true, 4s, 500ms, 500ms, false}})
    {
        fleet_fixture here;
        rebalancer moves;
        moves.settings.spare_hosts = 0;
        machine_table machines;
        machines.known = true;
        for (const std::string id : {"1", "2"})
        {
            machines.machines[id] = {id, "p", "z", "h" + id, ports::machine_state::up};
            here.add_host("h" + id);
        }
        auto job = make_job("a", {make_step(2, 1000)}); // the need of one host, spread over two
        job.steps[0].max_per_host = 1;
        job.steps[0].checkpoints = it.checkpoints;
        job.steps[0].estimated_run_time = it.task_time;
        job.slack = it.slack;
        here.accept_job(job);
        here.f.jobs.at("a")->added_at = here.now;
        const auto started = here.plan_next().starts;
        LONGS_EQUAL(2, started.size());
        for (const auto& start : started)
        {
            here.answer_start(start);
        }
        here.now += it.passed;
        auto needing_job = make_job("b", {make_step(8, 1000)});
        needing_job.pool = "q";
        here.accept_job(needing_job);
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

/// A pool whose busy period needed most of its hosts and is over.
struct busy_period_end_fixture
{
    fleet_fixture w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    int hosts = 0;

    explicit busy_period_end_fixture(int n) : hosts(n)
    {
        list.known = true;
        for (int i = 0; i < hosts; ++i)
        {
            const auto id = std::to_string(i);
            list.machines[id] = {id, "p", "z", "h" + id, ports::machine_state::up};
            w.add_host("h" + id);
        }
        r.retained["p"] = hosts;
        r.retained_at = w.now;
    }

    /// \return the number of hosts that are still retained after this time.
    int retained_after(core::millis how_long, bool busy)
    {
        constexpr core::millis step{40};
        for (auto passed = step; passed <= how_long; passed += step)
        {
            w.now += step;
            d.pools["p"].busy = busy;
            plan_moves(w.f, r, d, list, {{"p", false}, {"off", true}}, {}, w.now, w.events);
        }
        return static_cast<int>(std::ceil(r.retained["p"]));
    }
};

} // namespace

// Queues are busy in turn, each for some seconds. Guards against a large pool whose hosts stay idle
// after its busy period for longer than the period lasted, while callers of the next pool wait.
TEST(rebalance, after_a_busy_period_pools_of_any_size_release_most_hosts_within_seconds)
{
    for (const int hosts : {5, 50, 400})
    {
        busy_period_end_fixture over(hosts);
        CHECK(over.retained_after(3s, false) <= std::max(1, hosts / 4));
    }
}

// The need changes abruptly with each job. Guards against hosts that are sent away during a lull of
// the busy period and missing at the next job.
TEST(rebalance, in_a_lull_of_a_busy_period_hosts_are_retained)
{
    for (const int hosts : {50, 400})
    {
        busy_period_end_fixture lull(hosts);
        const auto released = static_cast<int>(lull.r.settings.release_rate);
        CHECK(lull.retained_after(1s, true) >= hosts - released - 1);
    }
}

// Pattern: half of a large fleet moves at once. Guards against a choice of hosts whose work grows
// with the moves times the hosts: such a plan outlasts the coordinator's lease.
TEST(rebalance, the_work_of_choosing_hosts_grows_with_the_fleet)
{
    for (const auto rule : {allocation_rule::in_order, allocation_rule::max_min})
    {
        constexpr int hosts = 400;
        constexpr int factor = 10;
        const auto few = time_of_moves(rule, hosts);
        const auto many = time_of_moves(rule, factor * hosts);
        CHECK(many < 3 * factor * few); // 100 times if each move compared all hosts
    }
}
