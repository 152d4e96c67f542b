#include "coordinator/demand.hpp"
#include "fleet_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;

TEST_GROUP(demand)
{
    coordinator::demand d;
    core::mono_time now{1000s};

    /// \param cores work that arrives, in core-seconds per second, as jobs of \p each core-seconds
    void feed(const std::string& pool, double cores, double each, core::millis how_long)
    {
        const core::micros gap{static_cast<std::int64_t>(1e6 * each / cores)};
        for (const auto end = now + how_long; now < end; now += gap)
        {
            record_arrival(d, pool, each, now);
        }
        update_demand(d, now);
    }
};

TEST(demand, a_steady_rate_is_measured_and_forgotten)
{
    feed("p", 100, 5, 6s);
    CHECK(d.pools["p"].fast_rate > 85 && d.pools["p"].fast_rate < 115);
    now += 4s;
    update_demand(d, now);
    CHECK(d.pools["p"].fast_rate < 5);
}

TEST(demand, one_large_job_is_no_busy_period)
{
    record_arrival(d, "p", 200, now);
    update_demand(d, now);
    CHECK_FALSE(d.pools["p"].busy);
    feed("p", 300, 10, 1s);
    CHECK(d.pools["p"].busy);
}

TEST(demand, a_rising_rate_is_extrapolated)
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
    CHECK(pool_needs(f, d, now).at("p").cores > p.fast_rate * d.settings.margin * 1.2);
}

// The busy period of a large fleet starts: work rises as steeply as possible, shown by many jobs or
// by few. Guards against a large pool that requests its hosts seconds late because of a caution
// that is meant for a few large jobs.
TEST(demand, a_rise_shown_by_many_jobs_is_extrapolated_further)
{
    const auto requested = [](int jobs, double work)
    {
        demand rising;
        const core::mono_time start{100s};
        for (int i = 0; i < jobs; ++i)
        {
            record_arrival(rising, "p", work / jobs, start + 400ms * i / jobs);
        }
        // Per core of the present rate.
        return pool_needs({}, rising, start + 400ms).at("p").cores / rising.pools.at("p").fast_rate;
    };
    constexpr double work = 1000;
    const double few = requested(2, work);
    const double many = requested(40, work);
    CHECK(many > 1.25 * few);
    CHECK(many < 2 * few);
    CHECK(requested(400, work) < 1.1 * many); // the factor is bounded
}

// A pool is busy for a few seconds. Hosts that are requested only as its rate rises arrive when the
// busy period is over, so the peak of another pool determines the request at its start.
TEST(demand, an_early_busy_period_requests_a_share_of_the_highest_peak)
{
    feed("p", 300, 10, 1s);
    const double peak = d.pools.at("p").peak_rate;
    now += 20s;
    update_demand(d, now);
    fleet f;
    for (int i = 0; i < 4; ++i)
    {
        record_arrival(d, "q", 8, now);
    }
    const auto least = peak * d.settings.early_phase_share * d.settings.margin;
    CHECK(pool_needs(f, d, now).at("q").cores >= least);
    now += d.settings.early_phase;
    CHECK(pool_needs(f, d, now).at("q").cores < least);
}

TEST(demand, a_repeated_order_of_pools_predicts_the_next)
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
    CHECK(next_busy_time(d, "a").has_value());
    CHECK(*next_busy_time(d, "a") == newest + 5s);
    CHECK_FALSE(next_busy_time(d, "b").has_value());
}

// Queues are busy in turn, and the first round is over. No pool has ever followed the newest one,
// so the order seen so far doesn't name the next. Hosts that are requested only when the rate of
// the next pool rises arrive 1.5 s late. In a round the pool whose busy period is longest ago is
// next.
TEST(demand, after_the_first_round_the_pool_that_was_first_is_next)
{
    const std::vector<std::string> pools{"a", "b", "c"};
    for (const auto& it : pools)
    {
        d.pools[it].updated_at = now;
        d.history.push_back({it, now});
        now += 5s;
    }
    const auto newest = d.history.back().at;
    CHECK(next_busy_time(d, "a") == std::optional(newest + 5s));
    CHECK_FALSE(next_busy_time(d, "b").has_value());
    CHECK_FALSE(next_busy_time(d, "c").has_value());
    d.pools["d"].updated_at = now; // a pool that was not busy yet comes before it
    CHECK_FALSE(next_busy_time(d, "a").has_value());
    CHECK(next_busy_time(d, "d") == std::optional(newest + 5s));
}

TEST(demand, measured_run_times_replace_declared_ones)
{
    run_time_estimates l;
    auto s = make_step(1, 1000);
    s.image = "i";
    LONGS_EQUAL(1000, expected_run_time(l, s).count());
    record_run_time(l, "i", 200ms);
    record_run_time(l, "i", 400ms);
    LONGS_EQUAL(300, expected_run_time(l, s).count());
}
