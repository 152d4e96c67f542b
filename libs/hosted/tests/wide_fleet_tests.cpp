#include "hosted_fakes/relays.hpp"
#include "machine_faults.hpp"
#include "wide_world.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;

namespace
{

void play_to_the_end(wide_world& w, std::uint64_t seed, int steps)
{
    w.play(static_cast<int>(number_from("CAMPHORHITCH_STEPS", static_cast<std::uint64_t>(steps))));
    w.heal();
    w.c.time.run_until([&] { return w.unfinished() == 0; }, 60s);
    const auto about = "seed " + std::to_string(seed) + w.last_lines();
    STRCMP_EQUAL_TEXT("", w.c.breaches().c_str(), about.c_str());
    LONGS_EQUAL_TEXT(0, w.unfinished(), about.c_str());
}

void play_seed(std::uint64_t seed, int steps, const std::function<void(cluster&)>& prepare)
{
    wide_world w(seed, prepare);
    play_to_the_end(w, seed, steps);
}

/// What goes wrong around machines, beside all else.
struct machine_trouble
{
    double calls_fail = 0; ///< share of answers lost, of orders late, and of lists told late
    bool hands_on_addresses = false;
};

/// A wide_world with two pools, whose machines move as work shifts between them.
struct moving_world
{
    std::optional<machine_faults> faults;
    wide_world w;
    std::set<std::string> told; ///< nodes that know the pools

    machine_trouble trouble;

    moving_world(std::uint64_t seed, machine_trouble t)
        : w(seed, [this, seed, t](cluster& c) { prepare(c, seed, t.calls_fail); }), trouble(t)
    {
        w.on_step = [this]
        {
            step();
        };
    }

    void prepare(cluster& c, std::uint64_t seed, double calls_fail)
    {
        faults.emplace(c, seed);
        faults->answers_lost = calls_fail;
        faults->orders_late = calls_fail;
        faults->lists_slow = calls_fail;
        c.plant = [this](node& n)
        {
            faults->wrap(n);
        };
        c.hosts.add("q");
        c.hosts.add("q");
    }

    void step()
    {
        for (auto& it : w.c.nodes)
        {
            if (told.insert(it.ctx.member).second)
            {
                it.driver->set_pools({{"p", false}, {"q", false}});
            }
        }
        if (w.below(3) == 0)
        {
            w.jobs.push_back("q" + std::to_string(w.jobs.size()));
            auto j = w.c.make_job(w.jobs.back(), 1 + w.below(8));
            j.pool = "q";
            j.max_attempts = 6;
            w.c.put_job(j);
        }
        if (trouble.hands_on_addresses && w.below(8) == 0)
        {
            w.c.hosts.hand_on_address(
                w.some_machine(), w.some_machine(), core::millis{500 + w.below(3000)});
        }
    }
};

constexpr std::uint64_t seeds_played = 12;
constexpr int steps_played = 120;

} // namespace

TEST_GROUP(wide_fleet){};

// Runners' clocks differ, owners follow each other within a lease, and grants come late.
TEST(wide_fleet, no_promise_is_broken)
{
    for_each_seed(seeds_played, [](std::uint64_t seed) { play_seed(seed, steps_played, {}); });
}

// The same through relays, which wake with the orders of owners before.
TEST(wide_fleet, no_promise_is_broken_with_relays)
{
    for_each_seed(seeds_played,
        [](std::uint64_t seed)
        {
            std::list<relayed_runners> relays;
            play_seed(seed,
                steps_played,
                [&](cluster& c)
                {
                    c.plant = [&](node& n)
                    {
                        n.ctx.runners = relays.emplace_back(c, n).port();
                    };
                });
        });
}

// The same with nodes whose work takes time, and which lag, are slowed and hand over: orders leave
// late, and answers lie unread.
TEST(wide_fleet, no_promise_is_broken_by_owners_that_lag)
{
    constexpr double small_share = 0.25;
    for_each_seed(seeds_played,
        [](std::uint64_t seed)
        { play_seed(seed, steps_played, [](cluster& c) { c.share = small_share; }); });
}

// The same with machines that move and are maintained, by orders whose answers are lost or that
// take effect late, and with lists that are told late.
TEST(wide_fleet, no_promise_is_broken_by_machines_that_move)
{
    for_each_seed(seeds_played,
        [](std::uint64_t seed)
        {
            moving_world it(seed, {0.5, false});
            play_to_the_end(it.w, seed, steps_played);
        });
}

// A runner that is cut off runs on while another answers at its address.
TEST(wide_fleet, no_promise_is_broken_by_addresses_that_are_handed_on)
{
    for_each_seed(seeds_played,
        [](std::uint64_t seed)
        {
            moving_world it(seed, {0, true});
            play_to_the_end(it.w, seed, steps_played);
        });
}
