#include "extended_simulation.hpp"
#include "hosted_fakes/relays.hpp"
#include "machine_faults.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

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

/// Faults around machines, in addition to those of extended_simulation.
struct machine_fault_settings
{
    double call_failure_share = 0; ///< share of lost answers, of late orders and of late lists
    bool transfers_addresses = false;
};

/// An extended_simulation with two pools, between which machines move as work shifts.
struct moving_machines_simulation
{
    std::optional<machine_faults> faults;
    extended_simulation simulation;
    std::set<std::string> nodes_with_pools; ///< nodes whose driver has been given the pools

    machine_fault_settings fault_settings;

    moving_machines_simulation(std::uint64_t seed, machine_fault_settings t)
        : simulation(seed, [this, seed, t](cluster& c) { prepare(c, seed, t.call_failure_share); }),
          fault_settings(t)
    {
        simulation.after_step = [this]
        {
            step();
        };
    }

    void prepare(cluster& c, std::uint64_t seed, double call_failure_share)
    {
        faults.emplace(c, seed);
        faults->lost_answer_share = call_failure_share;
        faults->late_order_share = call_failure_share;
        faults->slow_list_share = call_failure_share;
        c.customize_node = [this](node& n)
        {
            faults->wrap(n);
        };
        c.hosts.add("q");
        c.hosts.add("q");
    }

    void step()
    {
        for (auto& it : simulation.c.nodes)
        {
            if (nodes_with_pools.insert(it.ctx.member).second)
            {
                it.driver->set_pools({{"p", false}, {"q", false}});
            }
        }
        if (simulation.below(3) == 0)
        {
            simulation.jobs.push_back("q" + std::to_string(simulation.jobs.size()));
            auto j = simulation.c.make_job(simulation.jobs.back(), 1 + simulation.below(8));
            j.pool = "q";
            j.max_attempts = 6;
            simulation.c.put_job(j);
        }
        if (fault_settings.transfers_addresses && simulation.below(8) == 0)
        {
            simulation.c.hosts.transfer_address(simulation.random_machine(),
                simulation.random_machine(),
                core::millis{500 + simulation.below(3000)});
        }
    }
};

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
