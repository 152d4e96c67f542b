#include "host_loss_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using workflow::job_state;

TEST_GROUP(isolated_runs)
{
    host_loss_fixture w;

    void setup() override
    {
        for (int i = 0; i < 6; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
    }
};

// A suspect runs on a host without other tasks, and no task joins it there.
TEST(isolated_runs, a_suspect_runs_without_other_tasks)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_repeatedly(2));
    w.accept_job(make_job("b", {make_step(12, 1000)}));
    std::string host;
    for (const auto& it : w.plan_starts())
    {
        host = it.task.job == "a" ? it.host.id : host;
    }
    CHECK(!host.empty());
    w.accept_job(make_job("c", {make_step(30, 1000)}));
    w.plan_starts();
    LONGS_EQUAL(1, w.f.hosts.at(host).runs.size());
}

// Guards against isolated runs whose crash can't be certain: no machine list shows the next runner
// of an unknown machine.
TEST(isolated_runs, a_host_without_a_known_machine_gets_no_isolated_run)
{
    host_loss_fixture each;
    each.add_host("h1");
    each.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_repeatedly(2));
    each.f.hosts.clear();
    each.add_host("h9");
    each.f.hosts.at("h9").machine.clear();
    LONGS_EQUAL(0, each.plan_starts().size());
    each.f.hosts.at("h9").machine = "m9";
    LONGS_EQUAL(1, each.plan_starts().size());
}

// Too many isolated runs at a time would take down the whole pool.
TEST(isolated_runs, isolated_runs_are_bounded)
{
    struct row
    {
        int busy; ///< of 24 hosts
        std::size_t isolated;
    };
    for (const auto& it : {row{0, 12}, row{14, 6}, row{22, 2}})
    {
        host_loss_fixture each;
        for (int i = 0; i < 24; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.accept_job(make_job("a", {make_step(24, host_cpu)}));
        each.lose_used_hosts(2);
        LONGS_EQUAL(48, each.losses("a"));
        int busy = 0;
        for (auto& [id, h] : each.f.hosts)
        {
            h.orphaned_runs =
                busy++ < it.busy ? 1 : 0; // such hosts accept no task and are not idle
        }
        LONGS_EQUAL(it.isolated, each.plan_starts().size());
        LONGS_EQUAL(0, each.plan_starts().size());
    }
}

// Long-running tasks may leave no host of the pool empty: a suspect must not wait for one forever.
TEST(isolated_runs, a_suspect_without_an_empty_host_starts_beside_others)
{
    host_loss_fixture each;
    each.add_host("h1");
    each.add_host("h2");
    each.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_repeatedly(2));
    auto s = make_step(2, 1000);
    s.max_per_host = 1;
    s.long_running = true;
    each.f.jobs.at("a")->tasks[0].not_before = each.now + 1ms; // the other job starts first
    each.accept_job(make_job("b", {s}));
    LONGS_EQUAL(2, each.plan_starts().size());
    each.now += 1ms;
    LONGS_EQUAL(0, each.plan_starts().size());
    each.now += each.f.settings.isolation_max_wait;
    LONGS_EQUAL(1, each.plan_starts().size());
}

// Failure: the power of a rack fails twice. Jobs whose tasks lost their hosts must not fail for it.
TEST(isolated_runs, jobs_that_crash_no_host_do_not_fail)
{
    w.accept_job(make_job("a", {make_step(8, 1000)}));
    w.lose_used_hosts(2);
    LONGS_EQUAL(16, w.losses("a"));
    std::map<std::string, std::int64_t> ends; // by host
    for (int left = 8; left > 0;)
    {
        const auto all = w.plan_starts();
        CHECK(!all.empty());
        for (const auto& it : all)
        {
            w.answer_start(it);
            w.report_end(it, ports::run_end::done, ++ends[it.host.id]);
        }
        left -= static_cast<int>(all.size());
    }
    CHECK(w.state("a") == job_state::completed);
}

// Guards against a suspect that works and occupies a host alone for its whole run time.
TEST(isolated_runs, a_long_active_run_clears_its_task)
{
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.accept_job(make_job("a", {s}));
    LONGS_EQUAL(2, w.crash_repeatedly(2));
    const auto a = w.plan_starts().at(0);
    w.answer_start(a);
    LONGS_EQUAL(1, w.f.hosts.at(a.host.id).isolated_runs);
    w.now += w.f.settings.isolation_time;
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    handle_poll_answer(w.f, a.host.id, w.now, p, w.now, w.events);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(0, w.f.hosts.at(a.host.id).isolated_runs);
}

// Failure: a coordinator ends during an isolated run. The next coordinator reads the reservation
// before it starts the task.
TEST(isolated_runs, the_next_coordinator_counts_an_unseen_isolated_run)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_repeatedly(2));
    const auto a = w.plan_starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    host_loss_fixture next;
    next.f.term = 1;
    for (int i = 0; i < 6; ++i)
    {
        next.add_host("n" + std::to_string(i));
    }
    add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
    LONGS_EQUAL(3, next.losses("a"));
    int n = 0;
    for (int i = 0; i < 4; ++i)
    {
        n += next.crash_repeatedly(9);
        next.advance_time(next.f.settings.uncertain_loss_wait);
    }
    LONGS_EQUAL(next.f.settings.last_resort_losses - 3, n);
    CHECK(a.run > 0);
    CHECK(next.state("a") == job_state::failed);
}

// Failure: a coordinator ends during an isolated run that continues. The next coordinator must see
// it as the reserved run, not as a further loss.
TEST(isolated_runs, the_next_coordinator_adopts_an_isolated_run)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_repeatedly(2));
    const auto a = w.plan_starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    host_loss_fixture next;
    next.f.term = 1;
    next.add_host(a.host.id);
    add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    handle_poll_answer(next.f, a.host.id, next.now, p, next.now, next.events);
    next.report_end(a, ports::run_end::done, 1);
    LONGS_EQUAL(2, next.losses("a"));
    CHECK(next.state("a") == job_state::completed);
}

// Guards against the reservation of a run that is never ordered: while the task waits for a host,
// the coordinator may end, and the next one would count a start.
TEST(isolated_runs, nothing_is_reserved_while_no_host_is_there)
{
    host_loss_fixture each;
    each.add_host("h1");
    each.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_repeatedly(2));
    for (auto& [id, h] : each.f.hosts)
    {
        h.orphaned_runs = 1; // it accepts no task
    }
    LONGS_EQUAL(0, each.plan_starts().size());
    LONGS_EQUAL(2, each.losses("a"));
    for (auto& [id, h] : each.f.hosts)
    {
        h.orphaned_runs = 0;
    }
    LONGS_EQUAL(1, each.plan_starts().size());
}
