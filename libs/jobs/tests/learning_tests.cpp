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

// Declared sizes are up to three times too large or too small. The estimate follows the measured
// sizes of the kind with a margin on the safe side, and only after enough samples.
TEST(estimator, follows_the_measured_sizes_of_the_kind)
{
    struct row
    {
        int samples;
        double real; ///< relative to the declared value
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
            j.peak_use = {4 * it.real, 8 * it.real, 0};
            j.measured_run_time = core::millis{static_cast<std::int64_t>(10000 * it.real)};
            record_measurements(e, j);
        }
        const estimate made = estimate_for(e, make_job("k", "reconcile", ""), {});
        CHECK(made.size.processors >= 4 * it.low && made.size.processors <= 4 * it.high);
        CHECK(made.size.memory_gb >= 8 * it.low && made.size.memory_gb <= 8 * it.high);
        CHECK(made.run_time.count() >= 9999 * it.low && made.run_time.count() <= 10001 * it.high);
        DOUBLES_EQUAL(4.0, estimate_for(e, make_job("k", "other", ""), {}).size.processors, 0);
    }
}

TEST_GROUP(health)
{
    pool_health all;
    settings rules;
    core::mono_time now{core::millis{1000}};

    bool fail(const std::string& id, const std::string& kind, const std::string& host)
    {
        return record_failure(all, make_job(id, kind, host), rules, 10, now);
    }
};

// One worker fails every task at once and so appears to have free capacity. After three different
// jobs of two kinds it is set aside and probed with one job at a time, with growing delays. One
// success returns it to service.
TEST(health, a_worker_that_fails_everything_is_set_aside_and_probed)
{
    CHECK_FALSE(fail("a", "x", "bad"));
    CHECK_EQUAL(rules.max_starts_on_suspect_host, allowed_starts(all, "bad", 0, rules, now));
    CHECK_FALSE(fail("b", "x", "bad"));
    CHECK_TRUE(fail("c", "y", "bad"));
    CHECK_EQUAL(0, allowed_starts(all, "bad", 0, rules, now));
    now += rules.probe_delay;
    CHECK_EQUAL(1, allowed_starts(all, "bad", 0, rules, now));
    record_probe(all, "bad");
    CHECK_EQUAL(0, allowed_starts(all, "bad", 0, rules, now));
    CHECK_FALSE(fail("d", "x", "bad"));
    now += rules.probe_delay;
    CHECK_EQUAL(0, allowed_starts(all, "bad", 0, rules, now));
    now += rules.probe_delay;
    CHECK_EQUAL(1, allowed_starts(all, "bad", 0, rules, now));
    record_success(all, make_job("e", "x", "bad"));
    CHECK_EQUAL(rules.max_starts_on_proven_host, allowed_starts(all, "bad", 0, rules, now));
}

// A batch of broken jobs fails on every worker. The workers are healthy: none is set aside, the job
// is found to be at fault, and its kind is limited to one start at a time until one of the jobs
// runs well.
TEST(health, broken_jobs_do_not_set_workers_aside)
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
    CHECK_TRUE(is_job_at_fault(all, j, rules));
    CHECK_TRUE(is_start_limited(all, "lens/broken", rules));
    record_success(all, make_job("e", "broken", "w9"));
    CHECK_FALSE(is_start_limited(all, "lens/broken", rules));
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
        {"a", 0, 10, 40, 12.5},  // with some headroom
        {"b", 0, 100, 40, 27.5}, // the remaining quota
        {"a", 10, 30, 40, 12.5}, // b is short, too, and nothing remains
        {"b", 8, 100, 40, 20},   // both are short: its equal share
        {"a", 10, 30, 40, 20},
        {"a", 0, 0, 40, 0},
        {"b", 20, 100, 10, 20}, // the quota was lowered: the grant of running jobs remains
        {"b", 4, 100, 10, 10},
    };
    quota_document d;
    for (const auto& it : rows)
    {
        const quota_request request{
            "lens", it.pool, {1, "e1"}, {it.in_use, it.in_use, 0}, {it.wanted, it.wanted, 0}};
        adjust_grant(d, request, {it.quota, it.quota, 0});
        DOUBLES_EQUAL(it.granted, find_grant(d, request)->processors, 1e-9);
    }
}

// A former owner requested less, and its write is delayed until a newer owner has made a request
// and placed jobs. If the late request were applied, the difference would be granted to another
// pool while jobs run on it.
TEST(quota, a_late_request_of_a_former_owner_changes_nothing)
{
    quota_document d;
    const quota_request newer{"lens", "a", {2, "e2"}, {8, 8, 0}, {8, 8, 0}};
    const quota_request older{"lens", "a", {1, "e1"}, {1, 1, 0}, {1, 1, 0}};
    CHECK_TRUE(adjust_grant(d, older, {16, 16, 0}));
    CHECK_TRUE(adjust_grant(d, newer, {16, 16, 0}));
    CHECK_FALSE(adjust_grant(d, newer, {16, 16, 0}));
    CHECK_FALSE(adjust_grant(d, older, {16, 16, 0}));
    DOUBLES_EQUAL(10, find_grant(d, newer)->processors, 1e-9);
    CHECK_FALSE(find_grant(d, older).has_value());
}
