#include "disabled_safeguards.hpp"
#include "hosted_fakes/relays.hpp"
#include "random_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;

namespace
{

/// Plays one seed's faults, heals, and expects every promise kept and every job ended.
void play_seed(
    std::uint64_t seed, int default_steps, const std::function<void(cluster&)>& prepare = {})
{
    random_world w(seed, prepare);
    w.play(static_cast<int>(
        number_from("CAMPHORHITCH_STEPS", static_cast<std::uint64_t>(default_steps))));
    w.heal();
    w.c.time.run_until([&] { return w.unfinished() == 0; }, 60s);
    const auto about = "seed " + std::to_string(seed) + w.last_lines();
    STRCMP_EQUAL_TEXT("", w.c.breaches().c_str(), about.c_str());
    LONGS_EQUAL_TEXT(0, w.unfinished(), about.c_str());
}

} // namespace

TEST_GROUP(random_fleet){};

// Whatever fails, in whatever order: no task runs twice or before its time, no host is over its
// room, no budget of attempts is passed; and once all is well every job ends.
TEST(random_fleet, no_promise_is_broken_and_every_job_ends)
{
    constexpr std::uint64_t seeds = 12;
    constexpr int steps = 120;
    for_each_seed(seeds, [](std::uint64_t seed) { play_seed(seed, steps); });
}

// The coordinator's orders go through the other nodes, which die, stand still, and wake with orders
// that are seconds old: carried out then, they break no promise either.
TEST(random_fleet, no_promise_is_broken_with_relays)
{
    constexpr std::uint64_t seeds = 12;
    constexpr int steps = 120;
    for_each_seed(seeds,
        [](std::uint64_t seed)
        {
            std::list<relayed_runners> relays;
            play_seed(seed,
                steps,
                [&](cluster& c)
                {
                    c.plant = [&](node& n)
                    {
                        n.ctx.runners = relays.emplace_back(c, n).port();
                    };
                });
        });
}

// As in a fleet of thousands, hosts that run nothing are asked seldom or not at all, and what fails
// there is learnt late: that breaks no promise either.
TEST(random_fleet, no_promise_is_broken_while_idle_hosts_rest)
{
    constexpr std::uint64_t seeds = 12;
    constexpr int steps = 120;
    for_each_seed(seeds,
        [](std::uint64_t seed)
        { play_seed(seed, steps, [](cluster& c) { c.settings.most_idle_polls_per_second = 1; }); });
}

// Each of these failed once: ends acknowledged after their lease had lapsed counted as taken note
// of (100), a cut watch was never answered (204), a call of a paused process never timed out (706).
// All three were faults of the stand-ins; the seeds stay, since they reach far.
TEST(random_fleet, seeds_that_failed_once)
{
    constexpr int steps = 120;
    for (const std::uint64_t seed : {100, 204, 706})
    {
        play_seed(seed, steps);
    }
}

// Each safeguard that is taken out breaks a promise within some seeds: the checks can fail.
TEST(random_fleet, a_safeguard_taken_out_is_seen)
{
    constexpr std::uint64_t most_seeds = 60;
    constexpr int steps = 120;
    for (const auto& it : planted_faults)
    {
        bool seen = false;
        for (std::uint64_t seed = 1; seed <= most_seeds && !seen; ++seed)
        {
            random_world w(seed, it.prepare);
            w.play(steps);
            w.heal();
            w.c.time.run_until([&] { return w.unfinished() == 0; }, 30s);
            seen = !w.c.hosts.broken.empty() || w.unfinished() > 0;
        }
        CHECK_TEXT(seen, it.name);
    }
}
