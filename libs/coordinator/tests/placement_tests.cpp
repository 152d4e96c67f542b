#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(placement)
{
    fleet_fixture w;
};

// If short tasks were spread, each host would run a few of them when another pool becomes busy, and
// no host could move there before they end.
TEST(placement, short_tasks_leave_hosts_empty_and_long_running_ones_are_spread)
{
    w.add_host("h1");
    w.add_host("h2");
    w.accept_job(make_job("a", {make_step(3, 1000)}));
    w.plan_next();
    LONGS_EQUAL(0, std::min(w.f.hosts["h1"].used.cpu, w.f.hosts["h2"].used.cpu));
    auto long_running_step = make_step(2, 500);
    long_running_step.long_running = true;
    w.accept_job(make_job("b", {long_running_step, long_running_step}));
    w.plan_next();
    LONGS_EQUAL(2000, std::min(w.f.hosts["h1"].used.cpu, w.f.hosts["h2"].used.cpu));
}

TEST(placement, tasks_start_within_capacity_and_use_all_hosts)
{
    w.add_host("h1");
    w.add_host("h2");
    w.accept_job(make_job("a", {make_step(10, 1000)}));
    const auto p = w.plan_next();
    LONGS_EQUAL(8, p.starts.size());
    LONGS_EQUAL(host_cpu, w.f.hosts["h1"].used.cpu);
    LONGS_EQUAL(host_cpu, w.f.hosts["h2"].used.cpu);
}

TEST(placement, conditions_that_exclude_a_host)
{
    struct row
    {
        const char* name;
        void (*change)(host_entry&, workflow::step&);
        bool starts;
    };
    const row rows[] = {
        {"nothing", [](host_entry&, workflow::step&) {}, true},
        {"draining", [](host_entry& h, workflow::step&) { h.draining = true; }, false},
        {"not listed", [](host_entry& h, workflow::step&) { h.listed = false; }, false},
        {"not recorded", [](host_entry& h, workflow::step&) { h.recorded = false; }, false},
        {"silent", [](host_entry& h, workflow::step&) { h.reachable = false; }, false},
        {"not looked at", [](host_entry& h, workflow::step&) { h.inherited = true; }, false},
        {"closed",
            [](host_entry& h, workflow::step&)
            { h.availability = host_availability::closed_for_move; },
            false},
        {"other pool", [](host_entry& h, workflow::step&) { h.pool = "x"; }, false},
        {"label", [](host_entry&, workflow::step& s) { s.required_label = "b"; }, false},
        {"its label", [](host_entry&, workflow::step& s) { s.required_label = "a"; }, true},
        {"too large", [](host_entry&, workflow::step& s) { s.need.cpu = host_cpu + 1; }, false},
        {"too much memory",
            [](host_entry&, workflow::step& s) { s.need.memory_mb = 1 << 20; },
            false},
        {"no gpu", [](host_entry&, workflow::step& s) { s.need.gpus = 1; }, false},
        {"fills",
            [](host_entry&, workflow::step& s)
            {
                s.need.cpu = 9999;
                s.best_effort = true;
            },
            true},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        each.add_host("h1");
        auto s = make_step(1, 1000);
        it.change(each.f.hosts["h1"], s);
        each.accept_job(make_job("a", {s}));
        LONGS_EQUAL_TEXT(it.starts ? 1 : 0, each.plan_next().starts.size(), it.name);
    }
}

// What no host can take is not tried again for equal or larger needs in the same plan. Steps that
// lack something else than free capacity must not keep others from starting.
TEST(placement, a_step_that_no_host_can_take_does_not_keep_others_from_starting)
{
    struct row
    {
        const char* name;
        void (*change)(workflow::step&); ///< of the step that is served first
        std::int64_t next_cpu;
        bool next_starts;
    };
    const row rows[] = {
        {"a smaller need", [](workflow::step& s) { s.need.cpu = host_cpu + 1; }, 1000, true},
        {"an equal need", [](workflow::step& s) { s.need.cpu = host_cpu + 1; }, 5000, false},
        {"more memory", [](workflow::step& s) { s.need.memory_mb = 1 << 20; }, host_cpu, true},
        {"an accelerator", [](workflow::step& s) { s.need.gpus = 1; }, host_cpu, true},
        {"another label", [](workflow::step& s) { s.required_label = "b"; }, host_cpu, true},
        {"its bound on a host",
            [](workflow::step& s)
            {
                s.tasks = 2;
                s.max_per_host = 1;
            },
            3000,
            true},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        each.add_host("h1");
        auto first = make_step(1, 1000);
        it.change(first);
        each.accept_job(make_job("first", {first}));
        auto next = make_job("next", {make_step(1, it.next_cpu)});
        next.priority = 1;
        each.accept_job(next);
        const auto p = each.plan_next();
        const bool starts = std::any_of(p.starts.begin(),
            p.starts.end(),
            [](const start_action& a) { return a.task.job == "next"; });
        CHECK_TEXT(starts == it.next_starts, it.name);
    }
}

TEST(placement, a_step_is_bounded_on_each_host)
{
    w.add_host("h1");
    auto s = make_step(4, 100);
    s.max_per_host = 2;
    w.accept_job(make_job("a", {s}));
    LONGS_EQUAL(2, w.plan_next().starts.size());
}

TEST(placement, steps_wait_for_their_dependencies)
{
    w.add_host("h1");
    auto second = make_step(1, 1000);
    second.depends_on = {0};
    w.accept_job(make_job("a", {make_step(1, 1000), second}));
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    w.answer_start(p.starts[0]);
    w.report_end(p.starts[0], ports::run_end::done, 1);
    const auto q = w.plan_next();
    LONGS_EQUAL(1, q.starts.size());
    LONGS_EQUAL(1, q.starts[0].task.step);
    w.answer_start(q.starts[0]);
    w.report_end(q.starts[0], ports::run_end::done, 2);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}

TEST(placement, a_gang_starts_whole_with_one_number_or_not_at_all)
{
    w.add_host("h1");
    auto s = make_step(6, 1000);
    s.gang = true;
    w.accept_job(make_job("a", {s}));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.add_host("h2");
    const auto p = w.plan_next();
    LONGS_EQUAL(6, p.starts.size());
    for (const auto& it : p.starts)
    {
        LONGS_EQUAL(p.starts[0].run, it.run);
    }
    w.answer_start(p.starts[0]);
    w.report_end(p.starts[0], ports::run_end::done, 1);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}

TEST(placement, urgent_jobs_first_and_worthless_ones_last)
{
    w.add_host("h1");
    auto urgent = make_job("urgent", {make_step(1, host_cpu)});
    auto normal = make_job("normal", {make_step(1, host_cpu)});
    normal.priority = 1;
    normal.accepted_unix_ms = wall_ms - 100;
    auto lost = make_job("lost", {make_step(1, host_cpu)});
    lost.accepted_unix_ms = wall_ms - 60000;
    w.accept_job(normal);
    w.accept_job(lost);
    w.accept_job(urgent);
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("urgent", p.starts[0].task.job.c_str());
}

TEST(placement, jobs_that_can_be_in_time_go_before_late_ones)
{
    w.add_host("h1");
    auto late = make_job("late", {make_step(1, host_cpu)});
    late.accepted_unix_ms = wall_ms - 900;
    late.slack = 600ms;
    auto timely = make_job("timely", {make_step(1, host_cpu)});
    timely.slack = 600ms;
    w.accept_job(late);
    w.accept_job(timely);
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("timely", p.starts[0].task.job.c_str());
}

TEST(placement, remaining_time_covers_the_steps_that_depend_on_a_step)
{
    run_time_estimates l;
    auto b = make_step(1, 1);
    b.depends_on = {0};
    auto c = make_step(1, 1);
    auto d = make_step(1, 1);
    d.depends_on = {1, 2};
    const std::vector<workflow::step> steps{make_step(1, 1), b, c, d};
    LONGS_EQUAL(3000, expected_remaining_time(l, steps, 0).count());
    LONGS_EQUAL(2000, expected_remaining_time(l, steps, 1).count());
    LONGS_EQUAL(2000, expected_remaining_time(l, steps, 2).count());
    LONGS_EQUAL(1000, expected_remaining_time(l, steps, 3).count());
}

TEST(placement, an_occurrence_waits_for_its_time)
{
    w.add_host("h1");
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing = {2, wall_ms + 500, 1000};
    w.accept_job(j);
    LONGS_EQUAL(0, w.plan_next(wall_ms).starts.size());
    LONGS_EQUAL(1, w.plan_next(wall_ms + 500).starts.size());
    LONGS_EQUAL(1, w.plan_next(wall_ms + 1500).starts.size());
}

TEST(placement, failed_attempts_end_a_job_but_not_long_running_tasks)
{
    for (const bool lasts : {false, true})
    {
        fleet_fixture each;
        each.add_host("h1");
        auto s = make_step(1, 1000);
        s.long_running = lasts;
        each.accept_job(make_job("a", {s}));
        for (int i = 1; i <= 2; ++i)
        {
            const auto p = each.plan_next();
            LONGS_EQUAL(1, p.starts.size());
            each.answer_start(p.starts[0]);
            each.report_end(p.starts[0], ports::run_end::failed, i);
        }
        LONGS_EQUAL(lasts ? 1 : 0, each.plan_next().starts.size());
        CHECK((each.f.jobs.at("a")->state == workflow::job_state::failed) != lasts);
    }
}

// Only the advice service knows which hosts may run the step. No task starts without a ticket, no
// host is requested twice, and an expired ticket is requested again.
TEST(placement, a_step_under_advice_starts_with_tickets)
{
    w.add_host("h1");
    w.add_host("h2");
    auto j = make_job("a", {make_step(3, 1000)});
    j.needs_advice = true;
    w.accept_job(j);
    auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.advice_requests.size());
    LONGS_EQUAL(2, p.advice_requests[0].runners.size());
    STRCMP_EQUAL("a.0.0", write_step_name(p.advice_requests[0].step).c_str());
    LONGS_EQUAL(0, w.plan_next().advice_requests.size()); // the request is in flight
    handle_advice_answer(
        w.f, p.advice_requests[0], {true, {{"h2", "t2"}}, 3000ms}, w.now, w.events);
    p = w.plan_next();
    LONGS_EQUAL(0, p.advice_requests.size());
    LONGS_EQUAL(3, p.starts.size());
    STRCMP_EQUAL("h2", p.starts[0].host.id.c_str());
    STRCMP_EQUAL("t2", p.starts[0].ticket.c_str());
    w.answer_start(p.starts[0], ports::runner_verdict::bad_ticket);
    w.now += 3000ms;
    w.f.hosts["h2"].last_answer_at = w.now;
    p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.advice_requests.size());
    STRCMP_EQUAL("h2", p.advice_requests[0].runners[0].c_str());
}

// A start has no answer: it is delayed at a relay, in the order window, or at an unreachable
// runner. If it counted as started, callers would be told of fewer waiting jobs than there are.
TEST(placement, an_ordered_start_without_an_answer_leaves_its_job_waiting)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    LONGS_EQUAL(1, pending_jobs(w.f)["q"]);
    w.answer_start(p.starts[0], ports::runner_verdict::unknown);
    LONGS_EQUAL(1, pending_jobs(w.f)["q"]);
    w.answer_start(p.starts[0]);
    LONGS_EQUAL(0, pending_jobs(w.f)["q"]);
}

// Failure: the answer to a start is lost, and the run fails before a poll shows it. The end proves
// that the job has started: it waits for another run, not for its first.
TEST(placement, a_reported_end_shows_that_a_job_has_started)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    const auto p = w.plan_next();
    w.answer_start(p.starts[0], ports::runner_verdict::unknown);
    w.report_end(p.starts[0], ports::run_end::failed, 1);
    LONGS_EQUAL(0, pending_jobs(w.f)["q"]);
}

// Failure: the answer of the advice service was unread for a while, so the ticket is older than
// computed, and the runner refuses the start. If the ticket were used until its computed end, each
// start with it would be refused. A new ticket must be requested instead.
TEST(placement, a_ticket_that_a_runner_refused_is_not_used_again)
{
    w.add_host("h1");
    auto j = make_job("a", {make_step(1, 1000)});
    j.needs_advice = true;
    w.accept_job(j);
    auto p = w.plan_next();
    handle_advice_answer(w.f, p.advice_requests[0], {true, {{"h1", "t1"}}, 60s}, w.now, w.events);
    p = w.plan_next();
    STRCMP_EQUAL("t1", p.starts[0].ticket.c_str());
    w.answer_start(p.starts[0], ports::runner_verdict::bad_ticket);
    w.now += 200ms;
    w.f.hosts["h1"].last_answer_at = w.now;
    p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.advice_requests.size());
    STRCMP_EQUAL("h1", p.advice_requests[0].runners[0].c_str());
    handle_advice_answer(w.f, p.advice_requests[0], {true, {{"h1", "t2"}}, 60s}, w.now, w.events);
    STRCMP_EQUAL("t2", w.plan_next().starts[0].ticket.c_str());
}
