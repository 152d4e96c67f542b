#include "random_world.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::dispatch::test;

namespace
{

constexpr int default_steps = 1500;

int steps()
{
    const char* text = std::getenv("CAMPHORHITCH_STEPS");
    return text == nullptr ? default_steps : std::atoi(text);
}

} // namespace

TEST_GROUP(random_runs){};

// Callers come, messages are late, reordered and lost, hosts are marked and come back, processes
// die, callers go, and the pool changes its owner, in any order. Whatever the order: no target has
// more requests than slots, none is sent to a host that was handed over or marked long ago, a keyed
// request runs at most once, "not run" is true, each caller gets one answer, and no slot is lost.
TEST(random_runs, rules_hold_in_any_order_of_events)
{
    random_world::counts all;
    const bool held = rc::check("rules of dispatch",
        [&]
        {
            const auto choices =
                *rc::gen::container<std::vector<std::uint32_t>>(static_cast<std::size_t>(steps()),
                    rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
            random_world world;
            for (const auto it : choices)
            {
                world.step(it);
                RC_ASSERT(world.broken() == std::vector<std::string>{});
            }
            world.settle();
            RC_ASSERT(world.broken() == std::vector<std::string>{});
            all.answered += world.happened().answered;
            all.not_run += world.happened().not_run;
            all.unknown += world.happened().unknown;
            all.sends += world.happened().sends;
            all.handed_over += world.happened().handed_over;
            all.take_overs += world.happened().take_overs;
        });
    CHECK(held);
    std::cout << "answered " << all.answered << ", not run " << all.not_run << ", unknown "
              << all.unknown << ", sends " << all.sends << ", handed over " << all.handed_over
              << ", take-overs " << all.take_overs << "\n";
    CHECK(all.handed_over > 0 && all.take_overs > 0 && all.unknown > 0 && all.not_run > 0);
}
