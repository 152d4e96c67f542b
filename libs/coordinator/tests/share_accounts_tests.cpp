#include "bookkeeping.hpp"
#include "coordinator/explain.hpp"
#include "fleet_fixture.hpp"
#include "run_ends.hpp"
#include "workflow/records.hpp"

#include <algorithm>
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

static share_load play(const share_row_of_test& it, share_rule rule)
{
    share_load load(it.flows, rule, it.share);
    configure(load.w.f, it.weights);
    load.play(20s);
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
        const auto unshared = play(it, share_rule::none);
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
