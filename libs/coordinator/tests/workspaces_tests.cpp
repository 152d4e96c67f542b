#include "bookkeeping.hpp"
#include "coordinator/explain.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

workflow::job job_of(
    const std::string& workspace, const std::string& id, std::vector<workflow::step> steps)
{
    auto j = make_job(id, std::move(steps));
    j.workspace = workspace;
    return j;
}

workspace_settings make_workspace(const std::string& name, std::int64_t cpu, int weight = 10)
{
    workspace_settings w;
    w.name = name;
    w.weight = weight;
    w.cap.cpu = cpu;
    return w;
}

} // namespace

TEST_GROUP(workspaces)
{
    fleet_fixture w;

    void setup() override
    {
        for (const auto* const it : {"h1", "h2", "h3"})
        {
            w.add_host(it);
        }
    }

    void configure(std::int64_t cpu)
    {
        set_workspaces(w.f, {make_workspace("a", cpu), make_workspace("b", 0)});
    }

    std::string explain(const std::string& id)
    {
        std::string out;
        for (const auto& it : explain_job(w.f, id, w.now, wall_ms))
        {
            out += it;
        }
        return out;
    }

    void cancel(const std::string& id)
    {
        cancel_job(w.f, id, w.now, w.events);
    }
};

TEST(workspaces, a_cap_bounds_what_runs_and_others_do_not_wait_behind)
{
    configure(2500);
    w.accept_job(job_of("a", "j1", {make_step(6, 1000)}));
    w.accept_job(job_of("b", "j2", {make_step(6, 1000)}));
    LONGS_EQUAL(2 + 6, w.plan_next().starts.size());
    LONGS_EQUAL(2000, w.f.workspaces.entries["a"].used.cpu);
    CHECK(explain("j1").find("workspace a is at its cap") != std::string::npos);
    LONGS_EQUAL(1, w.f.workspaces.entries["a"].capped_steps);
}

TEST(workspaces, each_limit_counts_and_zero_is_no_limit)
{
    struct row
    {
        const char* name;
        workflow::resources cap;
        std::size_t starts;
    };
    const row rows[] = {
        {"none", {0, 0, 0}, 6},
        {"cpu", {3000, 0, 0}, 3},
        {"memory", {0, 200, 0}, 2},
        {"gpus", {0, 0, 1}, 1},
        {"the smallest", {4000, 100, 4}, 1},
    };
    for (const auto& it : rows)
    {
        fleet_fixture each;
        for (const auto* const host : {"h1", "h2"})
        {
            each.add_host(host);
            each.f.hosts[host].capacity.gpus = 8;
        }
        workspace_settings a{"a", 1, it.cap};
        set_workspaces(each.f, {a});
        auto s = make_step(6, 1000);
        s.need.memory_mb = 100;
        s.need.gpus = 1;
        each.accept_job(job_of("a", "j", {s}));
        LONGS_EQUAL_TEXT(it.starts, each.plan_next().starts.size(), it.name);
    }
}

// Guards against a task that waits for ever because it alone exceeds its workspace's cap.
TEST(workspaces, a_task_above_the_cap_runs_alone)
{
    configure(500);
    w.accept_job(job_of("a", "j", {make_step(3, 1000)}));
    const auto first = w.plan_next().starts;
    LONGS_EQUAL(1, first.size());
    w.answer_start(first[0]);
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.report_end(first[0], ports::run_end::done, 1);
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

// Guards against members of a gang that start without the others because of the cap.
TEST(workspaces, a_gang_starts_whole_or_not_at_all)
{
    configure(3000);
    auto s = make_step(3, 1000);
    s.gang = true;
    w.accept_job(job_of("a", "j1", {make_step(1, 500)}));
    LONGS_EQUAL(1, w.plan_next().starts.size());
    w.accept_job(job_of("a", "j2", {s}));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    configure(3500);
    LONGS_EQUAL(3, w.plan_next().starts.size());
}

// Guards against counting a start as over because its answer is missing, or a run because a stop
// was ordered: both may be active.
TEST(workspaces, unanswered_starts_and_stopping_runs_count)
{
    configure(2000);
    w.accept_job(job_of("a", "j1", {make_step(2, 1000)}));
    const auto started = w.plan_next().starts;
    w.answer_start(started[0], ports::runner_verdict::unknown);
    w.answer_start(started[1]);
    cancel("j1");
    w.accept_job(job_of("a", "j2", {make_step(2, 1000)}));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.report_end(started[1], ports::run_end::stopped, 1);
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

TEST(workspaces, a_lowered_cap_stops_nothing_and_a_raised_one_starts_more)
{
    configure(4000);
    w.accept_job(job_of("a", "j", {make_step(8, 1000)}));
    LONGS_EQUAL(4, w.plan_next().starts.size());
    configure(1000);
    const auto p = w.plan_next();
    LONGS_EQUAL(0, p.starts.size());
    LONGS_EQUAL(0, p.stops.size());
    configure(6000);
    LONGS_EQUAL(2, w.plan_next().starts.size());
}

// Guards against starts of a coordinator that has not read the caps yet.
TEST(workspaces, nothing_of_a_workspace_starts_before_the_first_configuration)
{
    w.accept_job(job_of("a", "j1", {make_step(1, 1000)}));
    w.accept_job(job_of("", "j2", {make_step(1, 1000)}));
    const auto p = w.plan_next();
    LONGS_EQUAL(1, p.starts.size());
    STRCMP_EQUAL("j2", p.starts[0].task.job.c_str());
    CHECK(explain("j1").find("not been read") != std::string::npos);
    configure(0);
    LONGS_EQUAL(1, w.plan_next().starts.size());
}

// Guards against starting within an invalid cap as if there were none.
TEST(workspaces, nothing_starts_under_an_invalid_cap)
{
    auto a = make_workspace("a", 1000);
    a.cap_is_known = false;
    set_workspaces(w.f, {a});
    w.accept_job(job_of("a", "j", {make_step(1, 1000)}));
    LONGS_EQUAL(0, w.plan_next().starts.size());
    CHECK(explain("j").find("invalid") != std::string::npos);
}

// Guards against a cap that is doubled over a take-over: a previous coordinator's runs on a host
// that was not polled yet are invisible, while new jobs of the workspace find room elsewhere.
TEST(workspaces, a_successor_counts_what_a_previous_coordinator_may_have_running)
{
    configure(4000);
    w.f.term_start_revision = 10;
    add_inherited_hosts(w.f, {{{"h9", "h9:1", {}}, "m9", "p", {}}}, w.now);
    w.accept_job(job_of("a", "old", {make_step(3, 1000)})); // accepted before the term
    auto next = job_of("a", "new", {make_step(3, 1000)});
    add_job(w.f, next, 11, {}, 0);
    LONGS_EQUAL(1, w.plan_next().starts.size());
    CHECK(explain("new").find("previous coordinator") != std::string::npos);
    w.f.hosts.erase("h9");
    LONGS_EQUAL(3, w.plan_next().starts.size());
}

// Guards against the same for jobs that ended just before the take-over: their record is removed,
// but their runs may still be stopping.
TEST(workspaces, a_successor_counts_what_ended_jobs_may_have_running)
{
    configure(4000);
    add_held_resources(w.f, "a", {3000, 0, 0});
    add_inherited_hosts(w.f, {{{"h9", "h9:1", {}}, "m9", "p", {}}}, w.now);
    w.accept_job(job_of("a", "new", {make_step(3, 1000)}));
    w.f.jobs.at("new")->inherited = false;
    LONGS_EQUAL(1, w.plan_next().starts.size());
    w.f.hosts.erase("h9");
    w.f.hosts["h1"].orphaned_runs = 1; // one of them, which is being stopped
    LONGS_EQUAL(0, w.plan_next().starts.size());
    w.f.hosts["h1"].orphaned_runs = 0;
    LONGS_EQUAL(2, w.plan_next().starts.size());
}

TEST(workspaces, what_an_ended_job_holds_is_recorded)
{
    configure(0);
    w.accept_job(job_of("a", "j", {make_step(3, 1000)}));
    LONGS_EQUAL(3, w.plan_next().starts.size());
    LONGS_EQUAL(0, progress_of(*w.f.jobs.at("j")).held.cpu);
    cancel("j");
    LONGS_EQUAL(3000, progress_of(*w.f.jobs.at("j")).held.cpu);
}

// Guards against one workspace's flood displacing the jobs of others from a full pool.
TEST(workspaces, jobs_beyond_a_share_come_last_and_use_idle_capacity)
{
    set_workspaces(w.f, {make_workspace("a", 0, 2), make_workspace("b", 0, 2)});
    for (int i = 0; i < 6; ++i)
    {
        w.accept_job(job_of("a", "a" + std::to_string(i), {make_step(3, 1000)}));
        rate_job(w.f, *w.f.jobs.at("a" + std::to_string(i)));
    }
    auto other = job_of("b", "b0", {make_step(6, 1000)});
    other.accepted_unix_ms += 500;
    w.accept_job(other);
    rate_job(w.f, *w.f.jobs.at("b0"));
    const auto p = w.plan_next();
    LONGS_EQUAL(12, p.starts.size());
    const auto of_b = std::count_if(
        p.starts.begin(), p.starts.end(), [](const auto& it) { return it.task.job == "b0"; });
    LONGS_EQUAL(6, of_b);
    CHECK(explain("a5").find("more than its share") != std::string::npos);
}

TEST(workspaces, a_share_counts_within_any_second)
{
    set_workspaces(w.f, {make_workspace("a", 0, 2)});
    struct row
    {
        std::int64_t at_ms;
        bool beyond;
    };
    const row rows[] = {{0, false},
        {400, false},
        {999, true},
        {1000, false},
        {1300, true},
        {1400, false},
        {5000, false}};
    int n = 0;
    for (const auto& it : rows)
    {
        auto j = job_of("a", "j" + std::to_string(n++), {make_step(1, 10)});
        j.accepted_unix_ms += it.at_ms;
        w.accept_job(j);
        auto& entry = *w.f.jobs.at(j.id);
        rate_job(w.f, entry);
        CHECK_EQUAL_TEXT(it.beyond, entry.beyond_share, j.id.c_str());
    }
}
