#include "demand_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

TEST_GROUP(demand_record){};

// A successor has another monotonic clock; the times that it reads are as far in the past as they
// were.
TEST(demand_record, a_record_is_read_on_another_clock)
{
    coordinator::demand d;
    coordinator::run_time_estimates l;
    const core::mono_time now{1000s};
    coordinator::record_arrival(d, "p", 300, now);
    d.history.push_back({"p", now - 4s});
    coordinator::record_run_time(l, "i", 700ms);
    const auto text = hosted::write_demand(d, l, 17, now, 500000);
    coordinator::demand e;
    coordinator::run_time_estimates m;
    const core::mono_time later{7s};
    LONGS_EQUAL(17, hosted::read_demand(text, 20, e, m, later, 502000));
    DOUBLES_EQUAL(d.pools["p"].fast_rate, e.pools["p"].fast_rate, 0.001);
    CHECK(e.pools["p"].updated_at == later - 2s);
    CHECK(e.history.front().at == later - 6s);
    DOUBLES_EQUAL(700, m.images["i"].mean_ms, 0.001);
}

TEST(demand_record, a_damaged_record_changes_nothing)
{
    for (const char* text : {"",
             "{",
             "[]",
             R"({"at_unix_ms":1})",
             R"({"at_unix_ms":1,"pools":{"p":{}},"busy":[],"times":{}})"})
    {
        coordinator::demand d;
        coordinator::run_time_estimates l;
        coordinator::record_arrival(d, "q", 10, core::mono_time{1s});
        LONGS_EQUAL(0, hosted::read_demand(text, 20, d, l, core::mono_time{2s}, 5));
        CHECK(d.pools.contains("q"));
    }
}

// The previous coordinator's wall clock was seconds ahead. Its busy periods are still read as times
// in the past: one in the future would count as just begun until then, and hold hosts for it.
TEST(demand_record, no_busy_time_begins_in_the_future)
{
    coordinator::demand d;
    coordinator::run_time_estimates l;
    const core::mono_time now{1000s};
    coordinator::record_arrival(d, "p", 300, now);
    d.history.push_back({"p", now - 4s});
    const auto text = hosted::write_demand(d, l, 17, now, 500000);
    coordinator::demand e;
    const core::mono_time later{700s};
    hosted::read_demand(text, 20, e, l, later, 490000);
    CHECK(e.pools["p"].updated_at == later);
    CHECK(e.history.front().at == later - 4s);
}

// A record of the previous version contains no revision, and a damaged one may contain any. A
// revision later than the record's own would hide jobs from the demand for good.
TEST(demand_record, no_record_includes_jobs_later_than_itself)
{
    struct row
    {
        const char* through;
        std::int64_t expected;
    };
    const row rows[] = {
        {"", 20}, {R"(,"through":0)", 0}, {R"(,"through":17)", 17}, {R"(,"through":4000)", 20}};
    for (const auto& it : rows)
    {
        coordinator::demand d;
        coordinator::run_time_estimates l;
        const auto text =
            std::string{R"({"at_unix_ms":1,"pools":{},"busy":[],"times":{})"} + it.through + "}";
        LONGS_EQUAL_TEXT(
            it.expected, hosted::read_demand(text, 20, d, l, core::mono_time{2s}, 5), it.through);
    }
}
