#include "admission.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <functional>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

namespace
{

constexpr double cores = 100;

/// A digest of pool p, whose admitted work keeps it busy for \p backlog.
hosted::forecast_digest digest_with(core::millis backlog)
{
    hosted::forecast_digest d;
    d.pools["p"] = {cores, backlog, cores * static_cast<double>(backlog.count())};
    d.times.images["fast"] = {50, 1};
    return d;
}

/// A job of one step, with the objective of the customers: 1.6 times its chain and 0.6 s.
workflow::job job_of(int tasks, core::millis run_time)
{
    workflow::job j;
    j.id = "a";
    j.pool = "p";
    j.stretch = 1.6;
    j.slack = 600ms;
    workflow::step s;
    s.tasks = tasks;
    s.need.cpu = 1000;
    s.estimated_run_time = run_time;
    j.steps = {s};
    return j;
}

using change_job = std::function<void(workflow::job&)>;

struct load_row
{
    const char* load;
    core::millis backlog;
    core::millis digest_age;
    int tasks;
    core::millis run_time;
    change_job change;
    const char* reason;
};

const change_job unchanged = [](workflow::job&) {
};

// A job of 1,000 ms has an objective of 2,200 ms and a tolerance of 300 ms: it may wait 1,500 ms.
const load_row loads[] = {
    {"pool idle, tiny job", 0ms, 0ms, 1, 20ms, unchanged, "in_time"},
    {"pool idle, huge job", 0ms, 0ms, 5000, 60000ms, unchanged, "in_time"},
    {"pool idle, objective below the chain",
        0ms,
        0ms,
        1,
        9000ms,
        [](workflow::job& j) { j.stretch = 0.1; },
        "in_time"},
    {"pool full for 1 s, usual job", 1000ms, 0ms, 10, 1000ms, unchanged, "in_time"},
    {"pool full for 1 s, tiny job", 1000ms, 0ms, 1, 20ms, unchanged, "hopeless"},
    {"pool full for 1 s, huge job", 1000ms, 0ms, 5000, 60000ms, unchanged, "in_time"},
    {"pool full up to the bound", 1500ms, 0ms, 10, 1000ms, unchanged, "in_time"},
    {"pool full just beyond the bound", 1501ms, 0ms, 10, 1000ms, unchanged, "hopeless"},
    {"pool full for 10 s, usual job", 10000ms, 0ms, 10, 1000ms, unchanged, "hopeless"},
    {"pool full for 10 s, tiny job", 10000ms, 0ms, 1, 20ms, unchanged, "hopeless"},
    {"pool full for 10 s, huge job", 10000ms, 0ms, 5000, 60000ms, unchanged, "in_time"},
    {"backlog done since the digest", 2000ms, 600ms, 10, 1000ms, unchanged, "in_time"},
    {"backlog not done since the digest", 2000ms, 400ms, 10, 1000ms, unchanged, "hopeless"},
    {"digest of a frozen coordinator", 60000ms, 3001ms, 10, 1000ms, unchanged, "digest_old"},
    {"digest as old as it may be", 60000ms, 3000ms, 10, 1000ms, unchanged, "hopeless"},
    {"digest of unknown age", 60000ms, core::millis::max(), 10, 1000ms, unchanged, "digest_old"},
    {"unknown image: the declared time counts",
        1600ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.steps[0].image = "new"; },
        "hopeless"},
    {"known image, declared far too long",
        1600ms,
        0ms,
        1,
        30000ms,
        [](workflow::job& j) { j.steps[0].image = "fast"; },
        "hopeless"},
    {"a chain of two steps",
        2000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j)
        {
            j.steps.push_back(j.steps[0]);
            j.steps[1].depends_on = {0};
        },
        "in_time"},
    {"long-running",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.steps[0].long_running = true; },
        "not_batch"},
    {"batch with a long-running step",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j)
        {
            j.steps.push_back(j.steps[0]);
            j.steps[1].long_running = true;
        },
        "not_batch"},
    {"best effort",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.steps[0].best_effort = true; },
        "not_batch"},
    {"scheduled",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.timing.occurrences = 3; },
        "not_batch"},
    {"advised",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.needs_advice = true; },
        "not_batch"},
    {"a pool that the coordinator does not know",
        60000ms,
        0ms,
        1,
        1000ms,
        [](workflow::job& j) { j.pool = "q"; },
        "pool_unknown"},
};

/// \return the Retry-After of \p n refused jobs, in seconds, each with the number of its jobs.
std::map<std::int64_t, int> returns_of(int n, core::millis backlog)
{
    std::map<std::int64_t, int> out;
    const auto d = digest_with(backlog);
    for (int i = 0; i < n; ++i)
    {
        const auto spread = static_cast<double>(core::stable_hash("job" + std::to_string(i))) /
                            static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        const auto it = hosted::judge_submission(job_of(10, 20ms), d, 0ms, {}, spread);
        CHECK_FALSE(it.accepted);
        LONGS_EQUAL(0, it.retry_after.count() % 1000);
        ++out[it.retry_after.count() / 1000];
    }
    return out;
}

int largest_of(const std::map<std::int64_t, int>& returns)
{
    int most = 0;
    for (const auto& [second, n] : returns)
    {
        most = std::max(most, n);
    }
    return most;
}

} // namespace

TEST_GROUP(admission){};

// Guards against refusing a job that could be in time, or that has no deadline to meet, and against
// accepting one that only delays others.
TEST(admission, jobs_are_judged_by_the_load)
{
    for (const auto& it : loads)
    {
        auto j = job_of(it.tasks, it.run_time);
        it.change(j);
        const auto d = hosted::judge_submission(j, digest_with(it.backlog), it.digest_age, {}, 0.5);
        STRCMP_EQUAL_TEXT(it.reason, d.reason, it.load);
        CHECK_TEXT(d.accepted == (std::string{it.reason} != "hopeless"), it.load);
        CHECK_TEXT(d.accepted || (d.retry_after >= 1s && d.retry_after <= 10s), it.load);
    }
}

// No coordinator has published a forecast yet, or the published one is damaged.
TEST(admission, nothing_is_refused_without_a_digest)
{
    const auto d = hosted::judge_submission(job_of(1, 20ms), {}, 0ms, {}, 0.5);
    CHECK(d.accepted);
    STRCMP_EQUAL("no_digest", d.reason);
}

// A digest of another version might name a pool without capacity; the backlog can't be divided by
// it.
TEST(admission, a_pool_without_cores_refuses_nothing)
{
    auto digest = digest_with(60s);
    digest.pools["p"].cores = 0;
    STRCMP_EQUAL(
        "pool_unknown", hosted::judge_submission(job_of(1, 20ms), digest, 0ms, {}, 0.5).reason);
}

TEST(admission, the_decision_states_what_it_is_based_on)
{
    const auto d = hosted::judge_submission(job_of(10, 1000ms), digest_with(4s), 1s, {}, 0);
    LONGS_EQUAL(4000, d.expected.count());
    LONGS_EQUAL(2200, d.objective.count());
    LONGS_EQUAL(3000, d.retry_after.count());
}

// Refused callers that return together would be refused together again. A third is what a pool
// that is full for the backlog's time can be expected to take of them at once.
TEST(admission, refused_callers_do_not_return_together)
{
    const struct
    {
        const char* load;
        core::millis backlog;
        std::int64_t first;
        std::int64_t last;
        int most;
    } rows[] = {
        {"backlog of 1 s", 1000ms, 1, 2, 1000},
        {"backlog of 3 s", 3000ms, 4, 6, 400},
        {"backlog of 6 s", 6000ms, 6, 10, 333},
        {"backlog of 9 s", 9000ms, 6, 10, 333},
        {"backlog of a minute", 60000ms, 6, 10, 333},
    };
    for (const auto& it : rows)
    {
        const auto returns = returns_of(1000, it.backlog);
        CHECK_TEXT(returns.begin()->first >= it.first, it.load);
        CHECK_TEXT(returns.rbegin()->first <= it.last, it.load);
        CHECK_TEXT(largest_of(returns) <= it.most, it.load);
    }
}
