#include "coordinator/load.hpp"
#include "world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(load)
{
    world w;

    workflow::job two_steps(const std::string& id)
    {
        auto j = make_job(id, {make_step(2, 1000), make_step(3, 1000)});
        j.steps[1].depends_on = {0};
        return j;
    }
};

TEST(load, tasks_wait_once_the_steps_before_are_done)
{
    w.add(two_steps("a"));
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall).tasks_waiting);
    w.add_host("h1");
    const auto starts = w.next().starts;
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall).tasks_waiting);
    w.ended(starts[0], ports::run_end::done, 1);
    w.ended(starts[1], ports::run_end::done, 2);
    LONGS_EQUAL(3, measure_load(w.f, w.now, wall).tasks_waiting);
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall).jobs_dirty);
}

TEST(load, a_scheduled_task_waits_from_its_time_on)
{
    auto j = make_job("a", {make_step(2, 1000)});
    j.timing.occurrences = 2;
    j.timing.first_unix_ms = wall + 1000;
    j.timing.interval_ms = 5000;
    w.add(j);
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall).tasks_waiting);
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall + 1000).tasks_waiting);
    LONGS_EQUAL(4, measure_load(w.f, w.now, wall + 6000).tasks_waiting);
}

// A start is ordered: the job waits until a runner has said that it runs.
TEST(load, a_job_is_only_ordered_until_a_start_is_answered)
{
    w.add(make_job("a", {make_step(2, 1000)}));
    LONGS_EQUAL(0, jobs_only_ordered(w.f));
    w.add_host("h1");
    const auto starts = w.next().starts;
    LONGS_EQUAL(1, jobs_only_ordered(w.f));
    LONGS_EQUAL(1, pending_jobs(w.f).at("q"));
    w.started(starts[0], ports::runner_verdict::unknown);
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall).jobs_only_ordered);
    LONGS_EQUAL(1, pending_jobs(w.f).at("q"));
    w.started(starts[1]);
    LONGS_EQUAL(0, jobs_only_ordered(w.f));
    LONGS_EQUAL(0, pending_jobs(w.f).size());
}

TEST(load, hosts_are_silent_or_near_their_lapse)
{
    w.add_host("h1");
    w.add_host("h2");
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    LONGS_EQUAL(2, measure_load(w.f, w.now, wall).hosts);
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall).hosts_lease_low);
    w.now += w.f.settings.runner_lease * 3 / 4;
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall).hosts_lease_low);
    h.reachable = false;
    LONGS_EQUAL(1, measure_load(w.f, w.now, wall).hosts_silent);
    w.now += w.f.settings.runner_lease;
    LONGS_EQUAL(0, measure_load(w.f, w.now, wall).hosts_lease_low); // it has lapsed
}

// The wait of a task begins with its job's being read, or with the end of the step before it.
TEST(load, a_wait_begins_when_the_task_could_start)
{
    w.add_host("h1");
    w.add(two_steps("a"));
    w.f.jobs.at("a")->added_at = w.now;
    const auto taken = w.now;
    w.now += 70ms;
    const auto starts = w.next().starts;
    CHECK(taken == ready_since(w.f, starts[0].task, starts[0].run, w.now, wall));
    w.now += 400ms;
    const auto done = w.now;
    w.ended(starts[0], ports::run_end::done, 1);
    w.ended(starts[1], ports::run_end::done, 2);
    w.now += 30ms;
    const auto later = w.next().starts;
    CHECK(done == ready_since(w.f, later[0].task, later[0].run, w.now, wall));
    CHECK(!ready_since(w.f, later[0].task, later[0].run + 1, w.now, wall)); // not its first
}

TEST(load, the_wait_of_a_scheduled_task_begins_when_it_is_due)
{
    auto j = make_job("a", {make_step(1, 1000)});
    j.timing.occurrences = 1;
    j.timing.first_unix_ms = wall + 1000;
    w.add(j);
    w.f.jobs.at("a")->added_at = w.now;
    w.now += 1040ms;
    const auto ready = ready_since(w.f, {"a", 0, 0, 0}, 1, w.now, wall + 1040);
    CHECK(w.now - 40ms == ready);
}

// A host with a run lapses: who reads the log must see how long it was silent, and how long it had
// not been asked.
TEST(load, a_lapse_tells_the_latest_answer_and_poll)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    w.started(w.next().starts[0]);
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    const auto answered = w.now;
    h.polled_at = w.now + 200ms;
    h.reachable = false;
    w.now += w.f.settings.runner_lease * 2;
    const auto lapsed = lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, lapsed.size());
    STRCMP_EQUAL("h1", lapsed[0].host.c_str());
    LONGS_EQUAL(1, lapsed[0].runs);
    CHECK(answered == lapsed[0].answered);
    CHECK(answered + 200ms == lapsed[0].polled);
    LONGS_EQUAL(0, lapse_hosts(w.f, w.now, w.events).size()); // told once
}
