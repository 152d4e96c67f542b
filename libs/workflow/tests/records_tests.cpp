#include "workflow/checks.hpp"
#include "workflow/records.hpp"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::workflow;

namespace
{

job job_with_all_fields()
{
    job j;
    j.id = "00ff";
    j.queue = "quotes";
    j.pool = "p";
    j.payload = "a \"text\" with \\ and \u00e9";
    j.accepted_unix_ms = 1700000000123;
    j.priority = 1;
    j.max_attempts = 3;
    j.stretch = 1.6;
    j.slack = core::millis{600};
    j.needs_advice = true;
    j.timing = {2, 1700000001000, 500};
    step s;
    s.tasks = 3;
    s.need = {1800, 4096, 1};
    s.estimated_run_time = core::millis{900};
    s.checkpoints = true;
    s.required_label = "a";
    s.preferred_rack = "r1-3";
    s.max_per_host = 2;
    s.image = "img";
    s.tail_latency_target = core::millis{40};
    s.max_unavailable = 1;
    j.steps.push_back(s);
    s.depends_on = {0};
    s.gang = true;
    s.prefers_one_rack = true;
    s.speculative = true;
    s.long_running = true;
    s.best_effort = true;
    j.steps.push_back(s);
    return j;
}

job job_of_steps(std::vector<step> steps)
{
    job j;
    j.steps = std::move(steps);
    return j;
}

step step_depending_on(std::vector<int> after)
{
    step s;
    s.depends_on = std::move(after);
    return s;
}

} // namespace

TEST_GROUP(workflow_records){};

TEST(workflow_records, job_round_trip_keeps_all_fields)
{
    const auto j = job_with_all_fields();
    const auto text = write_job(j);
    const auto read = read_job(text);
    CHECK(core::is_ok(read));
    STRCMP_EQUAL(text.c_str(), write_job(core::value(read)).c_str());
    STRCMP_EQUAL(j.payload.c_str(), core::value(read).payload.c_str());
    CHECK(core::value(read).steps[1].depends_on == std::vector<int>{0});
    CHECK(core::value(read).steps[0].need == j.steps[0].need);
}

TEST(workflow_records, progress_round_trip_keeps_all_fields)
{
    const auto j = job_with_all_fields();
    job_progress p;
    p.state = job_state::running;
    p.tasks.resize(12);
    p.tasks[1].done = true;
    p.tasks[5].failed_runs = {3, 1007};
    p.tasks[5].lost_runs = {{1008, "i-1", "m-1", true, false, true},
        {1009, "i-2", {}, true, true},
        {1010, "i-3", {}, true, true, false, true}};
    p.tasks[7].checkpoint = "c7";
    p.tasks[7].checkpoint_run = 1010;
    const auto read = read_progress(j, write_progress(j, p));
    CHECK(core::is_ok(read));
    const auto& q = core::value(read);
    CHECK(q.state == job_state::running);
    LONGS_EQUAL(12, q.tasks.size());
    CHECK(q.tasks[1].done);
    CHECK_FALSE(q.tasks[0].done);
    CHECK(q.tasks[5].failed_runs == (std::vector<std::int64_t>{3, 1007}));
    CHECK(q.tasks[5].lost_runs == p.tasks[5].lost_runs);
    STRCMP_EQUAL("c7", q.tasks[7].checkpoint.c_str());
    LONGS_EQUAL(1010, q.tasks[7].checkpoint_run);
}

// A loss under the first coordinator has run number 0, and the next one can't read the progress.
TEST(workflow_records, a_lost_run_with_number_0_can_be_read_back)
{
    const auto j = job_with_all_fields();
    job_progress p;
    p.state = job_state::running;
    p.tasks.resize(12);
    p.tasks[5].lost_runs = {{0, {}, {}, false, false, false}};
    const auto read = read_progress(j, write_progress(j, p));
    CHECK(core::is_ok(read));
    CHECK(core::value(read).tasks[5].lost_runs == p.tasks[5].lost_runs);
}

TEST(workflow_records, damaged_texts_are_rejected)
{
    const auto j = job_with_all_fields();
    for (const char* text :
        {"",
            "{",
            "[]",
            "{}",
            R"({"state":"odd"})",
            R"({"steps":3})",
            R"({"state":"running","tasks":{"99":{"failed_runs":[1]}}})",
            R"({"state":"running","done":"000000000000","tasks":{"5":{"checkpoint_run":-1}}})",
            R"({"state":"running","done":"000000000000","tasks":{"5":{"lost_runs":3}}})",
            R"({"state":"running","done":"000000000000","tasks":{"5":{"lost_runs":[{}]}}})",
            R"({"state":"running","done":"000000000000","tasks":{"5":{"lost_runs":[{"run":-1}]}}})",
            R"({"state":"running","done":"000000000000","tasks":{"5":{"lost_runs":[{"run":1,"host":7}]}}})"})
    {
        CHECK_FALSE(core::is_ok(read_progress(j, text)));
    }
    for (const char* text :
        {"",
            "{}",
            R"({"steps":[{"tasks":"x"}]})",
            R"({"steps":[]})",
            R"({"steps":[{"tasks":0}]})",
            R"({"steps":[{"tasks":2000000000}]})",
            R"({"steps":[{"after":[3]}]})",
            R"({"steps":[{}],"stretch":1e300})",
            R"({"steps":[{}],"slack_ms":9223372036854775807})",
            R"({"steps":[{}],"accepted_unix_ms":9223372036854775807})",
            R"({"steps":[{}],"occurrences":9000,"first_unix_ms":1,"interval_ms":9000000000000000})"})
    {
        CHECK_FALSE(core::is_ok(read_job(text)));
    }
}

TEST(workflow_records, task_names_and_indices_round_trip)
{
    const task_name name{"00ff", 2, 1, 17};
    STRCMP_EQUAL("00ff.2.1.17", write_task_name(name).c_str());
    CHECK(core::value(read_task_name("00ff.2.1.17")) == name);
    for (const char* text : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1..3"})
    {
        CHECK_FALSE(core::is_ok(read_task_name(text)));
    }
    const auto j = job_with_all_fields();
    for (std::size_t i = 0; i < 12; ++i)
    {
        const auto it = name_of_task(j, i);
        CHECK(has_task(j, it));
        LONGS_EQUAL(i, task_index(j, it.occurrence, it.step, it.index));
    }
    CHECK_FALSE(has_task(j, {"00ff", 2, 0, 0}));
    CHECK_FALSE(has_task(j, {"00ff", 0, 2, 0}));
    CHECK_FALSE(has_task(j, {"00ff", 0, 0, 3}));
}

TEST_GROUP(workflow_checks){};

TEST(workflow_checks, each_fault_is_reported_with_its_pointer)
{
    struct row
    {
        job j;
        const char* pointer;
        const char* text;
    };
    step none;
    none.tasks = 0;
    step negative;
    negative.need.cpu = -1;
    auto large = job_of_steps({step{}});
    large.payload = std::string(4001, 'x');
    auto often = job_of_steps({step{}});
    often.timing.occurrences = 30000;
    const row rows[] = {
        {job_of_steps({}), "/steps", "at least 1 step"},
        {job_of_steps({none}), "/steps/0", "at least 1 task"},
        {job_of_steps({negative}), "/steps/0", "negative"},
        {job_of_steps({step{}, step_depending_on({1})}), "/steps/1/after/0", "waits for itself"},
        {job_of_steps({step{}, step_depending_on({2}), step{}}),
            "/steps/1/after/0",
            "not an earlier step"},
        {job_of_steps({step{}, step_depending_on({0, -1})}),
            "/steps/1/after/1",
            "not an earlier step"},
        {large, "", "longer than"},
        {often, "/steps", "more than 20000 tasks"},
    };
    for (const auto& it : rows)
    {
        const auto found = check_job(it.j);
        LONGS_EQUAL_TEXT(1, found.size(), it.text);
        STRCMP_EQUAL(it.pointer, found[0].where.pointer.c_str());
        STRCMP_CONTAINS(it.text, found[0].text.c_str());
    }
    CHECK(check_job(job_with_all_fields()).empty());
}

// A job passes the check of submissions beyond a bound of the record's reader, and is lost.
TEST(workflow_checks, the_check_and_the_reader_of_records_agree_on_the_bounds)
{
    constexpr job_bounds b;
    struct row
    {
        const char* name;
        std::function<void(job&, std::int64_t)> set;
        std::int64_t bound;
    };
    const auto text = [](std::int64_t n)
    {
        return std::string(static_cast<std::size_t>(n), 'x');
    };
    const auto bytes = static_cast<std::int64_t>(b.name_bytes);
    const auto tasks = static_cast<std::int64_t>(b.tasks);
    const row rows[] = {
        {"payload",
            [&](job& j, std::int64_t n) { j.payload = text(n); },
            static_cast<std::int64_t>(b.payload_bytes)},
        {"occurrences",
            [](job& j, std::int64_t n) { j.timing.occurrences = static_cast<int>(n); },
            tasks},
        {"first time", [](job& j, std::int64_t n) { j.timing.first_unix_ms = n; }, b.unix_ms},
        {"interval", [](job& j, std::int64_t n) { j.timing.interval_ms = n; }, b.unix_ms},
        {"tasks", [](job& j, std::int64_t n) { j.steps[0].tasks = static_cast<int>(n); }, tasks},
        {"cpu", [](job& j, std::int64_t n) { j.steps[0].need.cpu = n; }, b.amount},
        {"memory", [](job& j, std::int64_t n) { j.steps[0].need.memory_mb = n; }, b.amount},
        {"GPUs", [](job& j, std::int64_t n) { j.steps[0].need.gpus = n; }, b.amount},
        {"estimate",
            [](job& j, std::int64_t n) { j.steps[0].estimated_run_time = core::millis{n}; },
            b.duration.count()},
        {"tail latency",
            [](job& j, std::int64_t n) { j.steps[0].tail_latency_target = core::millis{n}; },
            b.duration.count()},
        {"label", [&](job& j, std::int64_t n) { j.steps[0].required_label = text(n); }, bytes},
        {"rack", [&](job& j, std::int64_t n) { j.steps[0].preferred_rack = text(n); }, bytes},
        {"image", [&](job& j, std::int64_t n) { j.steps[0].image = text(n); }, bytes},
        {"dependencies",
            [](job& j, std::int64_t n)
            { j.steps.emplace_back().depends_on.assign(static_cast<std::size_t>(n), 0); },
            static_cast<std::int64_t>(b.steps)},
        {"steps",
            [](job& j, std::int64_t n) { j.steps.resize(static_cast<std::size_t>(n)); },
            static_cast<std::int64_t>(b.steps)},
    };
    for (const auto& it : rows)
    {
        auto within = job_of_steps({step{}});
        it.set(within, it.bound);
        CHECK_TEXT(check_job(within).empty(), it.name);
        CHECK_TEXT(core::is_ok(read_job(write_job(within))), it.name);
        auto beyond = job_of_steps({step{}});
        it.set(beyond, it.bound + 1);
        CHECK_FALSE_TEXT(check_job(beyond).empty(), it.name);
        CHECK_FALSE_TEXT(core::is_ok(read_job(write_job(beyond))), it.name);
    }
}

TEST(workflow_checks, all_faults_are_reported_together)
{
    step s;
    s.tasks = 0;
    s.depends_on = {5};
    LONGS_EQUAL(4, check_job(job_of_steps({s, s})).size());
}

TEST(workflow_checks, critical_path_follows_dependencies)
{
    auto a = step{};
    a.estimated_run_time = core::millis{100};
    auto b = step_depending_on({0});
    b.estimated_run_time = core::millis{50};
    auto c = step_depending_on({0, 1});
    c.estimated_run_time = core::millis{10};
    LONGS_EQUAL(160, critical_path({a, b, c}).count());
    LONGS_EQUAL(150, critical_path({a, b, a}).count());
}

// Records of the previous version name no zone, and it ignores the key.
TEST(workflow_records, the_zone_of_a_job_is_optional)
{
    auto j = job_with_all_fields();
    CHECK(write_job(j).find("zone") == std::string::npos);
    j.zone = "z1";
    STRCMP_EQUAL("z1", core::value(read_job(write_job(j))).zone.c_str());
}
