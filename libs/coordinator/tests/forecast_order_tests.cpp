#include "coordinator/arriving_capacity.hpp"
#include "coordinator/demand.hpp"
#include "coordinator/explain.hpp"
#include "fleet_fixture.hpp"
#include "forecast_order.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(forecast_order)
{
    fleet_fixture w;

    void use_forecasts()
    {
        w.f.settings.placement.forecasts = true;
    }

    /// A job of one task that fills a host, with an objective of 2.2 s.
    workflow::job whole_host_job(const std::string& id)
    {
        auto j = make_job(id, {make_step(1, host_cpu)});
        j.stretch = 1.6;
        j.slack = 600ms;
        return j;
    }
};

// A rack is down, or no host was polled yet: nothing is known of when jobs could end, so the order
// is that without a forecast.
TEST(forecast_order, a_pool_without_capacity_has_no_outlook)
{
    use_forecasts();
    w.accept_job(whole_host_job("a"));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    CHECK_FALSE(w.f.jobs.at("a")->forecast.outlook.has_value());
    w.add_host("h1");
    LONGS_EQUAL(1, w.plan_next().starts.size());
    CHECK(w.f.jobs.at("a")->forecast.outlook == job_outlook::in_time);
}

TEST(forecast_order, hosts_that_count_as_capacity)
{
    struct row
    {
        const char* name;
        void (*change)(host_entry&);
        double cores;
    };
    const row rows[] = {
        {"usable", [](host_entry&) {}, 8},
        {"draining", [](host_entry& h) { h.draining = true; }, 4},
        {"unresponsive", [](host_entry& h) { h.reachable = false; }, 4},
        {"closed", [](host_entry& h) { h.availability = host_availability::closed_for_move; }, 4},
        {"not polled in this term", [](host_entry& h) { h.inherited = true; }, 4},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        each.f.settings.placement.forecasts = true;
        each.add_host("h1");
        each.add_host("h2");
        it.change(each.f.hosts["h2"]);
        each.plan_next();
        DOUBLES_EQUAL_TEXT(it.cores, each.f.forecasts.at("p").cores, 1e-6, it.name);
    }
}

// Long-running tasks never end, so batch work can't use what they occupy.
TEST(forecast_order, long_running_tasks_reduce_the_capacity)
{
    use_forecasts();
    w.add_host("h1");
    auto s = make_step(1, 3000);
    s.long_running = true;
    w.accept_job(make_job("serving", {s}));
    w.plan_next();
    w.plan_next();
    DOUBLES_EQUAL(1, w.f.forecasts.at("p").cores, 1e-6);
}

TEST(forecast_order, moves_that_are_ordered_count_from_their_expected_arrival)
{
    use_forecasts();
    w.add_host("h1");
    w.f.hosts["h1"].pool = "other";
    rebalancer r;
    r.moves["of-h1"] = {"p", "h1", true, w.now, true};
    r.moves["of-h2"] = {"p", "gone", true, w.now, true};
    r.moves["of-h3"] = {"p", "h1", false, w.now, true};
    const auto all = arriving_capacity(w.f, r, {});
    LONGS_EQUAL(2, all.at("p").size());
    for (const auto& it : all.at("p"))
    {
        DOUBLES_EQUAL(4, it.cores, 1e-6);
        CHECK(it.from == w.now + demand_settings{}.trend_lookahead);
    }
    w.f.arriving_capacity = all;
    w.accept_job(whole_host_job("soon"));
    w.f.jobs.at("soon")->spec.slack = 5000ms;
    w.plan_next();
    CHECK(w.f.jobs.at("soon")->forecast.outlook == job_outlook::in_time);
}

// At more than the capacity, jobs that do not fit wait behind all that do, instead of making them
// late; a job that has started keeps its place even if others are due earlier.
TEST(forecast_order, order_of_service)
{
    use_forecasts();
    w.add_host("h1");
    auto two = whole_host_job("started");
    two.steps.push_back(two.steps[0]);
    two.steps[1].depends_on = {0};
    two.slack = 20s;
    w.accept_job(two);
    auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    w.answer_start(p.starts[0]);
    auto urgent = whole_host_job("new");
    urgent.slack = 8s; // due earlier, and also in time
    w.accept_job(urgent);
    w.now += 100ms;
    w.f.hosts["h1"].last_answer_at = w.now;
    w.report_end(p.starts[0], ports::run_end::done, 1);
    p = w.plan_next(wall_ms + 100);
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("started", p.starts[0].task.job.c_str());
    const auto why = explain_job(w.f, "new", w.now, wall_ms + 100);
    STRCMP_CONTAINS("outlook in_time", why[0].c_str());
    STRCMP_CONTAINS("ahead of it 1 jobs of the pool, 1 of them started", why[0].c_str());
}

// Failure: while the pool is full of jobs in time, a late job would never be served.
TEST(forecast_order, the_oldest_late_job_receives_a_part_of_the_cores)
{
    use_forecasts();
    for (int i = 0; i < 10; ++i)
    {
        w.add_host("h" + std::to_string(i));
    }
    for (const char* id : {"old", "older"})
    {
        auto late = make_job(id, {make_step(30, 1000)});
        late.accepted_unix_ms = wall_ms - (std::string{id} == "old" ? 11000 : 12000);
        w.accept_job(late);
    }
    for (int i = 0; i < 30; ++i)
    {
        w.accept_job(whole_host_job("n" + std::to_string(i)));
    }
    const auto p = w.plan_next();
    const auto starts_of = [&](const plan& all, const std::string& id)
    {
        return std::count_if(all.starts.begin(),
            all.starts.end(),
            [&](const start_action& it) { return it.task.job == id; });
    };
    LONGS_EQUAL(4, starts_of(p, "older")); // a tenth of 40 cores
    LONGS_EQUAL(0, starts_of(p, "old"));
    LONGS_EQUAL(13, p.starts.size()); // the other 9 hosts are full of jobs in time
    LONGS_EQUAL(0, w.plan_next().starts.size());
    // The part is not given again while it is in use.
    w.add_host("more");
    LONGS_EQUAL(0, starts_of(w.plan_next(), "older"));
}

// Hosts that arrive when a job is late anyway can't help it. If such work counted fully, a pool
// would keep many hosts for it while other pools can't serve work in time.
TEST(forecast_order, work_that_hosts_can_not_make_in_time_counts_little_in_the_need)
{
    use_forecasts();
    w.add_host("h1");
    for (int i = 0; i < 20; ++i)
    {
        w.accept_job(whole_host_job("n" + std::to_string(i)));
    }
    demand d;
    w.plan_next();
    const auto needed = [&]
    {
        return pool_needs(w.f, d, w.now).at("p").cores;
    };
    const auto all = needed();
    d.settings.discounts_late_work = true;
    const auto discounted = needed();
    CHECK(discounted < all / 2);
    CHECK(discounted > all * d.settings.late_work_share);
    d.settings.trend_lookahead = 100ms; // hosts would come in time
    DOUBLES_EQUAL(all, needed(), 1e-6);
}

// Stops are bounded in each plan. After a mass cancellation in two pools, those of the pool in
// which jobs wait for capacity come first, and before all starts.
TEST(forecast_order, stops_that_free_needed_capacity_come_first)
{
    for (const char* busy : {"p", "q"})
    {
        fleet_fixture each;
        each.f.settings.placement.forecasts = true;
        each.add_host("h1");
        each.add_host("h2");
        each.f.hosts["h2"].pool = "q";
        for (const char* pool : {"p", "q"})
        {
            auto j = make_job(std::string{"cancelled-"} + pool, {make_step(4, 1000)});
            j.pool = pool;
            each.accept_job(j);
        }
        for (const auto& it : each.plan_next().starts)
        {
            each.answer_start(it);
        }
        auto waiting = whole_host_job("waiting");
        waiting.pool = busy;
        waiting.slack = 10s;
        each.accept_job(waiting);
        cancel_job(each.f, "cancelled-p", each.now, each.events);
        cancel_job(each.f, "cancelled-q", each.now, each.events);
        const auto p = make_plan(each.f, each.now, wall_ms, true, each.events, 4);
        LONGS_EQUAL(4, p.stops.size());
        for (const auto& it : p.stops)
        {
            STRCMP_EQUAL(("cancelled-" + std::string{busy}).c_str(), it.task.job.c_str());
        }
    }
}

TEST(forecast_order, wrong_first_outlooks_are_counted_when_a_job_ends)
{
    use_forecasts();
    w.add_host("h1");
    w.accept_job(whole_host_job("a"));
    const auto p = w.plan_next();
    w.answer_start(p.starts[0]);
    w.now += 5s;
    w.report_end(p.starts[0], ports::run_end::done, 1);
    LONGS_EQUAL(1, w.f.forecast_errors.at("p").in_time_missed);
    LONGS_EQUAL(0, w.f.forecast_errors.at("p").late_made);
}

// The clock of this node is set back: due times move, and so do the outlooks in the next plan.
TEST(forecast_order, a_clock_step_changes_the_outlook_in_the_next_plan)
{
    use_forecasts();
    w.add_host("h1");
    auto j = whole_host_job("a");
    j.steps[0].need.cpu = host_cpu + 1; // never starts
    w.accept_job(j);
    w.plan_next(wall_ms + 60000);
    CHECK(w.f.jobs.at("a")->forecast.outlook == job_outlook::worthless);
    w.plan_next(wall_ms);
    CHECK(w.f.jobs.at("a")->forecast.outlook == job_outlook::in_time);
}

// The jobs are kept in a hash table. If its order decided between equal jobs, equal inputs would
// give different plans.
TEST(forecast_order, equal_jobs_are_served_in_the_same_order_however_they_were_read)
{
    std::vector<std::string> served[2];
    for (const int reversed : {0, 1})
    {
        fleet_fixture each;
        each.f.settings.placement.forecasts = true;
        for (int i = 0; i < 4; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        for (int i = 0; i < 50; ++i)
        {
            each.accept_job(whole_host_job("n" + std::to_string(reversed != 0 ? 49 - i : i)));
        }
        for (const auto& it : each.plan_next().starts)
        {
            served[reversed].push_back(it.task.job + " on " + it.host.id);
        }
    }
    LONGS_EQUAL(4, served[0].size());
    CHECK(served[0] == served[1]);
}

// Failure: right after a takeover or the loss of a rack, the forecast counts too little capacity
// and expects every job to be late. Guards against serving jobs that have missed their objective
// before jobs that can still meet it.
TEST(forecast_order, jobs_that_can_be_in_time_by_themselves_come_before_those_that_can_not)
{
    struct row
    {
        const char* name;
        job_outlook outlook;
        bool late; ///< by itself
    };
    const row in_order[] = {
        {"in time", job_outlook::in_time, false},
        {"in time by the wider tolerance of the forecast", job_outlook::in_time, true},
        {"deferred for lack of capacity", job_outlook::late, false},
        {"late by itself", job_outlook::late, true},
        {"worthless", job_outlook::worthless, true},
    };
    std::vector<waiting_step> steps;
    for (const auto& it : in_order)
    {
        w.accept_job(whole_host_job(it.name));
        auto& j = *w.f.jobs.at(it.name);
        j.forecast.outlook = it.outlook;
        // Jobs that are later in this order were due earlier.
        const auto due = wall_ms - static_cast<std::int64_t>(steps.size());
        steps.push_back({&j, 0, 0, false, it.late, due, 0});
        apply_forecast(steps.back());
    }
    for (std::size_t i = 0; i + 1 < steps.size(); ++i)
    {
        const bool equal = i == 0; // the first two are both in time, so the due time decides
        CHECK_TEXT(is_served_before(job_order::in_time_first, steps[i], steps[i + 1]) != equal,
            in_order[i].name);
    }
}
