#include "bookkeeping.hpp"
#include "coordinator/explain.hpp"
#include "fleet_fixture.hpp"
#include "run_ends.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

constexpr int hosts = 10;
constexpr double cores = hosts * host_cpu / 1000.0;
constexpr core::millis run_time = 1000ms;
constexpr core::millis plan_interval = 100ms;

/// Jobs of one workspace, queue and zone that arrive at a constant rate.
struct flow
{
    const char* workspace;
    const char* queue;
    const char* zone;
    int jobs_per_plan; ///< each job is one step of 1 s
    int tasks = 1;     ///< of one core each
    int every = 1;     ///< jobs arrive only in each plan of this number
    core::millis from{0};
    core::millis to{20000};
};

struct flow_result
{
    core::millis max_wait{0}; ///< from the acceptance of a job until all of its tasks were started
    double served = 0;        ///< core-seconds
};

/// A pool with \c cores cores and several flows of jobs.
struct share_load
{
    fleet_fixture w;
    std::vector<flow> flows;
    std::vector<flow_result> results;
    std::map<std::string, std::size_t> flow_of_job;
    std::deque<std::pair<core::mono_time, start_action>> ends;
    std::int64_t last_end = 0;
    core::mono_time begin;
    double used_late = 0; ///< least share of the cores in use in any plan after the first second

    share_load(std::vector<flow> all, share_rule rule, share_settings share)
        : flows(std::move(all)), results(flows.size()), begin(w.now)
    {
        w.f.settings.placement.shares = rule;
        w.f.settings.placement.share = share;
        for (int i = 0; i < hosts; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
        used_late = 1;
    }

    std::int64_t unix_ms() const
    {
        return wall_ms + std::chrono::duration_cast<core::millis>(w.now - begin).count();
    }

    void accept_jobs(int plan)
    {
        for (std::size_t i = 0; i < flows.size(); ++i)
        {
            const auto& it = flows[i];
            const bool open = w.now >= begin + it.from && w.now < begin + it.to;
            for (int n = 0; open && plan % it.every == 0 && n < it.jobs_per_plan; ++n)
            {
                auto j =
                    make_job("j" + std::to_string(flow_of_job.size()), {make_step(it.tasks, 1000)});
                j.workspace = it.workspace;
                j.queue = it.queue;
                j.zone = it.zone;
                j.accepted_unix_ms = unix_ms();
                flow_of_job[j.id] = i;
                w.accept_job(std::move(j));
            }
        }
    }

    void end_runs()
    {
        for (; !ends.empty() && ends.front().first <= w.now; ends.pop_front())
        {
            const auto& a = ends.front().second;
            auto& h = w.f.hosts.at(a.host.id);
            apply_run_end(w.f,
                h,
                {++last_end, workflow::write_task_name(a.task), a.run, ports::run_end::done, {}},
                w.now,
                w.events);
        }
    }

    void play(core::millis time)
    {
        for (int plan = 0; w.now < begin + time; ++plan, w.now += plan_interval)
        {
            for (auto& [id, h] : w.f.hosts)
            {
                h.last_answer_at = w.now;
            }
            end_runs();
            accept_jobs(plan);
            for (const auto& it : w.plan_next(unix_ms()).starts)
            {
                ends.emplace_back(w.now + run_time, it);
                auto& r = results[flow_of_job.at(it.task.job)];
                r.served += std::chrono::duration<double>(run_time).count();
                r.max_wait = std::max(r.max_wait, wait_of(it.task.job));
            }
            if (w.now >= begin + 1s)
            {
                used_late = std::min(used_late, static_cast<double>(ends.size()) / cores);
            }
        }
        for (const auto& [id, i] : flow_of_job)
        {
            const auto& j = *w.f.jobs.at(id);
            const bool waits = !j.tasks.empty() && j.steps[0].idle > 0;
            results[i].max_wait = std::max(results[i].max_wait, waits ? wait_of(id) : 0ms);
        }
    }

    core::millis wait_of(const std::string& job) const
    {
        return core::millis{unix_ms() - w.f.jobs.at(job)->spec.accepted_unix_ms};
    }
};

struct share_row_of_test
{
    const char* name;
    std::vector<flow> flows;       ///< the first one stays within its share
    std::vector<int> weights = {}; ///< of the workspaces a, b, c
    share_settings share = {};
};

const flow small{"a", "q", "", 8, 1, 10}; // 8 jobs each second

} // namespace

TEST_GROUP(share_accounts){static void configure(fleet & f, const std::vector<int>& weights){
    std::vector<workspace_settings> all;
for (std::size_t i = 0; i < 3; ++i)
{
    workspace_settings w;
    w.name = std::string(1, static_cast<char>('a' + i));
    w.weight = weights.empty() ? 1 : weights[i];
    all.push_back(w);
}
set_workspaces(f, all);
}

static share_load play(const share_row_of_test& it, share_rule rule, core::millis time = 20s)
{
    share_load load(it.flows, rule, it.share);
    configure(load.w.f, it.weights);
    load.play(time);
    return load;
}
}
;

// Guards against a workspace, queue or zone that waits behind the excess of others. Within its
// share it is served as if it were alone: no run is stopped, so a job waits until runs end, which
// takes at most one run time, and for one plan.
TEST(share_accounts, within_a_share_jobs_are_served_as_if_alone)
{
    const share_row_of_test rows[] = {
        {"one hot workspace", {small, {"b", "q", "", 12}}},
        {"two hot workspaces, one after the other",
            {small, {"b", "q", "", 12, 1, 1, 0ms, 8s}, {"c", "q", "", 12, 1, 1, 8s, 20s}}},
        {"two hot workspaces together", {small, {"b", "q", "", 12}, {"c", "q", "", 12}}},
        {"a small one beside a large one's burst within its weight",
            {{"a", "q", "", 1, 1, 3},
                {"b", "q", "", 12, 1, 1, 3s, 6s},
                {"b", "q", "", 12, 1, 1, 13s, 16s}},
            {1, 9, 1}},
        {"jobs ten times as large at the same rate", {small, {"b", "q", "", 8, 10, 10}}},
        {"one queue that floods",
            {{"", "q", "", 8, 1, 10}, {"", "r", "", 12}},
            {},
            {10000ms, true, false}},
        {"one zone that sends five times its usual",
            {{"", "q", "z1", 1}, {"", "q", "z2", 1}, {"", "q", "z3", 10, 1, 2}},
            {},
            {10000ms, false, true}},
    };
    for (const auto& it : rows)
    {
        constexpr core::millis bound = run_time + plan_interval;
        const auto shared = play(it, share_rule::work);
        LONGS_EQUAL_TEXT(0, std::max(shared.results[0].max_wait - bound, 0ms).count(), it.name);
        // Shows that the load is one that needs shares.
        const auto unshared = play(it, share_rule::none, 8s);
        CHECK_TEXT(unshared.results[0].max_wait > bound, it.name);
    }
}

// Guards against capacity that stays idle for workspaces that don't need it.
TEST(share_accounts, idle_shares_are_lent)
{
    const auto load = play({"one workspace", {{"a", "q", "", 12}}}, share_rule::work);
    DOUBLES_EQUAL(1, load.used_late, 0.001);
}

// Guards against a pool that stays partly idle, or that goes to one of them, when all are beyond.
TEST(share_accounts, when_all_are_beyond_they_share_by_weight)
{
    const auto load = play(
        {"all beyond", {{"a", "q", "", 12}, {"b", "q", "", 12}, {"c", "q", "", 12}}, {1, 1, 2}},
        share_rule::work);
    DOUBLES_EQUAL(1, load.used_late, 0.001);
    const auto all = load.results[0].served + load.results[1].served + load.results[2].served;
    DOUBLES_EQUAL(0.25, load.results[0].served / all, 0.05);
    DOUBLES_EQUAL(0.25, load.results[1].served / all, 0.05);
    DOUBLES_EQUAL(0.5, load.results[2].served / all, 0.05);
}

TEST_GROUP(share_account_charges)
{
    fleet_fixture w;

    void setup() override
    {
        w.f.settings.placement.shares = share_rule::work;
        set_workspaces(w.f, {{"a", 1, {}}, {"b", 1, {}}});
        for (int i = 0; i < hosts; ++i)
        {
            w.add_host("h" + std::to_string(i));
        }
    }

    void accept(const std::string& workspace, const std::string& id, workflow::step s)
    {
        auto j = make_job(id, {std::move(s)});
        j.workspace = workspace;
        w.accept_job(std::move(j));
    }

    double used(const std::string& workspace)
    {
        return account(workspace).used;
    }

    share_account& account(const std::string& workspace)
    {
        return w.f.shares.accounts[0][workspace];
    }

    /// Lets the workspace be far beyond its share.
    void exhaust(const std::string& workspace)
    {
        constexpr double much = 1e6; // core-seconds
        restore_shares(w.f, {{share_level::workspace, workspace, much}}, w.now);
    }

    /// \return the starts of the jobs whose ids begin with \p id in the next plan.
    std::size_t starts_of(const std::string& id)
    {
        const auto p = w.plan_next();
        return static_cast<std::size_t>(std::count_if(p.starts.begin(),
            p.starts.end(),
            [&](const auto& it) { return it.task.job.starts_with(id); }));
    }

    /// Occupies a core of each host, so that no task of four cores fits.
    void occupy_one_core_each()
    {
        auto s = make_step(hosts, 1000);
        s.max_per_host = 1;
        s.long_running = true;
        accept("", "other", s);
        LONGS_EQUAL(hosts, w.plan_next().starts.size());
    }

    std::string explain(const std::string& id)
    {
        return explain_job(w.f, id, w.now, wall_ms).at(0);
    }
};

// A run is charged at its start, so that the starts of one plan count at once; afterwards only its
// actual time counts, whatever was declared.
TEST(share_account_charges, a_run_counts_with_its_actual_time)
{
    struct row
    {
        const char* name;
        core::millis actual;
    };
    const row rows[] = {
        {"as expected", 1000ms}, {"shorter", 100ms}, {"longer", 4000ms}, {"refused", 0ms}};
    for (const auto& it : rows)
    {
        fleet_fixture each;
        each.f.settings.placement.shares = share_rule::work;
        set_workspaces(each.f, {{"a", 1, {}}});
        each.add_host("h");
        auto j = make_job("j", {make_step(1, 2000)});
        j.workspace = "a";
        each.accept_job(j);
        const auto start = each.plan_next().starts.at(0);
        const auto of = [](core::millis time)
        {
            const auto seconds = std::chrono::duration<double>(time).count();
            return 2 * 10 * (1 - std::exp(-seconds / 10));
        };
        auto& account = each.f.shares.accounts[0]["a"];
        DOUBLES_EQUAL_TEXT(of(1000ms), account.used, 0.001, it.name);
        each.now += it.actual;
        if (it.actual == 0ms)
        {
            each.answer_start(start, ports::runner_verdict::no_room);
        }
        else
        {
            each.report_end(start, ports::run_end::done, 1);
        }
        DOUBLES_EQUAL_TEXT(of(it.actual), account.used, 0.001, it.name);
    }
}

// Guards against a memory-bound workspace that counts with its few cores only.
TEST(share_account_charges, a_task_counts_with_its_dominant_resource)
{
    w.plan_next();
    auto s = make_step(1, 1000);
    s.need.memory_mb = 32768; // half of a host, as two cores
    accept("a", "j", s);
    LONGS_EQUAL(1, w.plan_next().starts.size());
    LONGS_EQUAL(2000, w.f.jobs.at("j")->batch_share_cpu);
}

// Guards against long-running tasks that count as nothing, or as their declared time at once.
TEST(share_account_charges, long_running_tasks_count_while_they_run)
{
    auto s = make_step(2, 1000);
    s.long_running = true;
    accept("a", "j", s);
    LONGS_EQUAL(2, w.plan_next().starts.size());
    DOUBLES_EQUAL(0, used("a"), 0.001);
    w.now += 100s;
    const auto rows = share_rows(w.f, w.now);
    DOUBLES_EQUAL(2 * 10, rows.at(0).used, 0.01); // two cores for the window of 10 s
}

// Guards against a run that counts twice, in the record and once more when the successor adopts it.
TEST(share_account_charges, a_successor_charges_the_rest_of_a_run_only)
{
    accept("a", "j", make_step(10, 1000));
    LONGS_EQUAL(10, w.plan_next().starts.size());
    CHECK(share_rows(w.f, w.now).empty());
    w.now += 500ms;
    const auto rows = share_rows(w.f, w.now);
    LONGS_EQUAL(1, rows.size());
    DOUBLES_EQUAL(10 * 0.5, rows[0].used, 0.2);

    fleet_fixture next;
    next.f.settings.placement.shares = share_rule::work;
    next.add_host("h1");
    set_workspaces(next.f, {{"a", 1, {}}});
    restore_shares(next.f, rows, next.now);
    auto j = make_job("j", {make_step(10, 1000)});
    j.workspace = "a";
    next.accept_job(j);
    ports::poll_answer poll;
    poll.call = {ports::runner_verdict::done, next.clock_ms()};
    ports::reported_run run;
    run.task = "j.0.0.0";
    run.run = 1;
    poll.running = {run};
    handle_poll_answer(next.f, "h1", next.now, poll, next.now, next.events);
    DOUBLES_EQUAL(rows[0].used + 1, next.f.shares.accounts[0]["a"].used, 0.1);
}

// Work beyond its share fills at most a fifth of the pool while others wait that can't start in the
// gaps; without that bound it would occupy each gap, and they would wait for as long as it lasts.
TEST(share_account_charges, work_beyond_its_share_holds_a_fifth_of_the_pool)
{
    occupy_one_core_each();
    exhaust("b");
    accept("a", "a1", make_step(1, 4000));
    accept("b", "b1", make_step(30, 1000));
    LONGS_EQUAL(8, starts_of("b")); // of 40 cores
    CHECK(explain("b1").find("workspace b has used 1000008 of its share of 200 core-seconds, so "
                             "others come first") != std::string::npos);
    CHECK(explain("b1").find("has 20% of the pool") != std::string::npos);
    w.f.jobs.at("a1")->state = workflow::job_state::cancelled;
    LONGS_EQUAL(22, starts_of("b"));
}

TEST(share_account_charges, long_running_tasks_are_never_blocked)
{
    occupy_one_core_each();
    exhaust("b");
    accept("a", "a1", make_step(1, 4000));
    auto s = make_step(30, 1000);
    s.long_running = true;
    accept("b", "b1", s);
    LONGS_EQUAL(30, starts_of("b"));
}

// Guards against capacity that stays idle for tasks that would not start with it.
TEST(share_account_charges, nothing_is_kept_for_tasks_that_cannot_start)
{
    struct row
    {
        const char* name;
        void (*change)(fleet& f, workflow::step& s);
    };
    const row rows[] = {
        {"larger than any host",
            [](fleet&, workflow::step& s)
            {
                s.need.cpu = 5000;
            }},
        {"no host with the label",
            [](fleet&, workflow::step& s)
            {
                s.required_label = "none";
            }},
        {"at its cap",
            [](fleet& f, workflow::step&)
            {
                set_workspaces(f, {{"a", 1, {500, 0, 0}}});
                f.workspaces.entries["a"].held.cpu = 500;
                f.hosts.at("h0").orphaned_runs = 1;
            }},
        {"more gang members than the pool has room for",
            [](fleet&, workflow::step& s)
            {
                s.gang = true;
                s.tasks = 50;
            }},
        {"one on each host already",
            [](fleet&, workflow::step& s)
            {
                s.max_per_host = 1;
                s.need.cpu = 1;
            }},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        each.f.settings.placement.shares = share_rule::work;
        set_workspaces(each.f, {{"a", 1, {}}, {"b", 1, {}}});
        for (int i = 0; i < hosts; ++i)
        {
            each.add_host("h" + std::to_string(i));
        }
        auto s = make_step(20, 1000);
        it.change(each.f, s);
        auto a = make_job("a1", {s});
        a.workspace = "a";
        each.accept_job(a);
        each.plan_next();
        restore_shares(each.f, {{share_level::workspace, "b", 1e6}}, each.now);
        auto b = make_job("b1", {make_step(100, 1000)});
        b.workspace = "b";
        each.accept_job(b);
        CHECK_TEXT(each.plan_next().starts.size() > cores / 2, it.name);
    }
}

// Guards against work that was begun and is wasted, because its workspace came beyond its share.
TEST(share_account_charges, a_job_whose_first_step_has_run_keeps_its_place)
{
    auto j = make_job("b1", {make_step(1, 1000), make_step(1, 1000)});
    j.steps[1].depends_on = {0};
    j.workspace = "b";
    j.queue = "r";
    w.f.settings.placement.share.by_queue = true;
    w.accept_job(j);
    const auto first = w.plan_next().starts.at(0);
    exhaust("b");
    accept("a", "a1", make_step(1, 1000));
    w.plan_next();
    LONGS_EQUAL(4, work_share_rank(w.f, *w.f.jobs.at("b1")));
    w.report_end(first, ports::run_end::done, 1);
    w.plan_next();
    LONGS_EQUAL(0, work_share_rank(w.f, *w.f.jobs.at("b1")));
}

// The rank adds 4, 2 and 1 for a workspace, a queue and a zone beyond their shares.
TEST(share_account_charges, a_workspace_weighs_more_than_a_queue_and_a_queue_more_than_a_zone)
{
    w.f.settings.placement.share = {10000ms, true, true};
    const auto add = [&](const char* workspace, const char* queue, const char* zone)
    {
        auto j = make_job(std::string(workspace) + queue + zone, {make_step(100, 1000)});
        j.workspace = workspace;
        j.queue = queue;
        j.zone = zone;
        w.accept_job(j);
    };
    for (const auto* const workspace : {"a", "b"})
    {
        for (const auto* const queue : {"q", "r"})
        {
            for (const auto* const zone : {"", "y", "z"})
            {
                add(workspace, queue, zone);
            }
        }
    }
    restore_shares(w.f,
        {{share_level::workspace, "b", 1e6},
            {share_level::queue, "r", 1e6},
            {share_level::zone, "z", 1e6}},
        w.now);
    w.plan_next();
    const auto rank = [&](const char* id)
    {
        return work_share_rank(w.f, *w.f.jobs.at(id));
    };
    LONGS_EQUAL(0, rank("aqy"));
    LONGS_EQUAL(0, rank("aq")); // without a zone, from a node of the previous version
    LONGS_EQUAL(1, rank("aqz"));
    LONGS_EQUAL(2, rank("ary"));
    LONGS_EQUAL(3, rank("arz"));
    LONGS_EQUAL(4, rank("bqy"));
    LONGS_EQUAL(7, rank("brz"));
}

TEST(share_account_charges, a_change_is_logged_once)
{
    const auto logged = [&](const std::string& event)
    {
        return std::count_if(w.events.begin(),
            w.events.end(),
            [&](const auto& it)
            { return it.event == event && it.reason.find(" name=b ") != std::string::npos; });
    };
    accept("a", "a1", make_step(50, 1000));
    accept("b", "b1", make_step(50, 1000));
    exhaust("b");
    w.plan_next();
    w.plan_next();
    LONGS_EQUAL(1, logged("share_exceeded"));
    LONGS_EQUAL(0, logged("share_restored"));
    restore_shares(w.f, {}, w.now);
    account("b").reported = true;
    w.plan_next();
    w.plan_next();
    LONGS_EQUAL(1, logged("share_exceeded"));
    LONGS_EQUAL(1, logged("share_restored"));
}
