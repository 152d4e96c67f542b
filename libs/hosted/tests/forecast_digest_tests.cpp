#include "forecast_digest.hpp"

#include <cmath>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

TEST_GROUP(forecast_digest)
{
    std::map<std::string, coordinator::pool_forecast> pools;
    coordinator::run_time_estimates times;

    void add_pool(const std::string& name, double cores, core::millis wait, double in_time)
    {
        auto& it = pools[name];
        it.cores = cores;
        it.wait = wait;
        it.in_time_core_seconds = in_time;
    }

    hosted::forecast_digest reread() const
    {
        return core::value(
            hosted::read_forecast_digest(hosted::write_forecast_digest(pools, times)));
    }
};

TEST(forecast_digest, a_record_is_read_as_it_was_written)
{
    add_pool("p", 320.5, 1250ms, 60.25);
    times.images["i"] = {712.4, 9};
    STRCMP_EQUAL(
        R"({"pools":{"p":{"admitted_core_ms":60250,"cores":320.5,"wait_ms":1250}},"times":{"i":712}})",
        hosted::write_forecast_digest(pools, times).c_str());
    const auto read = reread();
    const auto& p = read.pools.at("p");
    DOUBLES_EQUAL(320.5, p.cores, 0.001);
    LONGS_EQUAL(1250, p.wait.count());
    DOUBLES_EQUAL(60250, p.admitted_core_ms, 0.001);
    DOUBLES_EQUAL(712, read.times.images.at("i").mean_ms, 0.001);
}

// A rack is down, or a new coordinator has polled no host yet. Without capacity the forecast gives
// no outlook, so no job of the pool may be refused by it.
TEST(forecast_digest, a_pool_without_capacity_is_left_out)
{
    add_pool("p", 0, 5000ms, 10);
    add_pool("q", std::numeric_limits<double>::quiet_NaN(), 5000ms, 10);
    add_pool("r", 1, 0ms, 0);
    LONGS_EQUAL(1, reread().pools.size());
    CHECK(reread().pools.contains("r"));
}

// A value that is no number would make the whole record damaged.
TEST(forecast_digest, values_out_of_range_do_not_damage_the_record)
{
    add_pool("p", 8, -5ms, std::numeric_limits<double>::infinity());
    add_pool("q", 1e300, core::millis::max(), 1e300);
    times.images["i"] = {-1, 3};
    times.images["j"] = {std::nan(""), 3};
    LONGS_EQUAL(0, reread().pools.at("p").wait.count());
    CHECK(reread().pools.at("q").wait > 1h);
    DOUBLES_EQUAL(0, reread().times.images.at("i").mean_ms, 0.001);
}

// A deployment with thousands of images would make the record too large to be written twice a
// second and read by all nodes.
TEST(forecast_digest, only_the_images_with_most_samples_are_written)
{
    for (int i = 0; i < 500; ++i)
    {
        times.images["image" + std::to_string(1000 + i)] = {100.0 + i, i < 40 ? 20 : i % 5};
    }
    const auto read = reread();
    LONGS_EQUAL(64, read.times.images.size());
    for (int i = 0; i < 40; ++i)
    {
        CHECK(read.times.images.contains("image" + std::to_string(1000 + i)));
    }
    CHECK(read.times.images.contains("image1044")); // of those with 4 samples, first by name
    CHECK_FALSE(read.times.images.contains("image1499"));
}

TEST(forecast_digest, a_damaged_record_gives_an_error)
{
    const struct
    {
        const char* fault;
        const char* text;
    } rows[] = {
        {"empty", ""},
        {"cut off", R"({"pools":{"p":{"cores":1)"},
        {"an array", "[]"},
        {"no pools", R"({"times":{}})"},
        {"no times", R"({"pools":{}})"},
        {"pools of another type", R"({"pools":[],"times":{}})"},
        {"times of another type", R"({"pools":{},"times":3})"},
        {"a pool of another type", R"({"pools":{"p":1},"times":{}})"},
        {"a field is missing", R"({"pools":{"p":{"cores":1,"wait_ms":1}},"times":{}})"},
        {"negative cores",
            R"({"pools":{"p":{"cores":-1,"wait_ms":1,"admitted_core_ms":1}},"times":{}})"},
        {"negative wait",
            R"({"pools":{"p":{"cores":1,"wait_ms":-1,"admitted_core_ms":1}},"times":{}})"},
        {"a wait beyond the range of the clock",
            R"({"pools":{"p":{"cores":1,"wait_ms":9e18,"admitted_core_ms":1}},"times":{}})"},
        {"a wait that is not whole",
            R"({"pools":{"p":{"cores":1,"wait_ms":1.5,"admitted_core_ms":1}},"times":{}})"},
        {"work that is a text",
            R"({"pools":{"p":{"cores":1,"wait_ms":1,"admitted_core_ms":"1"}},"times":{}})"},
        {"a run time that is no number", R"({"pools":{},"times":{"i":null}})"},
        {"a negative run time", R"({"pools":{},"times":{"i":-1}})"},
    };
    for (const auto& it : rows)
    {
        CHECK_FALSE_TEXT(core::is_ok(hosted::read_forecast_digest(it.text)), it.fault);
    }
}
