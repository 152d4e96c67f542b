#include "core/invariant.hpp"
#include "history.hpp"

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
constexpr int events_in_a_history = 80;

/// CAMPHORHITCH_SEED and CAMPHORHITCH_STEPS try other and longer histories.
std::uint64_t setting(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

rc::Gen<event> any_event()
{
    // Time must pass between faults, or nothing but faults would ever happen.
    const auto kind = rc::gen::weightedOneOf<int>(
        {{2, rc::gen::just(0)}, {1, rc::gen::just(6)}, {5, rc::gen::inRange(0, event_kinds)}});
    return rc::gen::apply(
        [](int k, std::uint32_t random) {
            return event{static_cast<event_kind>(k), random};
        },
        kind,
        rc::gen::arbitrary<std::uint32_t>());
}

/// Broken invariants of the decisions become failures of the property, which can then be shrunk.
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

TEST_GROUP(random_histories){};

// Several members each believe for a while that they own the pool, writes lose their answers or
// arrive late, orders are lost or their answers are, workers are cut off, paused, rebooted, or fail
// everything, and jobs are cancelled in bursts. Whatever comes together: no job that may run once
// starts twice, none that was accepted is lost, quotas and hosts hold, and every job has its end.
TEST(random_histories, all_promises_hold)
{
    const throwing_invariants guard;
    rc::detail::TestParams params;
    params.seed = setting("CAMPHORHITCH_SEED", default_seed);
    const std::uint64_t steps = setting("CAMPHORHITCH_STEPS", default_steps);
    params.disableShrinking = std::getenv("CAMPHORHITCH_NO_SHRINK") != nullptr;
    params.maxSuccess = static_cast<int>(1 + steps / events_in_a_history);
    const auto result = rc::detail::checkTestable(
        []
        {
            const auto events =
                *rc::gen::container<std::vector<event>>(events_in_a_history, any_event());
            history h;
            for (const auto& it : events)
            {
                h.apply(it);
                h.check();
            }
            h.settle_and_check();
        },
        rc::detail::TestMetadata{"all_promises_hold", "random histories of jobs"},
        params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    CHECK(result.is<rc::detail::SuccessResult>());
}
