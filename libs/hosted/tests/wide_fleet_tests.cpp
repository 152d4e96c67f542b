#include "hosted_fakes/relays.hpp"
#include "wide_world.hpp"

#include <CppUTest/TestHarness.h>

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
