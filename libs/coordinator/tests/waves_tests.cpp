#include "coordinator/waves.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(waves)
{
    fleet_fixture w;
    machine_table list;
    wave v;

    void prepare(int machines, int at_once)
    {
        list.known = true;
        list.requested_at = w.now;
        v.number = 1;
        v.max_at_once = at_once;
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
        handle_maintenance_started(w.f, v, list, it, w.now);
    }
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    w.now += 1s;
    list.requested_at = w.now;
    list.machines[ready[0]].runner = "new";
    update_wave(v, list, {});
    LONGS_EQUAL(2, plan_wave(w.f, v, list, {}, w.now, w.events).size());
}

// Failure: a task has ended on a host and the end is not stored yet. If the host were maintained or
// moved now and this process ended, the end would be lost, and the task would run again.
TEST(waves, a_host_stays_until_its_ends_are_stored)
{
    prepare(1, 1);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_next().starts[0];
    w.answer_start(a);
    w.report_end(a, ports::run_end::done, 1);
    v.due = w.now;
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    w.f.hosts["h1"].last_stored_end = 1;
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
}

// Failure: a wave closes all hosts of a pool. If a long-running task were stopped without another
// host to run on, it would wait for the wave, and the wave for the other tasks of its step.
TEST(waves, a_task_without_another_host_is_not_stopped)
{
    prepare(2, 2);
    auto s = make_step(2, 1000);
    s.long_running = true;
    s.max_unavailable = 1;
    s.max_per_host = 1;
    w.accept_job(make_job("a", {s}));
    for (const auto& it : w.plan_next().starts)
    {
        w.answer_start(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].progress_percent =
            100;
    }
    v.due = w.now;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(0, w.plan_next().stops.size());
    w.add_host("h3");
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, w.plan_next().stops.size());
}

// A wave contains most hosts of a long-running step with max_unavailable of 1. Guards against a
// wave that leaves its hosts alone until it is almost due, when their tasks can't all leave in time
// one after the other.
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
             row{"any number at a time", 0, 14s, false}})
    {
        fleet_fixture here;
        std::swap(w, here);
        v = {};
        list = {};
        prepare(8, 8);
        auto s = make_step(8, 1000);
        s.long_running = true;
        s.max_unavailable = it.max_unavailable;
        s.max_per_host = 1;
        w.accept_job(make_job("a", {s}));
        for (const auto& start : w.plan_next().starts)
        {
            w.answer_start(start);
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
        const auto stops = w.plan_next().stops.size();
        CHECK_TEXT(stops <= static_cast<std::size_t>(it.max_unavailable), it.what);
        CHECK_TEXT((stops > 0) == it.leaves, it.what);
    }
}

// While there is time, a working host stays up, and an idle host of a pool with hosts to give away
// goes down. Close to the due time, the working host is emptied too.
TEST(waves, while_there_is_time_only_unneeded_hosts_go_down)
{
    prepare(2, 2);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto busy = w.plan_next().starts[0].host.id;
    const auto idle = busy == "h1" ? "m2" : "m1";
    list.pools_without_spare = {"p"};
    LONGS_EQUAL(0, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    list.pools_without_spare.clear();
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    STRCMP_EQUAL(idle, ready[0].c_str());
    CHECK(w.f.hosts[busy].availability == host_availability::open);
    w.now = v.due - 5s;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    CHECK(w.f.hosts[busy].availability == host_availability::closed_for_maintenance);
}

// The record of runners contains one whose machine has moved since. The next coordinator need not
// wait for the leases of that runner: the machine list shows that the machine runs nothing, or
// another runner. The list knows ids only, and is no evidence of an incarnation under the same id.
TEST(waves, another_or_no_runner_on_its_machine_ends_a_runner)
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
        {"h1", ports::machine_state::moving, true},
        {"", ports::machine_state::moving, true},
        {"h1", ports::machine_state::in_maintenance, true},
        {"", ports::machine_state::down, false},
        {"h1", ports::machine_state::down, false},
    };
    struct variant
    {
        const char* host;
        bool inherited;
        core::millis list_lag;
    };
    const variant variants[] = {{"h1", true, 0ms}, {"h1/1700000000000", false, 300ms}};
    for (const auto& it : rows)
    {
        for (const auto& v : variants)
        {
            fleet_fixture each;
            each.add_host(v.host);
            each.f.hosts[v.host].machine = "m1";
            each.f.hosts[v.host].inherited = v.inherited;
            machine_table table;
            table.known = true;
            table.requested_at = each.now;
            table.machines["m1"] = {"m1", "p", "z", it.runner, it.state};
            apply_machine_list(each.f, table, v.list_lag, each.now, each.events);
            LONGS_EQUAL(it.ends ? 0 : 1, each.f.hosts.count(v.host));
        }
    }
}

// Guards against ending a working runner because of a list that is older than the knowledge of the
// runner: such a list names the previous runner, or shows the machine as still moving.
TEST(waves, a_list_older_than_the_record_of_a_runner_does_not_end_it)
{
    const wave_settings s;
    struct row
    {
        const char* what;
        core::millis requested_after; ///< time from reading the record to requesting the list
        bool ends;
    };
    const row rows[] = {{"requested before", -10ms, false},
        {"requested at once", 0ms, false},
        {"within the list's lag", s.list_lag, false},
        {"later", s.list_lag + 1ms, true}};
    for (const auto& it : rows)
    {
        for (const bool in_record : {true, false})
        {
            fleet_fixture each;
            if (in_record)
            {
                add_inherited_hosts(each.f, {{{"h1", "a:1", {}}, "m1", "p", {}}}, each.now);
            }
            else
            {
                each.add_host("h1");
                machine_table earlier_list;
                earlier_list.requested_at = each.now;
                earlier_list.machines["m1"] = {"m1", "p", "z", "h1", ports::machine_state::up};
                apply_machine_list(each.f, earlier_list, s.list_lag, each.now, each.events);
            }
            machine_table table;
            table.requested_at = each.now + it.requested_after;
            table.machines["m1"] = {"m1", "p", "z", "h0", ports::machine_state::up};
            apply_machine_list(each.f, table, s.list_lag, each.now, each.events);
            LONGS_EQUAL_TEXT(it.ends ? 0 : 1, each.f.hosts.count("h1"), it.what);
        }
    }
}

TEST(waves, a_wave_is_completed_when_each_remaining_machine_has_started)
{
    prepare(2, 2);
    CHECK_FALSE(update_wave(v, list, {}));
    v.started_machines = {"m1"};
    CHECK_FALSE(update_wave(v, list, {}));
    list.machines.erase("m2"); // the machine has left permanently
    CHECK(update_wave(v, list, {}));
    CHECK(v.completed);
}

// A task on a host that does not answer may have ended. While it counts as unavailable, no other
// task of its step is stopped for a wave.
TEST(waves, a_task_on_an_unresponsive_host_counts_as_unavailable)
{
    prepare(2, 2);
    w.add_host("h3");
    auto s = make_step(2, host_cpu);
    s.long_running = true;
    s.max_unavailable = 1;
    w.accept_job(make_job("a", {s}));
    for (const auto& it : w.plan_next().starts)
    {
        w.answer_start(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].progress_percent =
            100;
    }
    const auto& j = *w.f.jobs.at("a");
    LONGS_EQUAL(0, other_unavailable_tasks(w.f, j, {"a", 0, 0, 0}));
    w.f.hosts[j.tasks[1].runs[0].host].reachable = false;
    LONGS_EQUAL(1, other_unavailable_tasks(w.f, j, {"a", 0, 0, 0}));
}

// Guards against ending the runner that started after a maintenance when a repeat of the order is
// answered: its tasks would start on other hosts while they run.
TEST(waves, a_late_answer_to_a_repeated_order_ends_no_working_runner)
{
    prepare(1, 1);
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    w.now += 4s; // maintained without an answer, and back with another runner
    w.f.hosts.erase("h1");
    w.add_host("h2");
    list.requested_at = w.now;
    list.machines["m1"].runner = "h2";
    apply_machine_list(w.f, list, {}, w.now, w.events);
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    w.answer_start(w.plan_next().starts[0]);
    handle_maintenance_started(w.f, v, list, "m1", w.now);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    CHECK(w.f.hosts.contains("h2"));
}

// Guards against ending tasks with the repeat of a maintenance order, and against closing a host
// while the machine service doesn't answer anyway.
TEST(waves, a_repeated_order_waits_for_the_service_and_for_an_empty_host)
{
    prepare(1, 1);
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    CHECK(prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events));
    w.f.hosts.erase("h1");
    w.add_host("h2");
    list.machines["m1"].runner = "h2";
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto run = w.plan_next().starts[0];
    w.answer_start(run);
    w.now += 1s; // the list was requested before the order
    CHECK_FALSE(prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events));
    CHECK(w.f.hosts["h2"].availability == host_availability::open);
    list.requested_at = w.now;
    CHECK_FALSE(prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events));
    CHECK(w.f.hosts["h2"].availability == host_availability::closed_for_maintenance);
    w.report_end(run, ports::run_end::done, 1);
    w.f.hosts["h2"].last_stored_end = 1;
    CHECK(prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events));
    handle_maintenance_started(w.f, v, list, "m1", w.now);
    CHECK(w.f.hosts["h2"].availability ==
          host_availability::open); // its runner started after the maintenance
}

// Guards against a wave that hangs with all hosts of its pool closed. The host that returned after
// a maintenance without an answer has received the long-running tasks of the hosts that were closed
// in advance. The repeat of the order waits until these tasks leave, which they can't.
TEST(waves, a_repeated_order_does_not_wait_for_tasks_without_another_host)
{
    prepare(3, 1);
    v.due = w.now; // all hosts may be closed
    w.f.hosts["h1"].availability = host_availability::closed_for_maintenance;
    auto s = make_step(2, 1000);
    s.long_running = true;
    w.accept_job(make_job("a", {s}));
    std::int64_t end = 0;
    const auto play = [&]
    {
        const auto p = w.plan_next();
        for (const auto& it : p.stops)
        {
            w.report_end({it.host, it.task, it.run, {}, {}, {}}, ports::run_end::stopped, ++end);
        }
        for (const auto& it : p.starts)
        {
            w.answer_start(it);
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
    CHECK(prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events));
    w.f.hosts.erase("h1"); // maintained without an answer, and back with another runner
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
        list.requested_at = w.now;
        plan_wave(w.f, v, list, {}, w.now, w.events);
        sent = prepare_maintenance_order(w.f, v, list, "m1", {}, w.now, w.events);
        play();
    }
    CHECK(sent);
}

// Guards against a wave that hangs: a machine that has left after an order without an answer is
// refused each time, and would occupy its place in the wave forever.
TEST(waves, a_machine_that_has_left_occupies_no_place)
{
    prepare(2, 1);
    const auto ready = plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, ready.size());
    CHECK(prepare_maintenance_order(w.f, v, list, ready[0], {}, w.now, w.events));
    record_unanswered_order(v, ready[0]);
    CHECK(order_may_take_effect(v, list, ready[0]));
    list.machines.erase(ready[0]);
    CHECK(order_may_take_effect(v, list, ready[0])); // the list was requested before the order
    list.requested_at = w.now + 1ms;
    CHECK_FALSE(order_may_take_effect(v, list, ready[0]));
}

// Guards against a host that stays closed forever because it turned out not to be part of the wave.
TEST(waves, a_host_that_is_not_of_the_wave_is_opened_again)
{
    prepare(1, 1);
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
    CHECK(w.f.hosts["h1"].availability == host_availability::closed_for_maintenance);
    remove_from_wave(w.f, v, list, "m1");
    CHECK(w.f.hosts["h1"].availability == host_availability::open);
    CHECK(plan_wave(w.f, v, list, {}, w.now, w.events).empty());
}

// Failure: the previous coordinator had a task stopped, and its runner still lists the run as
// active. A successor that counts it as working stops one more task of the step than may be
// unavailable.
TEST(waves, a_successor_waits_until_inherited_stops_have_taken_effect)
{
    struct row
    {
        const char* what;
        core::millis poll_sent_after; ///< the poll that found the runs
        std::size_t stops;
    };
    const auto longest = w.f.settings.max_stop_time;
    for (const auto& it : {row{"the runs were just found", 0ms, 0},
             row{"a stop may still take effect", longest - 1ms, 0},
             row{"all stops have taken effect", longest, 1}})
    {
        fleet_fixture here;
        std::swap(w, here);
        v = {};
        list = {};
        prepare(3, 3);
        w.add_host("h4");
        auto s = make_step(3, 1000);
        s.long_running = true;
        s.max_unavailable = 1;
        s.max_per_host = 1;
        w.accept_job(make_job("a", {s}));
        const auto poll_all = [&](core::mono_time sent_at)
        {
            for (int i = 0; i < 3; ++i)
            {
                ports::poll_answer p;
                p.call = {ports::runner_verdict::done, w.clock_ms()};
                p.running = {{"a.0.0." + std::to_string(i), 7, {}, 100, 0}};
                handle_poll_answer(w.f, "h" + std::to_string(i + 1), sent_at, p, w.now, w.events);
            }
        };
        poll_all(w.now);
        const auto found_at = w.now;
        w.now += 2 * longest;
        poll_all(found_at + it.poll_sent_after);
        v.due = w.now;
        plan_wave(w.f, v, list, {}, w.now, w.events);
        LONGS_EQUAL_TEXT(it.stops, w.plan_next().stops.size(), it.what);
    }
}

// Failure: a coordinator moves hosts to the standby pool and is replaced before it has stored that
// their runners have ended. Guards against a successor that waits for the leases of these runners:
// inherited jobs of their pool would stand still for seconds.
TEST(waves, a_runner_whose_machine_has_moved_has_ended)
{
    for (const auto* const pool : {"p", "off"})
    {
        prepare(1, 1);
        auto& h = w.f.hosts.at("h1");
        h.machine = "m1";
        h.machine_known_at = w.now;
        h.inherited = true;
        w.now += 1s;
        list.requested_at = w.now;
        list.machines["m1"] = {"m1", pool, "z", "", ports::machine_state::up};
        apply_machine_list(w.f, list, {}, w.now, w.events);
        CHECK_EQUAL(std::string{pool} == "p", w.f.hosts.contains("h1"));
    }
}
