#include "jobs/estimator.hpp"
#include "jobs/health.hpp"
#include "jobs/quota.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs;

namespace
{

job make_job(const std::string& id, const std::string& kind, const std::string& host)
{
    job j;
    j.id = id;
    j.team = "lens";
    j.kind = kind;
    j.host = host;
    j.declared = {4, 8, 0};
    j.run_time = core::millis{10000};
    j.idempotent = true;
    return j;
}

} // namespace

TEST_GROUP(estimator){};

// Declared sizes are up to three times too large or too small: the estimate follows the kind's real
// sizes, on the safe side of them, and only after it has seen enough.
TEST(estimator, follows_what_the_kind_really_takes)
{
    struct row
    {
        int samples;
        double real; ///< over declared
        double low;
        double high;
    };
    const row rows[] = {
        {0, 0.3, 1.0, 1.0}, {1, 0.3, 1.0, 1.0}, {20, 0.3, 0.29, 0.31}, {20, 3.0, 2.9, 3.1}};
    for (const auto& it : rows)
    {
        estimator e;
        for (int i = 0; i < it.samples; ++i)
        {
            job j = make_job("j", "reconcile", "w1");
            j.state = job_state::finished;
            j.used = {4 * it.real, 8 * it.real, 0};
            j.ran = core::millis{static_cast<std::int64_t>(10000 * it.real)};
            learn(e, j);
        }
        const estimate made = estimate_of(e, make_job("k", "reconcile", ""), {});
        CHECK(made.size.processors >= 4 * it.low && made.size.processors <= 4 * it.high);
        CHECK(made.size.memory_gb >= 8 * it.low && made.size.memory_gb <= 8 * it.high);
        CHECK(made.run_time.count() >= 9999 * it.low && made.run_time.count() <= 10001 * it.high);
        DOUBLES_EQUAL(4.0, estimate_of(e, make_job("k", "other", ""), {}).size.processors, 0);
    }
}

TEST_GROUP(health)
{
    pool_health all;
    settings rules;
    core::mono_time now{core::millis{1000}};

    bool fail(const std::string& id, const std::string& kind, const std::string& host)
    {
        return note_failure(all, make_job(id, kind, host), rules, 10, now);
    }
};

// One worker fails all it gets, at once, and so looks free: after three different jobs of two kinds
// it is set aside, is tried with one job at a time, ever more seldom, and is back after one
// success.
TEST(health, a_worker_that_fails_everything_is_set_aside_and_probed)
{
    CHECK_FALSE(fail("a", "x", "bad"));
    CHECK_EQUAL(rules.suspect_starts, starts_allowed(all, "bad", 0, rules, now));
    CHECK_FALSE(fail("b", "x", "bad"));
    CHECK_TRUE(fail("c", "y", "bad"));
    CHECK_EQUAL(0, starts_allowed(all, "bad", 0, rules, now));
    now += rules.probe_wait;
    CHECK_EQUAL(1, starts_allowed(all, "bad", 0, rules, now));
    note_probe(all, "bad");
    CHECK_EQUAL(0, starts_allowed(all, "bad", 0, rules, now));
    CHECK_FALSE(fail("d", "x", "bad"));
    now += rules.probe_wait;
    CHECK_EQUAL(0, starts_allowed(all, "bad", 0, rules, now));
    now += rules.probe_wait;
    CHECK_EQUAL(1, starts_allowed(all, "bad", 0, rules, now));
    note_success(all, make_job("e", "x", "bad"));
    CHECK_EQUAL(rules.starts_at_once, starts_allowed(all, "bad", 0, rules, now));
}

// A batch of broken jobs fails on every worker. The workers are well: none is set aside, the job is
// judged, and its kind is held back to one start at a time until one of them runs.
TEST(health, broken_jobs_do_not_condemn_the_workers)
{
    job j = make_job("a", "broken", "");
    for (const char* host : {"w1", "w2", "w3", "w4", "w5"})
    {
        for (const char* id : {"a", "b", "c", "d"})
        {
            const bool aside = fail(id, "broken", host);
            CHECK(!aside || std::string{host} == "w1");
        }
        j.failures.push_back({host, 1});
    }
    CHECK_FALSE(is_set_aside(all, "w2"));
    CHECK_TRUE(job_at_fault(all, j, rules));
    CHECK_TRUE(is_held_back(all, "lens/broken", rules));
    note_success(all, make_job("e", "broken", "w9"));
    CHECK_FALSE(is_held_back(all, "lens/broken", rules));
}

TEST(health, at_most_a_share_of_the_hosts_is_set_aside)
{
    int aside = 0;
    for (int host = 0; host < 10; ++host)
    {
        for (const char* id : {"a", "b", "c", "d"})
        {
            aside += fail(id, id, "w" + std::to_string(host)) ? 1 : 0;
        }
    }
    CHECK_EQUAL(3, aside);
}

TEST_GROUP(quota){};

TEST(quota, the_sum_of_grants_never_exceeds_it)
{
    struct row
    {
        const char* pool;
        double in_use;
        double wanted;
        double quota;
        double granted;
    };
    // Steps on one document.
    const row rows[] = {
        {"a", 0, 10, 40, 12.5},  // with some to spare
        {"b", 0, 100, 40, 27.5}, // what is left
        {"a", 10, 30, 40, 12.5}, // b lacks too, and nothing is left
        {"b", 8, 100, 40, 20},   // both lack: its equal part
        {"a", 10, 30, 40, 20},
        {"a", 0, 0, 40, 0},
        {"b", 20, 100, 10, 20}, // the quota was lowered: what runs stands
        {"b", 4, 100, 10, 10},
    };
    quota_document d;
    for (const auto& it : rows)
    {
        const quota_wish wish{
            "lens", it.pool, {1, "e1"}, {it.in_use, it.in_use, 0}, {it.wanted, it.wanted, 0}};
        adjust(d, wish, {it.quota, it.quota, 0});
        DOUBLES_EQUAL(it.granted, granted_to(d, wish)->processors, 1e-9);
    }
}

// A former owner asked for less, and its write is delayed until a newer owner has asked and placed
// jobs: taking it would hand the difference to another pool while jobs run on it.
TEST(quota, a_former_owners_late_wish_changes_nothing)
{
    quota_document d;
    const quota_wish newer{"lens", "a", {2, "e2"}, {8, 8, 0}, {8, 8, 0}};
    const quota_wish older{"lens", "a", {1, "e1"}, {1, 1, 0}, {1, 1, 0}};
    CHECK_TRUE(adjust(d, older, {16, 16, 0}));
    CHECK_TRUE(adjust(d, newer, {16, 16, 0}));
    CHECK_FALSE(adjust(d, newer, {16, 16, 0}));
    CHECK_FALSE(adjust(d, older, {16, 16, 0}));
    DOUBLES_EQUAL(10, granted_to(d, newer)->processors, 1e-9);
    CHECK_FALSE(granted_to(d, older).has_value());
}
