#include "core/invariant.hpp"
#include "pool_simulation.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::jobs_test;

namespace
{

constexpr std::uint64_t default_seed = 20261202;
constexpr std::uint64_t default_steps = 8000;
constexpr int events_per_run = 80;

/// CAMPHORHITCH_SEED and CAMPHORHITCH_STEPS select another seed and other lengths.
std::uint64_t setting(const char* name, std::uint64_t default_value)
{
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

rc::Gen<event> any_event()
{
    // Time must pass between faults, or the runs would consist of faults only.
    const auto kind = rc::gen::weightedOneOf<int>(
        {{2, rc::gen::just(0)}, {1, rc::gen::just(6)}, {5, rc::gen::inRange(0, event_kind_count)}});
    return rc::gen::apply(
        [](int k, std::uint32_t random) {
            return event{static_cast<event_kind>(k), random};
        },
        kind,
        rc::gen::arbitrary<std::uint32_t>());
}

/// Turns a violated invariant into a failure of the property, which rapidcheck can shrink.
struct throwing_invariants
{
    core::invariant_handler before = core::set_invariant_handler(
        [](const std::string& text) { throw std::runtime_error(text); });

    ~throwing_invariants()
    {
        core::set_invariant_handler(before);
    }
};

} // namespace

namespace camphorhitch::jobs_test
{

void showValue(const event& e, std::ostream& out) // NOLINT(readability-identifier-naming)
{
    out << "{event_kind(" << static_cast<int>(e.kind) << "), " << e.random << "u}";
}

} // namespace camphorhitch::jobs_test

TEST_GROUP(random_runs){};

// Several members consider themselves the pool's owner at the same time, writes lose their answers
// or take effect late, orders or their answers are lost, workers are cut off, paused, rebooted or
// fail every task, and jobs are cancelled in bursts. In every combination, no job that may run once
// starts twice, no accepted job is lost, quotas and host capacities hold, and every job reaches a
// terminal state.
TEST(random_runs, all_promises_hold)
{
    const throwing_invariants guard;
    rc::detail::TestParams params;
    params.seed = setting("CAMPHORHITCH_SEED", default_seed);
    const std::uint64_t steps = setting("CAMPHORHITCH_STEPS", default_steps);
    params.disableShrinking = std::getenv("CAMPHORHITCH_NO_SHRINK") != nullptr;
    params.maxSuccess = static_cast<int>(1 + steps / events_per_run);
    const auto result = rc::detail::checkTestable(
        []
        {
            const auto events =
                *rc::gen::container<std::vector<event>>(events_per_run, any_event());
            pool_simulation h;
            for (const auto& it : events)
            {
                h.apply(it);
                h.check();
            }
            h.end_faults_and_check();
        },
        rc::detail::TestMetadata{"all_promises_hold", "random runs of jobs"},
        params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    CHECK(result.is<rc::detail::SuccessResult>());
}
