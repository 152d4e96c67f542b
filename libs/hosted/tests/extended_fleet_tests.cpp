#include "hosted_fakes/relays.hpp"
#include "moving_machines_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;

namespace
{

void run_to_the_end(extended_simulation& simulation, std::uint64_t seed, int steps)
{
    simulation.play(
        static_cast<int>(read_number("CAMPHORHITCH_STEPS", static_cast<std::uint64_t>(steps))));
    simulation.clear_faults();
    simulation.c.time.run_until([&] { return simulation.unfinished() == 0; }, 60s);
    const auto about = "seed " + std::to_string(seed) + simulation.describe_open_jobs();
    STRCMP_EQUAL_TEXT("", simulation.c.breaches().c_str(), about.c_str());
    LONGS_EQUAL_TEXT(0, simulation.unfinished(), about.c_str());
}

void play_seed(std::uint64_t seed, int steps, const std::function<void(cluster&)>& prepare)
{
    extended_simulation simulation(seed, prepare);
    run_to_the_end(simulation, seed, steps);
}

constexpr std::uint64_t seeds_per_test = 12;
constexpr int steps_per_seed = 120;

} // namespace

TEST_GROUP(extended_fleet){};

// Runners' clocks differ, coordinators follow each other within a lease, and leases are granted
// late.
TEST(extended_fleet, no_promise_is_broken)
{
    for_each_seed(seeds_per_test, [](std::uint64_t seed) { play_seed(seed, steps_per_seed, {}); });
}

// The same through relays, which resume from a pause with orders of previous coordinators.
TEST(extended_fleet, no_promise_is_broken_with_relays)
{
    for_each_seed(seeds_per_test,
        [](std::uint64_t seed)
        {
            std::list<relayed_runners> relays;
            play_seed(seed,
                steps_per_seed,
                [&](cluster& c)
                {
                    c.customize_node = [&](node& n)
                    {
                        n.ctx.runners = relays.emplace_back(c, n).port();
                    };
                });
        });
}

// The same with nodes whose work takes time, and which lag, are slowed and hand over: orders are
// sent late, and answers stay unread.
TEST(extended_fleet, no_promise_is_broken_by_lagging_coordinators)
{
    constexpr double processor_share = 0.25;
    for_each_seed(seeds_per_test,
        [](std::uint64_t seed) {
            play_seed(
                seed, steps_per_seed, [](cluster& c) { c.processor_share = processor_share; });
        });
}

// The same with machines that move and are maintained by orders whose answers are lost or that take
// effect late, and with lists of machines that are answered late.
TEST(extended_fleet, no_promise_is_broken_by_machines_that_move)
{
    for_each_seed(seeds_per_test,
        [](std::uint64_t seed)
        {
            moving_machines_simulation it(seed, {0.5, false});
            run_to_the_end(it.simulation, seed, steps_per_seed);
        });
}

// The same with runners that are cut off and work on while another runner answers at their address.
TEST(extended_fleet, no_promise_is_broken_by_transferred_addresses)
{
    for_each_seed(seeds_per_test,
        [](std::uint64_t seed)
        {
            moving_machines_simulation it(seed, {0, true});
            run_to_the_end(it.simulation, seed, steps_per_seed);
        });
}
