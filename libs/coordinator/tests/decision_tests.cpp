#include "coordinator/answers.hpp"
#include "coordinator/demand.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/pacing.hpp"
#include "coordinator/placement.hpp"
#include "coordinator/rebalance.hpp"
#include "coordinator/waves.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t wall = 1'700'000'000'000;
constexpr std::int64_t host_cpu = 4000;

workflow::step make_step(int tasks, std::int64_t cpu)
{
    workflow::step s;
    s.tasks = tasks;
    s.need.cpu = cpu;
    s.estimate = 1000ms;
    return s;
}

workflow::job make_job(const std::string& id, std::vector<workflow::step> steps)
{
    workflow::job j;
    j.id = id;
    j.queue = "q";
    j.pool = "p";
    j.most_attempts = 2;
    j.accepted_unix_ms = wall;
    j.steps = std::move(steps);
    return j;
}

/// A fleet whose hosts answer everything that a test does not take over.
struct world
{
    fleet f;
    core::mono_time now{1000s};
    task_events events;

    void add_host(const std::string& id, const std::string& rack = "r1")
    {
        host_entry h;
        h.ref = {id, id + ":1"};
        h.pool = "p";
        h.rack = rack;
        h.labels = {"a", rack};
        h.capacity = {host_cpu, 65536, 0};
        h.listed = true;
        h.recorded = true;
        h.reachable = true;
        h.last_answer = now;
        h.clock_ms = 1000;
        h.clock_at = now;
        f.hosts[id] = h;
    }

    void add(workflow::job j)
    {
        add_job(f, std::move(j), 1, {}, 0);
    }

    plan next(std::int64_t unix_ms = wall)
    {
        return make_plan(f, now, unix_ms, true, events);
    }

    void started(const start_action& a, ports::runner_verdict v = ports::runner_verdict::done)
    {
        start_answered(f, a.host.id, a.task, a.run, {v, 1000}, now, events);
    }

    void ended(const start_action& a, ports::run_end how, std::int64_t number)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, 1000};
        p.ended = {{number,
            workflow::task_name(a.task).job + "." + std::to_string(a.task.occurrence) + "." +
                std::to_string(a.task.step) + "." + std::to_string(a.task.index),
            a.run,
            how,
            {}}};
        poll_answered(f, a.host.id, now, p, now, events);
    }
};

} // namespace

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
        {"not looked at", [](host_entry& h, workflow::step&) { h.prior = true; }, false},
        {"closed",
            [](host_entry& h, workflow::step&) { h.use = host_use::closed_for_move; },
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
                s.fills = true;
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
    s.most_per_host = 2;
    w.add(make_job("a", {s}));
    LONGS_EQUAL(2, w.next().starts.size());
}

TEST(placement, steps_wait_for_those_before)
{
    w.add_host("h1");
    auto second = make_step(1, 1000);
    second.after = {0};
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
    b.after = {0};
    auto c = make_step(1, 1);
    auto d = make_step(1, 1);
    d.after = {1, 2};
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
    j.advised = true;
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
    w.f.hosts["h2"].last_answer = w.now;
    p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.asks.size());
    STRCMP_EQUAL("h2", p.asks[0].runners[0].c_str());
}

TEST_GROUP(pacing)
{
    world w;

    /// A serving task and a filler on one host, both running.
    void prepare()
    {
        w.add_host("h1");
        auto serving = make_step(1, 1000);
        serving.tail_target = 40ms;
        serving.long_running = true;
        auto filler = make_step(1, 2000);
        filler.fills = true;
        w.add(make_job("a", {serving, filler}));
        for (const auto& it : w.next().starts)
        {
            w.started(it);
        }
    }

    run_entry& run(std::size_t step)
    {
        return w.f.jobs.at("a")->tasks[step].runs[0];
    }

    /// One half second with this tail latency. \return the filler's pace after it.
    int after(std::int64_t tail)
    {
        run(0).figure = tail;
        w.now += 500ms;
        plan_paces(w.f, {}, w.now, w.events);
        return run(1).pace;
    }
};

// A filler disturbs a serving task. Within four half-second figures it is as good as stopped, so
// the task is never over its target for seconds; once all is calm it comes back.
TEST(pacing, a_filler_yields_and_comes_back)
{
    prepare();
    LONGS_EQUAL(100, after(20));
    LONGS_EQUAL(50, after(60));
    LONGS_EQUAL(25, after(60));
    LONGS_EQUAL(12, after(60));
    LONGS_EQUAL(6, after(50));
    LONGS_EQUAL(0, after(50));
    LONGS_EQUAL(0, after(30)); // between the marks
    LONGS_EQUAL(15, after(10));
}

// A model in which the filler adds to the tail latency in proportion, by a factor that changes
// within seconds: the serving task is never over its target for as long as its users would mind.
TEST(pacing, a_changing_disturbance_is_followed)
{
    prepare();
    core::millis over{0};
    core::millis longest{0};
    for (int i = 0; i < 120; ++i)
    {
        const double factor = (i / 12) % 2 == 0 ? 0.2 : 1.0;
        const auto tail = static_cast<std::int64_t>(15 + run(1).pace * factor);
        after(tail);
        over = tail > 40 ? over + 500ms : 0ms;
        longest = std::max(longest, over);
    }
    CHECK(longest <= 2000ms);
}

TEST(pacing, a_filler_goes_where_it_disturbs_nobody)
{
    prepare();
    w.add_host("h2");
    auto filler = make_step(1, 2000);
    filler.fills = true;
    w.f.hosts["h2"].used.cpu = 3000; // busier, but serves nobody
    w.add(make_job("b", {filler}));
    const auto p = w.next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("h2", p.starts[0].host.id.c_str());
}

TEST_GROUP(settling)
{
    world w;
};

// A start gets no answer. Until the runner has confirmed a stop and no longer lists the run, the
// task keeps its room and starts nowhere else.
TEST(settling, an_unanswered_start_is_settled_by_a_stop)
{
    w.add_host("h1");
    w.add_host("h2");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a, ports::runner_verdict::unknown);
    LONGS_EQUAL(0, w.next().starts.size());
    ports::poll_answer nothing;
    nothing.call = {ports::runner_verdict::done, 1000};
    w.now += 10ms;
    poll_answered(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto p = w.next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(1, p.stops.size());
    w.now += 10ms;
    stop_answered(
        w.f, a.host.id, a.task, a.run, {ports::runner_verdict::done, 1000}, w.now, w.events);
    poll_answered(w.f, a.host.id, w.now - 5ms, nothing, w.now, w.events);
    LONGS_EQUAL(0, w.next().starts.size()); // that look began before the stop was confirmed
    w.now += 10ms;
    poll_answered(w.f, a.host.id, w.now, nothing, w.now, w.events);
    const auto again = w.next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

// A runner goes silent. Its tasks may start elsewhere only when its own clock, which may be slow,
// has certainly passed every lease that was granted.
TEST(settling, a_silent_runner_lapses_by_its_own_clock)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    auto& h = w.f.hosts["h1"];
    note_lease(h, lease_end_for(w.f, h, w.now));
    w.started(a);
    ports::poll_answer silent;
    silent.call = {ports::runner_verdict::unknown, -1};
    poll_answered(w.f, "h1", w.now, silent, w.now, w.events);
    LONGS_EQUAL(0, lease_end_for(w.f, h, w.now)); // nothing more is granted
    w.now += w.f.settings.runner_lease + 100ms;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(1, w.f.jobs.at("a")->live_runs);
    w.now += 300ms + w.f.settings.runner_lease / 40;
    lapse_hosts(w.f, w.now, w.events);
    LONGS_EQUAL(0, w.f.jobs.at("a")->live_runs);
}

// A runner refuses a start each time. Ordered again at once, the task would keep the process and
// the runner busy with nothing else.
TEST(settling, a_refused_start_is_not_ordered_again_at_once)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    w.started(a, ports::runner_verdict::malformed);
    LONGS_EQUAL(0, w.f.hosts["h1"].used.cpu);
    LONGS_EQUAL(0, w.next().starts.size());
    w.now += w.f.settings.refusal_pause;
    const auto again = w.next().starts;
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].run > a.run);
}

TEST(settling, another_life_ends_all_runs_at_once)
{
    w.add_host("h1");
    w.add_host("h2");
    auto s = make_step(6, 1000);
    s.most_per_host = 3;
    w.add(make_job("a", {s}));
    const auto p = w.next();
    for (const auto& it : p.starts)
    {
        w.started(it);
    }
    ports::poll_answer other;
    other.call = {ports::runner_verdict::other_life, -1};
    poll_answered(w.f, "h1", w.now, other, w.now, w.events);
    LONGS_EQUAL(3, w.f.jobs.at("a")->live_runs);
    CHECK_FALSE(w.f.hosts.contains("h1"));
}

TEST(settling, a_run_that_nobody_knows_is_stopped)
{
    w.add_host("h1");
    ports::poll_answer p;
    p.call = {ports::runner_verdict::done, 1000};
    p.running = {{"gone.0.0.0", 3, {}, 10, 0}};
    poll_answered(w.f, "h1", w.now, p, w.now, w.events);
    LONGS_EQUAL(1, w.f.strays.size());
    w.add(make_job("a", {make_step(1, 1000)}));
    LONGS_EQUAL(0, w.next().starts.size()); // its room is not known
}

TEST(settling, a_newer_token_ends_the_ownership)
{
    w.add_host("h1");
    w.add(make_job("a", {make_step(1, 1000)}));
    const auto a = w.next().starts[0];
    CHECK_FALSE(start_answered(
        w.f, "h1", a.task, a.run, {ports::runner_verdict::fenced, 1}, w.now, w.events));
}

TEST_GROUP(demand)
{
    coordinator::demand d;
    core::mono_time now{1000s};

    /// \param cores of work that arrive a second, as jobs of \p each core-seconds
    void feed(const std::string& pool, double cores, double each, core::millis how_long)
    {
        const core::micros gap{static_cast<std::int64_t>(1e6 * each / cores)};
        for (const auto end = now + how_long; now < end; now += gap)
        {
            note_arrival(d, pool, each, now);
        }
        update_demand(d, now);
    }
};

TEST(demand, a_steady_rate_is_measured_and_forgotten)
{
    feed("p", 100, 5, 6s);
    CHECK(d.pools["p"].fast > 85 && d.pools["p"].fast < 115);
    now += 4s;
    update_demand(d, now);
    CHECK(d.pools["p"].fast < 5);
}

TEST(demand, one_large_job_is_no_busy_time)
{
    note_arrival(d, "p", 200, now);
    update_demand(d, now);
    CHECK_FALSE(d.pools["p"].busy);
    feed("p", 300, 10, 1s);
    CHECK(d.pools["p"].busy);
}

TEST(demand, a_rise_is_followed_ahead)
{
    fleet f;
    feed("p", 60, 3, 12s);
    const auto steady = pool_needs(f, d, now).at("p").cores;
    CHECK(steady < 60 * 1.6);
    for (double cores = 60; cores < 360; cores += 60)
    {
        feed("p", cores, 3, 500ms);
    }
    const auto& p = d.pools["p"];
    CHECK(pool_needs(f, d, now).at("p").cores > p.fast * d.settings.margin * 1.2);
}

TEST(demand, an_order_that_came_round_tells_the_next)
{
    const std::vector<std::string> pools{"a", "b", "c"};
    for (int round = 0; round < 2; ++round)
    {
        for (const auto& it : pools)
        {
            d.history.push_back({it, now});
            now += 5s;
        }
    }
    const auto newest = d.history.back().at;
    CHECK(next_busy(d, "a").has_value());
    CHECK(*next_busy(d, "a") == newest + 5s);
    CHECK_FALSE(next_busy(d, "b").has_value());
}

TEST(demand, learnt_times_replace_declared_ones)
{
    learnt l;
    auto s = make_step(1, 1000);
    s.image = "i";
    LONGS_EQUAL(1000, expected_time(l, s).count());
    learn_time(l, "i", 200ms);
    learn_time(l, "i", 400ms);
    LONGS_EQUAL(300, expected_time(l, s).count());
}

TEST_GROUP(rebalance)
{
    world w;
    coordinator::demand d;
    rebalancer r;
    machine_table list;
    std::vector<pool_info> pools{{"p", false}, {"q", false}, {"off", true}};

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
    w.add(make_job("a", {make_step(8, 1000)}));
    const auto moves = next();
    LONGS_EQUAL(2, moves.size());
    STRCMP_EQUAL("p", moves[0].pool.c_str());
    LONGS_EQUAL(0, next().size()); // they are on their way
}

TEST(rebalance, idle_hosts_rest_after_a_while)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    LONGS_EQUAL(0, next().size());
    w.now += r.settings.rest + 100ms;
    const auto moves = next();
    LONGS_EQUAL(1, moves.size());
    STRCMP_EQUAL("off", moves[0].pool.c_str());
}

// A host that works is not torn away: it is closed, and moves when its tasks have ended.
TEST(rebalance, a_host_moves_only_when_it_is_empty)
{
    add_machine("1", "q");
    add_machine("2", "p");
    w.f.hosts["h1"].pool = "p"; // its runs are of p's job
    w.add(make_job("a", {make_step(8, 1000)}));
    const auto started = w.next().starts;
    CHECK(!started.empty());
    w.f.hosts["h1"].pool = "q";
    pools = {{"p", false}, {"q", false}};
    r.settings.spare_hosts = 0;
    LONGS_EQUAL(0, next().size());
    CHECK(w.f.hosts["h1"].use == host_use::closed_for_move);
}

TEST(rebalance, a_refused_move_opens_the_host_again)
{
    add_machine("1", "p");
    add_machine("2", "p");
    add_machine("3", "off");
    pools = {{"p", false}, {"off", true}};
    next();
    w.now += r.settings.rest + 100ms;
    const auto moves = next();
    const auto host = "h" + moves[0].machine;
    CHECK(w.f.hosts[host].use == host_use::closed_for_move);
    move_answered(w.f, r, moves[0].machine, ports::machine_verdict::busy, w.now, w.events);
    CHECK(w.f.hosts[host].use == host_use::open);
    CHECK(r.moves.empty());
}

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
        maintenance_began(w.f, v, list, it, w.now, w.events);
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
    w.f.hosts["h1"].stored_end = 1;
    LONGS_EQUAL(1, plan_wave(w.f, v, list, {}, w.now, w.events).size());
}

// A wave closes all hosts of a pool. Were a long-running task stopped with no host to go to, it
// would wait for the wave, and the wave for the other tasks of its step.
TEST(waves, a_task_with_nowhere_to_go_stays)
{
    prepare(2, 2);
    auto s = make_step(2, 1000);
    s.long_running = true;
    s.may_be_away = 1;
    s.most_per_host = 1;
    w.add(make_job("a", {s}));
    for (const auto& it : w.next().starts)
    {
        w.started(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].percent = 100;
    }
    v.due = w.now;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(0, w.next().stops.size());
    w.add_host("h3");
    plan_wave(w.f, v, list, {}, w.now, w.events);
    LONGS_EQUAL(1, w.next().stops.size());
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
    CHECK(w.f.hosts[busy].use == host_use::open);
    w.now = v.due - 5s;
    plan_wave(w.f, v, list, {}, w.now, w.events);
    CHECK(w.f.hosts[busy].use == host_use::closed_for_maintenance);
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
        each.f.hosts["h1"].prior = true;
        machine_table table;
        table.known = true;
        table.machines["m1"] = {"m1", "p", "z", it.runner, it.state};
        match_machines(each.f, table, each.now, each.events);
        LONGS_EQUAL(it.ends ? 0 : 1, each.f.hosts.count("h1"));
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
    s.may_be_away = 1;
    w.add(make_job("a", {s}));
    for (const auto& it : w.next().starts)
    {
        w.started(it);
        w.f.jobs.at("a")->tasks[static_cast<std::size_t>(it.task.index)].runs[0].percent = 100;
    }
    const auto& j = *w.f.jobs.at("a");
    LONGS_EQUAL(0, others_away(w.f, j, {"a", 0, 0, 0}));
    w.f.hosts[j.tasks[1].runs[0].host].reachable = false;
    LONGS_EQUAL(1, others_away(w.f, j, {"a", 0, 0, 0}));
}
