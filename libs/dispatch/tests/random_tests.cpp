#include "random_simulation.hpp"

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

// In any order, requests arrive, messages are delayed, reordered and lost, hosts are drained and
// return, processes die, callers disconnect, and the pool's owner changes. The rules must always
// hold: no target gets more requests than it has slots; no request is sent to a host that was
// handed over, or that has been draining for longer than the lifetime of a permit; a keyed request
// runs at most once; a request answered with "not run" does not run; each caller gets one answer;
// and no slot is lost.
TEST(random_runs, rules_hold_in_any_order_of_events)
{
    random_simulation::counts all;
    const bool held = rc::check("rules of dispatch",
        [&]
        {
            const auto choices =
                *rc::gen::container<std::vector<std::uint32_t>>(static_cast<std::size_t>(steps()),
                    rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
            random_simulation simulation;
            for (const auto it : choices)
            {
                simulation.step(it);
                RC_ASSERT(simulation.violations() == std::vector<std::string>{});
            }
            simulation.settle();
            RC_ASSERT(simulation.violations() == std::vector<std::string>{});
            all.answered += simulation.event_counts().answered;
            all.not_run += simulation.event_counts().not_run;
            all.unknown += simulation.event_counts().unknown;
            all.sends += simulation.event_counts().sends;
            all.handed_over += simulation.event_counts().handed_over;
            all.take_overs += simulation.event_counts().take_overs;
        });
    CHECK(held);
    std::cout << "answered " << all.answered << ", not run " << all.not_run << ", unknown "
              << all.unknown << ", sends " << all.sends << ", handed over " << all.handed_over
              << ", take-overs " << all.take_overs << "\n";
    CHECK(all.handed_over > 0 && all.take_overs > 0 && all.unknown > 0 && all.not_run > 0);
}
