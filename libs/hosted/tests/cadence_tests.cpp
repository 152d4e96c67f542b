#include "cadence.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted;
using namespace std::chrono_literals;

TEST_GROUP(cadence){};

// Guards against an owner whose idle runners alone cost it more calls than it can make.
TEST(cadence, polls_that_bring_nothing_stay_within_the_bound_or_the_lease)
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
        CHECK(it.wait == poll_wait_for(s, it.hosts));
    }
}

// An overdue poll is repeated 250 ms after its wait; the lease must bear several such repeats.
TEST(cadence, the_longest_wait_leaves_a_lease_time_for_repeats)
{
    const driver_settings s;
    constexpr core::millis overdue{250};
    CHECK(poll_wait_for(s, 1000000) + 3 * overdue < s.rules.runner_lease);
}

// Guards against a rest in which a host that runs nothing stops counting as one that was heard.
TEST(cadence, idle_hosts_rest_in_large_fleets_only_and_stay_in_use)
{
    struct row
    {
        std::size_t hosts;
        core::millis gap;
    };
    const driver_settings s;
    for (const auto& it :
        {row{0, 0ms}, row{50, 0ms}, row{400, 0ms}, row{3000, 750ms}, row{10000, 800ms}})
    {
        CHECK_EQUAL(it.gap.count(), idle_poll_gap(s, it.hosts).count());
    }
    constexpr core::millis answer{250};
    CHECK(s.longest_poll_wait + s.longest_idle_gap + answer < s.rules.runner_lease);
}

// Guards against an owner of many hosts that looks at all of them without a pause.
TEST(cadence, looks_at_all_hosts_become_rarer_as_there_are_more)
{
    struct row
    {
        std::size_t hosts;
        core::millis pause;
    };
    const driver_settings s;
    for (const auto& it : {row{5, 40ms}, row{50, 40ms}, row{400, 40ms}, row{10000, 200ms}})
    {
        CHECK(it.pause == look_every(s, 40ms, it.hosts));
    }
}
