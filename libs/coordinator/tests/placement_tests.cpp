#include "world.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(placement)
{
    world w;
};

// Were short tasks spread, each host would run a few of them when another pool turns busy, and none
// could move there before they end.
TEST(placement, short_tasks_leave_hosts_empty_and_lasting_ones_are_spread)
{
    w.add_host("h1");
    w.add_host("h2");
    w.add(make_job("a", {make_step(3, 1000)}));
    w.next();
    LONGS_EQUAL(0, std::min(w.f.hosts["h1"].used.cpu, w.f.hosts["h2"].used.cpu));
    auto lasting = make_step(2, 500);
    lasting.long_running = true;
    w.add(make_job("b", {lasting, lasting}));
    w.next();
    LONGS_EQUAL(2000, std::min(w.f.hosts["h1"].used.cpu, w.f.hosts["h2"].used.cpu));
}

TEST(placement, tasks_start_within_room_and_use_all_hosts)
{
    w.add_host("h1");
    w.add_host("h2");
    w.add(make_job("a", {make_step(10, 1000)}));
    const auto p = w.next();
    LONGS_EQUAL(8, p.starts.size());
    LONGS_EQUAL(host_cpu, w.f.hosts["h1"].used.cpu);
    LONGS_EQUAL(host_cpu, w.f.hosts["h2"].used.cpu);
}

TEST(placement, what_forbids_a_host)
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
        world each;
        each.add_host("h1");
        auto s = make_step(1, 1000);
        it.change(each.f.hosts["h1"], s);
        each.add(make_job("a", {s}));
        LONGS_EQUAL_TEXT(it.starts ? 1 : 0, each.next().starts.size(), it.name);
    }
}

TEST(placement, a_step_is_bounded_on_each_host)
{
    w.add_host("h1");
    auto s = make_step(4, 100);
    s.max_per_host = 2;
    w.add(make_job("a", {s}));
    LONGS_EQUAL(2, w.next().starts.size());
}

TEST(placement, steps_wait_for_those_before)
{
    w.add_host("h1");
    auto second = make_step(1, 1000);
    second.depends_on = {0};
    w.add(make_job("a", {make_step(1, 1000), second}));
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    w.started(p.starts[0]);
    w.ended(p.starts[0], ports::run_end::done, 1);
    const auto q = w.next();
    LONGS_EQUAL(1, q.starts.size());
    LONGS_EQUAL(1, q.starts[0].task.step);
    w.started(q.starts[0]);
    w.ended(q.starts[0], ports::run_end::done, 2);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}

TEST(placement, a_gang_starts_whole_with_one_number_or_not_at_all)
{
    w.add_host("h1");
    auto s = make_step(6, 1000);
    s.gang = true;
    w.add(make_job("a", {s}));
    LONGS_EQUAL(0, w.next().starts.size());
    w.add_host("h2");
    const auto p = w.next();
    LONGS_EQUAL(6, p.starts.size());
    for (const auto& it : p.starts)
    {
        LONGS_EQUAL(p.starts[0].run, it.run);
    }
    w.started(p.starts[0]);
    w.ended(p.starts[0], ports::run_end::done, 1);
    CHECK(w.f.jobs.at("a")->state == workflow::job_state::completed);
}

TEST(placement, urgent_jobs_first_and_lost_ones_last)
{
    w.add_host("h1");
    auto urgent = make_job("urgent", {make_step(1, host_cpu)});
    auto normal = make_job("normal", {make_step(1, host_cpu)});
    normal.priority = 1;
    normal.accepted_unix_ms = wall - 100;
    auto lost = make_job("lost", {make_step(1, host_cpu)});
    lost.accepted_unix_ms = wall - 60000;
    w.add(normal);
    w.add(lost);
    w.add(urgent);
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("urgent", p.starts[0].task.job.c_str());
}

TEST(placement, jobs_that_can_be_in_time_go_before_late_ones)
{
    w.add_host("h1");
    auto late = make_job("late", {make_step(1, host_cpu)});
    late.accepted_unix_ms = wall - 900;
    late.slack = 600ms;
    auto timely = make_job("timely", {make_step(1, host_cpu)});
    timely.slack = 600ms;
    w.add(late);
    w.add(timely);
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("timely", p.starts[0].task.job.c_str());
}

TEST(placement, the_rest_of_a_job_is_what_waits_for_the_step)
{
    learnt l;
    auto b = make_step(1, 1);
    b.depends_on = {0};
    auto c = make_step(1, 1);
    auto d = make_step(1, 1);
    d.depends_on = {1, 2};
    const std::vector<workflow::step> steps{make_step(1, 1), b, c, d};
    LONGS_EQUAL(3000, time_to_end(l, steps, 0).count());
    LONGS_EQUAL(2000, time_to_end(l, steps, 1).count());
    LONGS_EQUAL(2000, time_to_end(l, steps, 2).count());
    LONGS_EQUAL(1000, time_to_end(l, steps, 3).count());
}

TEST(placement, an_occurrence_waits_for_its_time)
{
    w.add_host("h1");
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing = {2, wall + 500, 1000};
    w.add(j);
    LONGS_EQUAL(0, w.next(wall).starts.size());
    LONGS_EQUAL(1, w.next(wall + 500).starts.size());
    LONGS_EQUAL(1, w.next(wall + 1500).starts.size());
}

TEST(placement, attempts_end_a_job_and_long_running_tasks_go_on)
{
    for (const bool lasts : {false, true})
    {
        world each;
        each.add_host("h1");
        auto s = make_step(1, 1000);
        s.long_running = lasts;
        each.add(make_job("a", {s}));
        for (int i = 1; i <= 2; ++i)
        {
            const auto p = each.next();
            LONGS_EQUAL(1, p.starts.size());
            each.started(p.starts[0]);
            each.ended(p.starts[0], ports::run_end::failed, i);
        }
        LONGS_EQUAL(lasts ? 1 : 0, each.next().starts.size());
        CHECK((each.f.jobs.at("a")->state == workflow::job_state::failed) != lasts);
    }
}

// Only the platform's advice knows who may run the step. Nothing starts without a ticket, nobody is
// asked about twice, and a ticket that has ended is asked for again.
TEST(placement, a_step_under_advice_starts_with_tickets)
{
    w.add_host("h1");
    w.add_host("h2");
    auto j = make_job("a", {make_step(3, 1000)});
    j.needs_advice = true;
    w.add(j);
    auto p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.asks.size());
    LONGS_EQUAL(2, p.asks[0].runners.size());
    STRCMP_EQUAL("a.0.0", write_step_name(p.asks[0].step).c_str());
    LONGS_EQUAL(0, w.next().asks.size()); // it is out
    advice_answered(w.f, p.asks[0], {true, {{"h2", "t2"}}, 3000ms}, w.now, w.events);
    p = w.next();
    LONGS_EQUAL(0, p.asks.size());
    LONGS_EQUAL(3, p.starts.size());
    STRCMP_EQUAL("h2", p.starts[0].host.id.c_str());
    STRCMP_EQUAL("t2", p.starts[0].ticket.c_str());
    w.started(p.starts[0], ports::runner_verdict::bad_ticket);
    w.now += 3000ms;
    w.f.hosts["h2"].last_answer_at = w.now;
    p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.asks.size());
    STRCMP_EQUAL("h2", p.asks[0].runners[0].c_str());
}

// A start lies unanswered: at a relay, in the window of orders, or at a runner that is dark.
// Counted as begun, its job would wait unseen: callers would hear of fewer jobs than wait.
TEST(placement, an_ordered_start_without_an_answer_leaves_its_job_waiting)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    LONGS_EQUAL(1, pending_jobs(w.f)["q"]);
    w.started(p.starts[0], ports::runner_verdict::unknown);
    LONGS_EQUAL(1, pending_jobs(w.f)["q"]);
    w.started(p.starts[0]);
    LONGS_EQUAL(0, pending_jobs(w.f)["q"]);
}

// The answer to a start is lost, and the run fails before a look at its runner shows it. Its end
// proves that the job has begun: it waits for another run, not for its first.
TEST(placement, a_reported_end_shows_that_a_job_has_begun)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto p = w.next();
    w.started(p.starts[0], ports::runner_verdict::unknown);
    w.ended(p.starts[0], ports::run_end::failed, 1);
    LONGS_EQUAL(0, pending_jobs(w.f)["q"]);
}

// The service's answer has lain unread here, so the ticket is older than it looks, and the runner
// refuses the start. Believed until its reckoned end, it would be sent again and again, each time
// in vain: the runner knows better, and the service is asked anew.
TEST(placement, a_ticket_that_a_runner_refused_is_not_used_again)
{
    w.add_host("h1");
    auto j = make_job("a", {make_step(1, 1000)});
    j.needs_advice = true;
    w.add(j);
    auto p = w.next();
    advice_answered(w.f, p.asks[0], {true, {{"h1", "t1"}}, 60s}, w.now, w.events);
    p = w.next();
    STRCMP_EQUAL("t1", p.starts[0].ticket.c_str());
    w.started(p.starts[0], ports::runner_verdict::bad_ticket);
    w.now += 200ms;
    w.f.hosts["h1"].last_answer_at = w.now;
    p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.asks.size());
    STRCMP_EQUAL("h1", p.asks[0].runners[0].c_str());
    advice_answered(w.f, p.asks[0], {true, {{"h1", "t2"}}, 60s}, w.now, w.events);
    STRCMP_EQUAL("t2", w.next().starts[0].ticket.c_str());
}
