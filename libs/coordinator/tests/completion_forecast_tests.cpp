#include "coordinator/completion_forecast.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorhitch;
using namespace camphorhitch::coordinator;
using namespace std::chrono_literals;

namespace
{

constexpr core::mono_time start{1000s};

/// A job of 1 s on 4 cores that is due 2.2 s after its acceptance.
forecast_job short_job(const std::string& id)
{
    forecast_job it;
    it.id = id;
    it.core_seconds = 4;
    it.critical_path = 1000ms;
    it.waits_since = start;
    it.due = start + 2200ms;
    it.worthless_from = start + 6600ms;
    return it;
}

template <typename change>
forecast_job changed(forecast_job it, change c)
{
    c(it);
    return it;
}

/// Moves the acceptance of the job to an earlier time.
void make_older(forecast_job& it, core::millis by)
{
    it.waits_since -= by;
    it.due -= by;
    it.worthless_from -= by;
}

std::vector<forecast_job> many(int n, const char* prefix = "n")
{
    std::vector<forecast_job> out;
    for (int i = 0; i < n; ++i)
    {
        out.push_back(short_job(prefix + std::to_string(i)));
    }
    return out;
}

std::vector<forecast_job> with(std::vector<forecast_job> all, forecast_job it)
{
    all.push_back(std::move(it));
    return all;
}

} // namespace

TEST_GROUP(completion_forecast){};

TEST(completion_forecast, outlook_of_one_job)
{
    struct row
    {
        const char* name;
        std::vector<forecast_job> jobs; ///< the last one is evaluated
        std::vector<capacity_step> capacity;
        job_outlook expected;
    };
    const std::vector<capacity_step> four{{start, 4}};
    const std::vector<capacity_step> arriving{{start, 0}, {start + 1500ms, 40}};
    const auto in_time = job_outlook::in_time;
    const auto late = job_outlook::late;
    const row rows[] = {
        {"an idle pool", {short_job("a")}, four, in_time},
        {"one job ahead, close to the objective",
            with(many(1), changed(short_job("a"), [](auto& it) { it.admitted = true; })),
            four,
            in_time},
        {"many new jobs ahead", with(many(6), short_job("z")), four, late},
        {"many late jobs ahead take no capacity",
            with({changed(short_job("b"), [](auto& it) { make_older(it, 3000ms); }),
                     changed(short_job("c"), [](auto& it) { make_older(it, 3000ms); })},
                short_job("z")),
            four,
            in_time},
        {"a started job comes before new ones",
            with(many(6), changed(short_job("z"), [](auto& it) { it.started = true; })),
            four,
            in_time},
        {"an admitted job comes before new ones that are due earlier",
            with(many(6),
                changed(short_job("z"),
                    [](auto& it)
                    {
                        it.admitted = true;
                        it.due += 500ms;
                    })),
            four,
            in_time},
        {"a job beyond its share comes after all others",
            with(many(6), changed(short_job("a"), [](auto& it) { it.share = 1; })),
            four,
            late},
        {"a job of higher priority",
            with({changed(short_job("b"), [](auto& it) { it.priority = 1; }),
                     changed(short_job("c"), [](auto& it) { it.priority = 1; })},
                short_job("z")),
            four,
            in_time},
        {"a large job is not passed over for small ones that arrive later",
            with(many(3, "x"),
                changed(short_job("a"),
                    [](auto& it)
                    {
                        it.core_seconds = 8;
                        it.admitted = true;
                    })),
            four,
            in_time},
        {"runs that occupy the pool for long",
            with({changed(short_job("r"),
                     [](auto& it)
                     {
                         it.started = true;
                         it.core_seconds = 0;
                         it.running_cores = 4;
                         it.running_time = 3000ms;
                         it.critical_path = 3000ms;
                     })},
                short_job("z")),
            four,
            late},
        {"jobs with long chains occupy a part of the pool only",
            with({changed(short_job("r"),
                     [](auto& it)
                     {
                         it.started = true;
                         it.core_seconds = 18;
                         it.running_cores = 2;
                         it.running_time = 1000ms;
                         it.ready_in = 1000ms;
                         it.critical_path = 10000ms;
                         it.due += 20000ms;
                         it.worthless_from += 20000ms;
                     })},
                changed(short_job("z"), [](auto& it) { it.core_seconds = 2; })),
            four,
            in_time},
        {"hosts that arrive too late", {short_job("a")}, arriving, late},
        {"hosts that arrive in time",
            {changed(short_job("a"),
                [](auto& it)
                {
                    it.due += 3000ms;
                    it.worthless_from += 9000ms;
                    it.admitted = true;
                })},
            arriving,
            in_time},
        {"the chain does not fit any more",
            {changed(short_job("a"), [](auto& it) { make_older(it, 1600ms); })},
            four,
            late},
        {"within the tolerance",
            {changed(short_job("a"), [](auto& it) { make_older(it, 1400ms); })},
            four,
            in_time},
        {"three times the objective has passed",
            {changed(short_job("a"), [](auto& it) { make_older(it, 7000ms); })},
            four,
            job_outlook::worthless},
        {"the chain can't end before three times the objective",
            {changed(short_job("a"), [](auto& it) { make_older(it, 6100ms); })},
            four,
            job_outlook::worthless},
        {"work beyond the cap of its workspace",
            {changed(short_job("a"), [](auto& it) { it.cap_cores = 1; })},
            four,
            late},
    };
    for (const auto& it : rows)
    {
        const auto id = it.jobs.back().id;
        const auto f = forecast_pool(it.jobs, it.capacity, {}, start);
        CHECK_TEXT(f.jobs.at(id) == it.expected, it.name);
        auto reversed = it.jobs;
        std::reverse(reversed.begin(), reversed.end());
        const auto again = forecast_pool(reversed, it.capacity, {}, start);
        CHECK_TEXT(again.jobs == f.jobs && again.wait == f.wait, it.name);
    }
}

TEST(completion_forecast, figures_of_the_pool)
{
    const std::vector<capacity_step> capacity{{start, 4}, {start + 500ms, 8}, {start + 5s, 40}};
    auto f = forecast_pool({}, capacity, {}, start);
    DOUBLES_EQUAL(8, f.cores, 1e-6);
    LONGS_EQUAL(0, f.wait.count());
    f = forecast_pool(many(20), capacity, {}, start);
    DOUBLES_EQUAL(80, f.in_time_core_seconds + f.late_core_seconds, 1e-6);
    CHECK(f.in_time_core_seconds > 4 && f.late_core_seconds > 4);
    // 20 jobs of half a second on 8 cores each
    CHECK(f.wait > 2s && f.wait < 20s);
}

// Nothing is known of when jobs could end.
TEST(completion_forecast, a_pool_without_capacity_gives_no_outlook)
{
    CHECK(forecast_pool(many(3), {{start, 0}}, {}, start).jobs.empty());
    CHECK(forecast_pool(many(3), {}, {}, start).jobs.empty());
}
