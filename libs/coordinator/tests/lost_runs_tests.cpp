#include "coordinator/explain.hpp"
#include "host_loss_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using workflow::job_state;

TEST_GROUP(lost_runs)
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

// Crashes of tasks of every kind are counted, and their job fails when the starts are used up.
TEST(lost_runs, a_task_that_crashes_its_hosts_fails_its_job)
{
    auto plain = make_step(1, 1000);
    auto long_running_step = plain;
    long_running_step.long_running = true;
    auto best_effort_step = long_running_step;
    best_effort_step.best_effort = true;
    auto gang = make_step(2, 1000);
    gang.gang = true;
    for (const auto& it : {plain, long_running_step, best_effort_step, gang})
    {
        host_loss_fixture each;
        for (int i = 0; i < 6; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.accept_job(make_job("a", {it}));
        LONGS_EQUAL(5, each.crash_repeatedly(9));
        CHECK(each.state("a") == job_state::failed);
        LONGS_EQUAL(1, each.event_count("job_failed"));
    }
}

// Each occurrence of a scheduled job has tasks of its own: crashes of one occurrence don't count
// for the next.
TEST(lost_runs, occurrences_are_counted_separately)
{
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing = {3, wall_ms - 5000, 1000};
    w.accept_job(j);
    w.lose_used_hosts(2);
    CHECK(w.state("a") != job_state::failed);
    LONGS_EQUAL(6, w.losses("a"));
}

// Hosts that are moved, maintained, drained or emptied are not crashed by their tasks.
TEST(lost_runs, planned_ends_do_not_count)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    for (const auto proof : {termination_evidence::moved, termination_evidence::no_life})
    {
        const auto a = w.plan_starts().at(0);
        w.answer_start(a);
        w.lose_host(a.host.id, proof);
    }
    const auto drained = w.plan_starts().at(0);
    w.answer_start(drained);
    w.f.hosts.at(drained.host.id).draining = true;
    w.lose_host(drained.host.id);
    const auto closed = w.plan_starts().at(0);
    w.answer_start(closed);
    w.f.hosts.at(closed.host.id).availability = host_availability::closed_for_maintenance;
    w.lose_host(closed.host.id);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(1, w.plan_starts().size());
}

// A runner that is cut off and answers again was not crashed by its task.
TEST(lost_runs, a_loss_is_withdrawn_when_the_runner_answers_again)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_starts().at(0);
    w.answer_start(a);
    w.expire_host(a.host.id);
    LONGS_EQUAL(1, w.losses("a"));
    w.answer_poll(a.host.id);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(1, w.event_count("loss_withdrawn"));
}

// The machine list shows another runner on the machine of an unresponsive runner, after that runner
// has expired, or after it was also removed from the fleet.
TEST(lost_runs, a_loss_becomes_certain_by_the_next_runner)
{
    for (const bool forgotten : {false, true})
    {
        host_loss_fixture each;
        each.add_host("h1");
        each.accept_job(make_job("a", {make_step(1, 1000)}));
        const auto a = each.plan_starts().at(0);
        each.answer_start(a);
        each.f.hosts.at("h1").listed = !forgotten;
        each.expire_host("h1");
        LONGS_EQUAL(forgotten ? 0 : 1, each.f.hosts.size());
        const auto& lost = each.f.jobs.at("a")->tasks[0].progress.lost_runs;
        CHECK_FALSE(lost.at(0).certain);
        each.list_next_incarnation("h1");
        CHECK(lost.at(0).certain);
        CHECK(each.f.uncertain_losses.empty());
    }
}

// Guards against an upkeep or a move that the next coordinator takes for the crash of a runner that
// was only unresponsive before.
TEST(lost_runs, an_ordered_end_is_no_evidence_for_the_next_coordinator)
{
    for (const auto proof : {termination_evidence::no_life, termination_evidence::moved})
    {
        host_loss_fixture each;
        each.add_host("h1");
        each.accept_job(make_job("a", {make_step(1, 1000)}));
        const auto a = each.plan_starts().at(0);
        each.answer_start(a);
        each.expire_host("h1");
        each.lose_host("h1", proof);
        host_loss_fixture next;
        next.f.term = 1;
        const auto stored = progress_of(*each.f.jobs.at("a"));
        add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
        next.list_next_incarnation("h1");
        CHECK_FALSE(next.f.jobs.at("a")->tasks[0].progress.lost_runs.at(0).certain);
    }
}

// Guards against a crash that is not counted because the unresponsive host was chosen for a move
// before its leases expired.
TEST(lost_runs, a_host_that_is_closed_after_its_last_answer_counts)
{
    for (const bool closed_before : {true, false})
    {
        host_loss_fixture each;
        each.add_host("h1");
        each.accept_job(make_job("a", {make_step(1, 1000)}));
        const auto a = each.plan_starts().at(0);
        each.answer_start(a);
        auto& h = each.f.hosts.at("h1");
        h.availability = host_availability::closed_for_move;
        h.closed_at = h.last_answer_at + (closed_before ? -1ms : 1ms);
        each.expire_host("h1");
        LONGS_EQUAL(closed_before ? 0 : 1, each.losses("a"));
    }
}

// Guards against a crash that stays uncertain forever because the host was lost before any machine
// list named its machine: a later list that names the machine still identifies the runner.
TEST(lost_runs, a_host_lost_before_it_was_listed_is_identified_by_a_later_list)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_starts().at(0);
    w.answer_start(a);
    w.f.hosts.at(a.host.id).listed = false; // it is removed from the fleet
    w.expire_host(a.host.id);
    w.f.uncertain_losses.at(a.host.id).machine.clear();
    machine_table list;
    list.known = true;
    list.machines["m"] = {"m", "p", "z", a.host.id, ports::machine_state::up};
    list.requested_at = w.now;
    apply_machine_list(w.f, list, {}, w.now, w.events);
    list.machines["m"].runner = "another";
    list.requested_at = w.now + 10ms;
    apply_machine_list(w.f, list, {}, w.now, w.events);
    CHECK(w.f.jobs.at("a")->tasks[0].progress.lost_runs.at(0).certain);
}

// A start without an answer may never have reached the runner that ended. Guards against failing
// its job, against an unbounded number of starts, and against withholding the task forever.
TEST(lost_runs, an_unconfirmed_start_is_never_certain)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    std::vector<core::mono_time> started;
    const auto end = w.now + 120s;
    while (w.now < end)
    {
        const auto all = w.plan_starts();
        if (!all.empty())
        {
            started.push_back(w.now);
            w.lose_host(all[0].host.id);
        }
        w.advance_time(1s);
    }
    CHECK(started.size() > 5);
    for (std::size_t i = 5; i < started.size(); ++i)
    {
        CHECK(started[i] - started[i - 1] >= w.f.settings.last_resort_wait);
    }
    CHECK(w.state("a") != job_state::failed);
}

// After three lost runs, none of them certain, the next start waits for evidence, but not forever.
TEST(lost_runs, an_uncertain_loss_delays_the_next_start)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    for (int i = 0; i < 3; ++i)
    {
        const auto a = w.plan_starts().at(0);
        w.answer_start(a);
        w.expire_host(a.host.id);
    }
    LONGS_EQUAL(0, w.plan_starts().size());
    LONGS_EQUAL(1, w.event_count("start_withheld"));
    const auto lines = explain_job(w.f, "a", w.now, wall_ms);
    CHECK(lines.at(0).find("held back") != std::string::npos);
    w.advance_time(w.f.settings.uncertain_loss_wait);
    LONGS_EQUAL(1, w.plan_starts().size());
}

// Failure: the store is unavailable. The next coordinator would not know of the loss if the task
// started now.
TEST(lost_runs, no_start_before_the_loss_is_stored)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto a = w.plan_starts().at(0);
    w.answer_start(a);
    w.stores = false;
    w.lose_host(a.host.id);
    w.accept_job(make_job("b", {make_step(1, 1000)}));
    const auto other = w.plan_starts();
    LONGS_EQUAL(1, other.size());
    STRCMP_EQUAL("b", other[0].task.job.c_str());
    w.stores = true;
    w.store_losses();
    LONGS_EQUAL(1, w.plan_starts().size());
}

// Failure: a coordinator ends before it has stored a crash, and the next one finds the host gone.
TEST(lost_runs, an_unstored_crash_counts_with_the_next_one)
{
    for (const bool gone : {false, true})
    {
        host_loss_fixture each;
        for (int i = 0; i < 6; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.f.term = 1;
        each.f.term_start_revision = 5;
        each.accept_job(make_job("a", {make_step(1, 1000)}));
        if (gone)
        {
            add_inherited_hosts(each.f, {{{"p1", "p1:1", {}}, "m1", "p", 2500ms}}, each.now);
            end_host(each.f, "p1", termination_evidence::other_life, each.now, each.events);
        }
        LONGS_EQUAL(1, each.crash_repeatedly(1));
        LONGS_EQUAL(gone ? 2 : 1, each.losses("a"));
        int further = 0;
        for (int i = 0; i < 9; ++i)
        {
            further += each.crash_repeatedly(9);
            each.advance_time(each.f.settings.uncertain_loss_wait);
        }
        LONGS_EQUAL(gone ? 2 : 3, further);
        CHECK(each.state("a") == job_state::failed);
    }
}

// Guards against a job shown as failed because its runners crash again and again while its tasks
// work: such a task is started again within seconds each time.
TEST(lost_runs, runs_that_survived_their_start_fail_no_job)
{
    auto plain = make_step(1, 1000);
    auto long_running_step = plain;
    long_running_step.long_running = true;
    auto gang = make_step(2, 1000);
    gang.gang = true;
    for (const auto& it : {plain, long_running_step, gang})
    {
        host_loss_fixture each;
        for (int i = 0; i < 6; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.accept_job(make_job("a", {it}));
        for (int i = 0; i < 20; ++i)
        {
            each.lose_after_start(i % it.tasks);
            CHECK(each.state("a") == job_state::running);
            const bool waits = i + 1 >= each.f.settings.last_resort_losses;
            each.advance_time(waits ? each.f.settings.uncertain_loss_wait : 0ms);
        }
        LONGS_EQUAL(0, each.event_count("job_failed"));
    }
}

// Guards against a job shown as failed by evidence that arrives while a newer run of the task
// works.
TEST(lost_runs, evidence_of_earlier_losses_fails_no_job_while_a_newer_run_works)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    std::vector<std::string> lost;
    start_action newest;
    for (int i = 0; i < 6; ++i)
    {
        w.advance_time(w.f.settings.last_resort_wait);
        newest = w.plan_starts().at(0);
        w.answer_start(newest);
        if (i < 5)
        {
            lost.push_back(newest.host.id);
            w.expire_host(newest.host.id);
        }
    }
    for (const auto& it : lost)
    {
        w.list_next_incarnation(it);
        w.plan_starts();
        CHECK(w.state("a") == job_state::running);
    }
    w.advance_time(w.f.settings.isolation_time);
    w.report_active(newest);
    LONGS_EQUAL(0, w.losses("a"));
}

// Guards against a gang that is never started again, nor fails, after its runs lost runners of
// different members.
TEST(lost_runs, a_gang_starts_again_after_losses_of_different_members)
{
    auto gang = make_step(5, 1000);
    gang.gang = true;
    gang.max_per_host = 1;
    w.accept_job(make_job("a", {gang}));
    for (int i = 0; i < 10; ++i)
    {
        w.lose_after_start(i % gang.tasks);
        w.advance_time(w.f.settings.uncertain_loss_wait + w.f.settings.isolation_max_wait);
    }
    LONGS_EQUAL(gang.tasks, w.plan_starts().size());
    CHECK(w.state("a") == job_state::running);
}

// Guards against starting a task for ever that begins to crash its runners after a run of it
// worked.
TEST(lost_runs, a_run_that_worked_does_not_excuse_later_crashes)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    w.lose_after_start(0);
    int starts = 0;
    for (int i = 0; i < 30; ++i)
    {
        starts += w.crash_repeatedly(1);
        w.advance_time(w.f.settings.last_resort_wait);
    }
    LONGS_EQUAL(w.f.settings.last_resort_losses, starts);
    CHECK(w.state("a") == job_state::failed);
}

// Guards against counting a run as lost at its start although its runner answered long after it.
TEST(lost_runs, a_runner_that_answers_after_the_start_was_not_lost_by_it)
{
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.accept_job(make_job("a", {s}));
    for (int i = 0; i < 5; ++i)
    {
        const auto all = w.plan_starts();
        LONGS_EQUAL(1, all.size());
        w.answer_start(all[0]);
        w.advance_time(1s);
        const ports::runner_answer answer{ports::runner_verdict::done, w.clock_ms()};
        handle_renewal_answer(w.f, all[0].host.id, answer, w.now, w.events);
        w.lose_host(all[0].host.id);
    }
    w.plan_starts();
    CHECK(w.state("a") == job_state::running);
}

// Guards against starting a task for ever that crashes its runners, because its orders are slow.
TEST(lost_runs, a_slow_order_is_no_survived_start)
{
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    int starts = 0;
    for (int i = 0; i < 30; ++i)
    {
        for (const auto& it : w.plan_starts())
        {
            ++starts;
            w.advance_time(300ms);
            w.answer_start(it);
            w.report_active(it);
            w.lose_host(it.host.id);
        }
        w.advance_time(w.f.settings.last_resort_wait);
    }
    LONGS_EQUAL(w.f.settings.last_resort_losses, starts);
}

// Guards against a job that fails after four losses because the reservation of a fifth run, which
// works or was never ordered, counts more than once.
TEST(lost_runs, a_reservation_counts_once)
{
    workflow::job_progress p;
    p.state = job_state::running;
    p.tasks.resize(1);
    p.tasks[0].lost_runs = {{1, "x1", "", true, true, false},
        {2, "x2", "", true, true, false},
        {3, "x3", "", true, true, true},
        {4}};
    w.f.term = 1;
    w.f.term_start_revision = 5;
    add_job(w.f, make_job("a", {make_step(1, 1000)}), 1, p, 2);
    w.plan_starts();
    CHECK(w.state("a") == job_state::running);
}
