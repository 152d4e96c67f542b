#include "coordinator/waves.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(waves)
{
    world w;
    machine_table list;
    wave v;

    void prepare(int machines, int at_once)
    {
        list.known = true;
        list.read_at = w.now;
        v.number = 1;
        v.most_at_once = at_once;
        v.due = w.now + 60s;
        for (int i = 1; i <= machines; ++i)
        {
            const auto n = std::to_string(i);
            list.machines["m" + n] = {"m" + n, "p", "z", "h" + n, ports::machine_state::up};
            v.machines.push_back("m" + n);
            w.add_host("h" + n);
        }
    }
};

TEST(waves, no_more_hosts_are_down_than_allowed)
{
    prepare(5, 2);
    auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(2, ready.size());
    for (const auto& it : ready)
    {
        maintenance_began(w.f, v, list, it, w.now);
    }
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    w.now += 1s;
    list.read_at = w.now;
    list.machines[ready[0]].runner = "new";
    see_machines(v, list, {});
    LONGS_EQUAL(2, plan_wave(w.f, v, list, {}, w.now, w.events).size());
}

// A task ended on a host, and the end is not stored yet. Were the host maintained or moved now and
// this process to die, nobody would know of the end, and the task would run again.
TEST(waves, a_host_stays_until_its_ends_are_stored)
{
    prepare(1, 1);
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a);
    w.ended(a, ports::run_end::done, 1);
    v.due = w.now;
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    w.f.hosts["h1"].last_stored_end = 1;
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
}

// A wave closes all hosts of a pool. Were a long-running task stopped with no host to go to, it
// would wait for the wave, and the wave for the other tasks of its step.
TEST(waves, a_task_with_nowhere_to_go_stays)
{
    prepare(2, 2);
    auto s = make_step(2, 1000);
    s.long_running = true;
    s.max_unavailable = 1;
    s.max_per_host = 1;
    w.add(make_job("a", {s}));
    for (const auto& it : w.next().starts)
    {
        w.started(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].progress_percent =
            100;
    }
    v.due = w.now;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(0, w.next().stops.size());
    w.add_host("h3");
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, w.next().stops.size());
}

// A wave takes in most hosts of a step that lasts and bears one task away at a time. Guards against
// a wave that leaves its hosts alone until its end is near, when their tasks can't all leave in
// time one after the other.
TEST(waves, long_running_tasks_leave_early_enough_to_leave_one_by_one)
{
    struct row
    {
        const char* what;
        int max_unavailable;
        core::millis left;
        bool leaves;
    };
    for (const auto& it : {row{"one at a time, little time", 1, 14s, true},
             row{"one at a time, time enough", 1, 30s, false},
             row{"all at once, the same time", 8, 14s, false},
             row{"as many as one likes", 0, 14s, false}})
    {
        world here;
        std::swap(w, here);
        v = {};
        list = {};
        prepare(8, 8);
        auto s = make_step(8, 1000);
        s.long_running = true;
        s.max_unavailable = it.max_unavailable;
        s.max_per_host = 1;
        w.add(make_job("a", {s}));
        for (const auto& start : w.next().starts)
        {
            w.started(start);
            w.f.jobs.at("a")
                ->tasks[static_cast<std::size_t>(start.task.index)]
                .runs[0]
                .progress_percent = 100;
        }
        for (int i = 9; i <= 16; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
        v.due = w.now + it.left;
        plan_wave(w.f, v, list, {}, w.now, w.events);
        const auto stops = w.next().stops.size();
        CHECK_TEXT(stops <= static_cast<std::size_t>(it.max_unavailable), it.what);
        CHECK_TEXT((stops > 0) == it.leaves, it.what);
    }
}

// There is time: a host that works stays up, one that idles in a pool with some to spare goes. When
// the end comes near, the one that works is emptied too.
TEST(waves, while_there_is_time_only_hosts_that_nobody_misses_go)
{
    prepare(2, 2);
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto busy = w.next().starts[0].host.id;
    const auto idle = busy == "h1" ? "m2" : "m1";
    list.short_pools = {"p"};
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    list.short_pools.clear();
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    STRCMP_EQUAL(idle, ready[0].c_str());
    CHECK(w.f.hosts[busy].availability == host_availability::open);
    w.now = v.due - 5s;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    CHECK(w.f.hosts[busy].availability == host_availability::closed_for_maintenance);
}

// A successor finds a runner in the record whose machine was moved since. It need not wait for the
// runner's leases: the list shows that the machine runs nothing, or another life.
TEST(waves, a_machines_other_life_or_none_ends_a_runner)
{
    struct row
    {
        const char* runner;
        ports::machine_state state;
        bool ends;
    };
    const row rows[] = {
        {"h1", ports::machine_state::up, false},
        {"h9", ports::machine_state::up, true},
        {"", ports::machine_state::moving, true},
        {"h1", ports::machine_state::in_maintenance, true},
        {"", ports::machine_state::down, false},
        {"h1", ports::machine_state::down, false},
    };
    for (const auto& it : rows)
    {
        world each;
        each.add_host("h1");
        each.f.hosts["h1"].machine = "m1";
        each.f.hosts["h1"].inherited = true;
        machine_table table;
        table.known = true;
        table.read_at = each.now;
        table.machines["m1"] = {"m1", "p", "z", it.runner, it.state};
        match_machines(each.f, table, {}, each.now, each.events);
        LONGS_EQUAL(it.ends ? 0 : 1, each.f.hosts.count("h1"));
    }
}

// Guards against ending a sound runner by a list that is older than what is known of it: such a
// list names the runner before it, or says that the machine still moves.
TEST(waves, a_list_from_before_a_runner_was_seen_does_not_end_it)
{
    const wave_settings s;
    struct row
    {
        const char* what;
        core::millis asked_after; ///< the record was read
        bool ends;
    };
    const row rows[] = {{"asked before", -10ms, false},
        {"asked at once", 0ms, false},
        {"within the list's lag", s.list_lag, false},
        {"later", s.list_lag + 1ms, true}};
    for (const auto& it : rows)
    {
        for (const bool in_record : {true, false})
        {
            world each;
            if (in_record)
            {
                add_prior_hosts(each.f, {{{"h1", "a:1", {}}, "m1", "p", {}}}, each.now);
            }
            else
            {
                each.add_host("h1");
                machine_table seen;
                seen.read_at = each.now;
                seen.machines["m1"] = {"m1", "p", "z", "h1", ports::machine_state::up};
                match_machines(each.f, seen, s.list_lag, each.now, each.events);
            }
            machine_table table;
            table.read_at = each.now + it.asked_after;
            table.machines["m1"] = {"m1", "p", "z", "h0", ports::machine_state::up};
            match_machines(each.f, table, s.list_lag, each.now, each.events);
            LONGS_EQUAL_TEXT(it.ends ? 0 : 1, each.f.hosts.count("h1"), it.what);
        }
    }
}

TEST(waves, a_wave_ends_when_each_machine_that_stays_has_begun)
{
    prepare(2, 2);
    CHECK_FALSE(see_machines(v, list, {}));
    v.begun = {"m1"};
    CHECK_FALSE(see_machines(v, list, {}));
    list.machines.erase("m2"); // it has left for good
    CHECK(see_machines(v, list, {}));
    CHECK(v.completed);
}

// A task on a host that does not answer may be gone. While it counts as away, no other task of
// its step is taken away for a wave.
TEST(waves, a_silent_host_counts_against_what_a_step_may_miss)
{
    prepare(2, 2);
    w.add_host("h3");
    auto s = make_step(2, host_cpu);
    s.long_running = true;
    s.max_unavailable = 1;
    w.add(make_job("a", {s}));
    for (const auto& it : w.next().starts)
    {
        w.started(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].progress_percent =
            100;
    }
    const auto& j = *w.f.jobs.at("a");
    LONGS_EQUAL(0, others_away(w.f, j, {"a", 0, 0, 0}));
    w.f.hosts[j.tasks[1].runs[0].host].reachable = false;
    LONGS_EQUAL(1, others_away(w.f, j, {"a", 0, 0, 0}));
}

// Guards against ending the runner that came after a maintenance when a repeat of the order for it
// is answered: its tasks would start elsewhere while they run.
TEST(waves, a_repeated_order_that_is_answered_late_ends_no_runner_at_work)
{
    prepare(1, 1);
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    w.now += 4s; // maintained without an answer, and back as another life
    w.f.hosts.erase("h1");
    w.add_host("h2");
    list.read_at = w.now;
    list.machines["m1"].runner = "h2";
    match_machines(w.f, list, {}, w.now, w.events);
    w.add(make_job("a", {make_step(1, 1000)}));
    w.started(w.next().starts[0]);
    maintenance_began(w.f, v, list, "m1", w.now);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    CHECK(w.f.hosts.contains("h2"));
}

// Guards against taking work down with the repeat of a maintenance order, and against keeping a
// host from work while the service of machines doesn't answer anyway.
TEST(waves, a_repeated_order_waits_for_the_service_and_for_an_empty_host)
{
    prepare(1, 1);
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    CHECK(may_send_order(w.f, v, list, "m1", {}, w.now, w.events));
    w.f.hosts.erase("h1");
    w.add_host("h2");
    list.machines["m1"].runner = "h2";
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto run = w.next().starts[0];
    w.started(run);
    w.now += 1s; // the list is from before the order
    CHECK_FALSE(may_send_order(w.f, v, list, "m1", {}, w.now, w.events));
    CHECK(w.f.hosts["h2"].availability == host_availability::open);
    list.read_at = w.now;
    CHECK_FALSE(may_send_order(w.f, v, list, "m1", {}, w.now, w.events));
    CHECK(w.f.hosts["h2"].availability == host_availability::closed_for_maintenance);
    w.ended(run, ports::run_end::done, 1);
    w.f.hosts["h2"].last_stored_end = 1;
    CHECK(may_send_order(w.f, v, list, "m1", {}, w.now, w.events));
    maintenance_began(w.f, v, list, "m1", w.now);
    CHECK(w.f.hosts["h2"].availability == host_availability::open); // it came after the maintenance
}

// Guards against a wave that hangs, with all hosts of its pool closed: the host that came after a
// maintenance without an answer has got the tasks that last of those that are closed ahead, and the
// repeat waits until they leave, which they can't.
TEST(waves, a_repeated_order_does_not_wait_for_tasks_that_have_nowhere_to_go)
{
    prepare(3, 1);
    v.due = w.now; // all hosts may be closed
    w.f.hosts["h1"].availability = host_availability::closed_for_maintenance;
    auto s = make_step(2, 1000);
    s.long_running = true;
    w.add(make_job("a", {s}));
    std::int64_t end = 0;
    const auto play = [&]
    {
        const auto p = w.next();
        for (const auto& it : p.stops)
        {
            w.ended({it.host, it.task, it.run, {}, {}, {}}, ports::run_end::stopped, ++end);
        }
        for (const auto& it : p.starts)
        {
            w.started(it);
        }
        for (auto& [id, h] : w.f.hosts)
        {
            h.last_stored_end = h.last_applied_end;
            h.last_answer_at = w.now;
        }
    };
    play();
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    STRCMP_EQUAL("m1", ready[0].c_str());
    CHECK(may_send_order(w.f, v, list, "m1", {}, w.now, w.events));
    w.f.hosts.erase("h1"); // maintained without an answer, and back as another life
    w.add_host("h4");
    list.machines["m1"].runner = "h4";
    for (int i = 0; i < 10; ++i)
    {
        w.now += 100ms;
        plan_wave(w.f, v, list, {}, w.now, w.events);
        play();
    }
    bool sent = false;
    for (int i = 0; i < 100 && !sent; ++i)
    {
        w.now += 200ms;
        list.read_at = w.now;
        plan_wave(w.f, v, list, {}, w.now, w.events);
        sent = may_send_order(w.f, v, list, "m1", {}, w.now, w.events);
        play();
    }
    CHECK(sent);
}

// Guards against a wave that hangs: a machine that has left after an order without an answer is
// refused each time, and would keep its place for ever.
TEST(waves, a_machine_that_has_left_keeps_no_place)
{
    prepare(2, 1);
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    CHECK(may_send_order(w.f, v, list, ready[0], {}, w.now, w.events));
    order_unheard(v, ready[0]);
    CHECK(keeps_place(v, list, ready[0]));
    list.machines.erase(ready[0]);
    CHECK(keeps_place(v, list, ready[0])); // the list is from before the order
    list.read_at = w.now + 1ms;
    CHECK_FALSE(keeps_place(v, list, ready[0]));
}

// Guards against a host that stays closed for ever since it turned out to be of another wave.
TEST(waves, a_host_that_is_not_of_the_wave_is_opened_again)
{
    prepare(1, 1);
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    CHECK(w.f.hosts["h1"].availability == host_availability::closed_for_maintenance);
    not_in_wave(w.f, v, list, "m1");
    CHECK(w.f.hosts["h1"].availability == host_availability::open);
    CHECK(plan_wave(w.f, v, list, {}, w.now, w.events).empty());
}
