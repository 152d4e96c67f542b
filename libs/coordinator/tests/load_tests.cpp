#include "coordinator/load.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(load)
{
    fleet_fixture w;

    workflow::job two_steps(const std::string& id)
    {
        auto j = make_job(id, {make_step(2, 1000), make_step(3, 1000)});
        j.steps[1].depends_on = {0};
        return j;
    }
};

TEST(load, tasks_wait_once_their_dependencies_are_done)
{
    w.accept_job(two_steps("a"));
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall_ms).tasks_waiting);
    w.add_host("h1");
    const auto starts = w.plan_next().starts;
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall_ms).tasks_waiting);
    w.report_end(starts[0], ports::run_end::done, 1);
    w.report_end(starts[1], ports::run_end::done, 2);
    LONGS_EQUAL(3, measure_load(w.f, w.now, wall_ms).tasks_waiting);
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall_ms).jobs_dirty);
}

TEST(load, a_scheduled_task_waits_from_its_time_on)
{
    auto j = make_job("a", {make_step(2, 1000)});
    j.timing.occurrences = 2;
    j.timing.first_unix_ms = wall_ms + 1000;
    j.timing.interval_ms = 5000;
    w.accept_job(j);
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall_ms).tasks_waiting);
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall_ms + 1000).tasks_waiting);
    LONGS_EQUAL(4, measure_load(w.f, w.now, wall_ms + 6000).tasks_waiting);
}

// A job with an ordered start waits until a runner has answered that it runs.
TEST(load, a_job_awaits_its_first_start_answer)
{
    w.accept_job(make_job("a", {make_step(2, 1000)}));
    LONGS_EQUAL(0, jobs_without_start_answer(w.f));
    w.add_host("h1");
    const auto starts = w.plan_next().starts;
    LONGS_EQUAL(1, jobs_without_start_answer(w.f));
    LONGS_EQUAL(1, pending_jobs(w.f).at("q"));
    w.answer_start(starts[0], ports::runner_verdict::unknown);
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall_ms).jobs_without_start_answer);
    LONGS_EQUAL(1, pending_jobs(w.f).at("q"));
    w.answer_start(starts[1]);
    LONGS_EQUAL(0, jobs_without_start_answer(w.f));
    LONGS_EQUAL(0, pending_jobs(w.f).size());
}

TEST(load, hosts_are_unresponsive_or_near_lease_expiry)
{
    w.add_host("h1");
    w.add_host("h2");
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall_ms).hosts);
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall_ms).hosts_near_lease_expiry);
    w.now += w.f.settings.runner_lease * 3 / 4;
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall_ms).hosts_near_lease_expiry);
    h.reachable = false;
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall_ms).hosts_unresponsive);
    w.now += w.f.settings.runner_lease;
    LONGS_EQUAL(
        0, measure_load(w.f, w.now, wall_ms).hosts_near_lease_expiry); // the lease has expired
}

// Guards against jobs that wait for an earlier coordinator's runner without a line that says so.
TEST(load, held_back_jobs_and_the_host_they_wait_for_are_counted)
{
    w.f.term_start_revision = 5;
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall_ms).jobs_held_back);
    add_inherited_hosts(w.f, {{{"h2", "h2:1", {}}, {}, "p", 5000ms}}, w.now);
    const auto load = measure_load(w.f, w.now, wall_ms);
    LONGS_EQUAL(1, load.jobs_held_back);
    LONGS_EQUAL(1, load.hosts_unseen);
    CHECK(load.longest_lease_ms >= 5000);
}

// The wait of a task starts when its job is read, or when the last step it depends on ends.
TEST(load, a_wait_starts_when_the_task_could_start)
{
    w.add_host("h1");
    w.accept_job(two_steps("a"));
    w.f.jobs.at("a")->added_at = w.now;
    const auto taken = w.now;
    w.now += 70ms;
    const auto starts = w.plan_next().starts;
    CHECK(taken == task_ready_time(w.f, starts[0].task, starts[0].run, w.now, wall_ms));
    w.now += 400ms;
    const auto done = w.now;
    w.report_end(starts[0], ports::run_end::done, 1);
    w.report_end(starts[1], ports::run_end::done, 2);
    w.now += 30ms;
    const auto later = w.plan_next().starts;
    CHECK(done == task_ready_time(w.f, later[0].task, later[0].run, w.now, wall_ms));
    CHECK(!task_ready_time(
        w.f, later[0].task, later[0].run + 1, w.now, wall_ms)); // not its first run
}

TEST(load, the_wait_of_a_scheduled_task_starts_when_it_is_due)
{
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing.occurrences = 1;
    j.timing.first_unix_ms = wall_ms + 1000;
    w.accept_job(j);
    w.f.jobs.at("a")->added_at = w.now;
    w.now += 1040ms;
    const auto ready = task_ready_time(w.f, {"a", 0, 0, 0}, 1, w.now, wall_ms + 1040);
    CHECK(w.now - 40ms == ready);
}

// The log of an expired host with runs must show since when the host was unresponsive, and since
// when it was not polled.
TEST(load, an_expiry_reports_the_latest_answer_and_poll)
{
    w.add_host("h1");
    w.accept_job(make_job("a", {make_step(1, 1000)}));
    w.answer_start(w.plan_next().starts[0]);
    auto& h = w.f.hosts["h1"];
    record_lease(h, lease_end_for(w.f, h, w.now));
    const auto answered = w.now;
    h.polled_at = w.now + 200ms;
    h.reachable = false;
    w.now += w.f.settings.runner_lease * 2;
    const auto expired = expire_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, expired.size());
    STRCMP_EQUAL("h1", expired[0].host.c_str());
    LONGS_EQUAL(1, expired[0].runs);
    CHECK(answered == expired[0].last_answer_at);
    CHECK(answered + 200ms == expired[0].polled_at);
    LONGS_EQUAL(0, expire_hosts(w.f, w.now, w.events).size()); // reported once
}
