#include "fleet_fixture.hpp"
#include "workflow/records.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

namespace
{

workflow::job long_running_job()
{
    auto s = make_step(1, 1000);
    s.long_running = true;
    return make_job("a", {s});
}

/// \return the next start of the only task, which has been due for some time.
start_action next_start(fleet_fixture& w)
{
    w.now += 2s;
    for (auto& [id, h] : w.f.hosts)
    {
        h.last_answer_at = w.now;
    }
    const auto starts = w.plan_next().starts;
    LONGS_EQUAL(1, starts.size());
    return starts.at(0);
}

/// Starts the task so many times; each run fails.
/// \return the highest run number.
std::int64_t fail_runs(fleet_fixture& w, int runs)
{
    std::int64_t highest = 0;
    for (int i = 1; i <= runs; ++i)
    {
        const auto a = next_start(w);
        w.answer_start(a);
        w.report_end(a, ports::run_end::failed, i);
        highest = std::max(highest, a.run);
    }
    return highest;
}

/// A coordinator of the term with one host and the job.
void begin(fleet_fixture& w, std::int64_t term)
{
    w.f.term = term;
    w.add_host("h1");
    w.accept_job(long_running_job());
}

} // namespace

TEST_GROUP(run_numbers){};

// Guards against runners that refuse the starts of a new term, since a task had many runs before.
TEST(run_numbers, those_of_a_term_are_above_all_of_the_term_before)
{
    struct test_case
    {
        const char* text;
        std::int64_t term; ///< of the previous coordinator
        std::int64_t runs_per_term;
        int runs;
    };
    const auto present = coordinator_settings{}.runs_per_term;
    const test_case cases[] = {
        {"few runs", 3, present, 10},
        {"many runs in the first term", 0, present, 1500},
        {"many runs in a later term", 3, present, 20'000},
        {"the previous coordinator has a narrower range", 0, 1000, 1500},
        {"the same in a later term", 7, 1000, 1500},
    };
    for (const auto& it : cases)
    {
        fleet_fixture previous;
        previous.f.settings.runs_per_term = it.runs_per_term;
        begin(previous, it.term);
        const auto highest = fail_runs(previous, it.runs);
        fleet_fixture next;
        begin(next, it.term + 1);
        CHECK_TEXT(next_start(next).run > highest, it.text);
    }
}

// Guards against a task that stays down because its runner refuses each next run number as too low.
TEST(run_numbers, a_number_that_a_runner_refuses_is_passed_within_seconds)
{
    for (const std::int64_t missing : {1, 2, 500, 1'000'000, 100'000'000})
    {
        fleet_fixture w;
        begin(w, 5);
        auto a = next_start(w);
        const auto refused_through = a.run + missing;
        core::millis absence{0};
        for (; a.run <= refused_through && absence < 6s; a = next_start(w))
        {
            w.answer_start(a, ports::runner_verdict::superseded);
            absence += w.f.settings.refused_start_delay;
        }
        const auto text = std::to_string(missing);
        CHECK_TEXT(a.run > refused_through, text.c_str());
        w.answer_start(a);
        w.report_end(a, ports::run_end::failed, 1);
        LONGS_EQUAL_TEXT(a.run + 1, next_start(w).run, text.c_str());
    }
}

// Guards against refused starts that use up the run numbers of the next term.
TEST(run_numbers, refused_starts_never_reach_the_numbers_of_the_next_term)
{
    fleet_fixture w;
    begin(w, 5);
    for (int i = 0; i < 500; ++i)
    {
        w.answer_start(next_start(w), ports::runner_verdict::superseded);
    }
    CHECK(next_start(w).run <= 6 * w.f.settings.runs_per_term);
}

// Guards against run numbers that the next coordinator or a runner can't read.
TEST(run_numbers, those_of_the_highest_term_are_readable)
{
    const auto j = make_job("a", {make_step(1, 1000)});
    const coordinator_settings s;
    const auto last = (max_term(s) + 1) * s.runs_per_term;
    workflow::job_progress p;
    p.tasks.resize(1);
    p.tasks[0].failed_runs = {last};
    p.tasks[0].lost_runs = {{last, "h1", {}, true, true, true}};
    CHECK(core::is_ok(workflow::read_progress(j, workflow::write_progress(j, p))));
    CHECK(last <= workflow::max_run_number);
    CHECK(max_term(s) > 10'000'000);
}
