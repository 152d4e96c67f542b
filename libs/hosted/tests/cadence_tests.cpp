#include "cadence.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted;
using namespace std::chrono_literals;

TEST_GROUP(cadence){};

// Guards against a coordinator whose idle runners alone require more calls than it can make.
TEST(cadence, polls_without_news_stay_within_the_rate_or_the_lease)
{
    struct row
    {
        std::size_t hosts;
        core::millis wait;
    };
    const driver_settings s;
    for (const auto& it :
        {row{0, 700ms}, row{5, 700ms}, row{400, 700ms}, row{4000, 1000ms}, row{10000, 1400ms}})
    {
        CHECK(it.wait == scaled_poll_wait(s, it.hosts));
    }
}

// An overdue poll is repeated 250 ms after its wait; several such repeats must fit into the lease.
TEST(cadence, the_maximum_wait_leaves_a_lease_time_for_repeats)
{
    const driver_settings s;
    constexpr core::millis overdue_after{250};
    CHECK(scaled_poll_wait(s, 1000000) + 3 * overdue_after < s.rules.runner_lease);
}

// Guards against a delay between polls so long that an idle host no longer counts as responsive.
TEST(cadence, idle_polls_are_delayed_in_large_fleets_only)
{
    struct row
    {
        std::size_t hosts;
        core::millis delay;
    };
    const driver_settings s;
    for (const auto& it :
        {row{0, 0ms}, row{50, 0ms}, row{400, 0ms}, row{3000, 750ms}, row{10000, 800ms}})
    {
        CHECK_EQUAL(it.delay.count(), idle_poll_delay(s, it.hosts).count());
    }
    constexpr core::millis answer{250};
    CHECK(s.max_poll_wait + s.max_idle_poll_delay + answer < s.rules.runner_lease);
}

// Guards against a coordinator of many hosts that scans all of them without a break.
TEST(cadence, scans_of_all_hosts_become_rarer_with_more_hosts)
{
    struct row
    {
        std::size_t hosts;
        core::millis interval;
    };
    const driver_settings s;
    for (const auto& it : {row{5, 40ms}, row{50, 40ms}, row{400, 40ms}, row{10000, 200ms}})
    {
        CHECK(it.interval == scaled_scan_interval(s, 40ms, it.hosts));
    }
}
