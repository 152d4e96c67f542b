#include "losing_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using workflow::job_state;

TEST_GROUP(trials)
{
    losing_world w;

    void setup() override
    {
        for (int i = 0; i < 6; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
    }
};

// A suspect is tried where nothing else runs, and nothing joins it there.
TEST(trials, a_suspect_runs_alone)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    w.add(make_job("b", {make_step(12, 1000)}));
    std::string host;
    for (const auto& it : w.starts())
    {
        host = it.task.job == "a" ? it.host.id : host;
    }
    CHECK(!host.empty());
    w.add(make_job("c", {make_step(30, 1000)}));
    w.starts();
    LONGS_EQUAL(1, w.f.hosts.at(host).runs.size());
}

// Guards against trials whose crash can't be certain: nothing tells of the next life of a machine
// that isn't known.
TEST(trials, a_host_whose_machine_is_not_known_gets_no_trial)
{
    losing_world each;
    each.add_host("h1");
    each.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_all(2));
    each.f.hosts.clear();
    each.add_host("h9");
    each.f.hosts.at("h9").machine.clear();
    LONGS_EQUAL(0, each.starts().size());
    each.f.hosts.at("h9").machine = "m9";
    LONGS_EQUAL(1, each.starts().size());
}

// Many suspects at a time would take the whole pool down.
TEST(trials, few_suspects_are_tried_at_a_time)
{
    struct row
    {
        int busy; ///< of 24 hosts
        std::size_t trials;
    };
    for (const auto& it : {row{0, 12}, row{14, 6}, row{22, 2}})
    {
        losing_world each;
        for (int i = 0; i < 24; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        each.add(make_job("a", {make_step(24, host_cpu)}));
        each.lose_all(2);
        LONGS_EQUAL(48, each.losses("a"));
        int busy = 0;
        for (auto& [id, h] : each.f.hosts)
        {
            h.orphaned_runs = busy++ < it.busy ? 1 : 0; // they take no task, and hold something
        }
        LONGS_EQUAL(it.trials, each.starts().size());
        LONGS_EQUAL(0, each.starts().size());
    }
}

// Tasks that last may leave no host of the pool empty: a suspect may not wait for one for ever.
TEST(trials, a_suspect_that_finds_no_empty_host_is_tried_beside_others)
{
    losing_world each;
    each.add_host("h1");
    each.add_host("h2");
    each.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, each.crash_all(2));
    auto s = make_step(2, 1000);
    s.max_per_host = 1;
    s.long_running = true;
    each.f.jobs.at("a")->tasks[0].not_before = each.now + 1ms; // the other job comes first
    each.add(make_job("b", {s}));
    LONGS_EQUAL(2, each.starts().size());
    each.now += 1ms;
    LONGS_EQUAL(0, each.starts().size());
    each.now += each.f.settings.isolation_max_wait;
    LONGS_EQUAL(1, each.starts().size());
}

// A rack's power fails twice: the jobs of those who lost their hosts may not be failed for it.
TEST(trials, innocents_are_not_given_up)
{
    w.add(make_job("a", {make_step(8, 1000)}));
    w.lose_all(2);
    LONGS_EQUAL(16, w.losses("a"));
    std::map<std::string, std::int64_t> ends; // by host
    for (int left = 8; left > 0;)
    {
        const auto all = w.starts();
        CHECK(!all.empty());
        for (const auto& it : all)
        {
            w.started(it);
            w.ended(it, ports::run_end::done, ++ends[it.host.id]);
        }
        left -= static_cast<int>(all.size());
    }
    CHECK(w.state("a") == job_state::completed);
}

// A suspect that works would hold a host for itself as long as it lasts.
TEST(trials, a_run_that_has_worked_long_clears_its_task)
{
    auto s = make_step(1, 1000);
    s.long_running = true;
    w.add(make_job("a", {s}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    w.started(a);
    LONGS_EQUAL(1, w.f.hosts.at(a.host.id).isolated_runs);
    w.now += w.f.settings.isolation_time;
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    poll_answered(w.f, a.host.id, w.now, p, w.now, w.events);
    LONGS_EQUAL(0, w.losses("a"));
    LONGS_EQUAL(0, w.f.hosts.at(a.host.id).isolated_runs);
}

// An owner dies with a trial under way: its successor reads of it before it starts the task.
TEST(trials, a_successor_counts_the_trial_that_it_never_saw)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    losing_world next;
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
        n += next.crash_all(9);
        next.wait(next.f.settings.uncertain_loss_wait);
    }
    LONGS_EQUAL(1, n);
    CHECK(a.run > 0);
    CHECK(next.state("a") == job_state::failed);
}

// loss.
TEST(trials, a_successor_adopts_the_trial)
{
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(2, w.crash_all(2));
    const auto a = w.starts().at(0);
    const auto stored = progress_of(*w.f.jobs.at("a"));
    losing_world next;
    next.f.term = 1;
    next.add_host(a.host.id);
    add_job(next.f, make_job("a", {make_step(1, 1000)}), 1, stored, 2);
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"a.0.0.0", a.run, {}, 100, 0}};
    poll_answered(next.f, a.host.id, next.now, p, next.now, next.events);
    next.ended(a, ports::run_end::done, 1);
    LONGS_EQUAL(2, next.losses("a"));
    CHECK(next.state("a") == job_state::completed);
}
