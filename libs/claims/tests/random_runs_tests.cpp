/// \file
/// Long randomised runs. CAMPHORHITCH_SEED replaces the fixed seed, CAMPHORHITCH_STEPS the length
/// of the run (a step is an event that a member handled).
#include "simulation.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ostream>
#include <rapidcheck.h>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::claims;
using namespace camphorhitch::claims::testing;

namespace
{

constexpr int run_length_ms = 60000;
/// Changes of the roster while all members are healthy stress the claims most, so their weight is
/// higher.
constexpr int extra_reshuffle_weight = 6;
/// Longer than a quarantine, so that a member that was cut off meets keys granted after it.
constexpr int max_fault_ms = 25000;
constexpr int max_faults = 30;
constexpr std::uint64_t default_steps = 1000000;
constexpr std::uint64_t min_steps_per_run = 5000;
constexpr std::uint64_t fixed_seed = 20261202;

rc::Gen<int> below(int limit)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

rc::Gen<fault> any_fault()
{
    const auto last = static_cast<int>(fault_kind::reshuffle);
    return rc::gen::apply(
        [last](int kind, int at, int host, int length) {
            return fault{static_cast<fault_kind>(std::min(kind, last)), at, host, length};
        },
        below(last + extra_reshuffle_weight),
        below(run_length_ms),
        below(9),
        below(max_fault_ms));
}

/// Half of the runs have faults of one kind only: some failures need several faults of a kind in a
/// row, which a mix seldom contains.
rc::Gen<std::vector<fault>> any_faults()
{
    const auto kinds = static_cast<int>(fault_kind::reshuffle) + 1;
    return rc::gen::apply(
        [kinds](std::vector<fault> faults, int theme)
        {
            for (auto& it : faults)
            {
                it.kind = theme < kinds ? static_cast<fault_kind>(theme) : it.kind;
            }
            return faults;
        },
        rc::gen::resize(max_faults, rc::gen::container<std::vector<fault>>(any_fault())),
        below(2 * kinds));
}

std::uint64_t number_from(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void add(simulation_counts& sum, const simulation_counts& more)
{
    sum.steps += more.steps;
    sum.epochs += more.epochs;
    sum.sent += more.sent;
    for (std::size_t n = 0; n < outcome_reason_names.size(); ++n)
    {
        sum.reasons[n] += more.reasons[n];
    }
}

void print(const simulation_counts& sum)
{
    std::printf("event=random_runs steps=%llu epochs=%llu sent=%llu",
        static_cast<unsigned long long>(sum.steps),
        static_cast<unsigned long long>(sum.epochs),
        static_cast<unsigned long long>(sum.sent));
    for (const auto& it : outcome_reason_names)
    {
        std::printf(" %s=%llu",
            std::string{it.name}.c_str(),
            static_cast<unsigned long long>(sum.reasons[static_cast<int>(it.value)]));
    }
    std::printf("\n");
}

/// Turns a violated invariant inside the program into a failure of the property, so that rapidcheck
/// shrinks the run.
class throwing_invariants
{
public:
    throwing_invariants()
        : before_{core::set_invariant_handler(
              [](const std::string& text) { throw std::logic_error{text}; })}
    {
    }
    ~throwing_invariants()
    {
        core::set_invariant_handler(before_);
    }
    throwing_invariants(const throwing_invariants&) = delete;
    throwing_invariants& operator=(const throwing_invariants&) = delete;

private:
    core::invariant_handler before_;
};

} // namespace

namespace camphorhitch::claims::testing
{

std::ostream& operator<<(std::ostream& out, const fault& it)
{
    return out << "{" << static_cast<int>(it.kind) << "," << it.at_ms << "," << it.host << ","
               << it.length_ms << "}";
}

} // namespace camphorhitch::claims::testing

TEST_GROUP(random_runs){};

/// Guards against a key that runs twice, "not run" for a request that ran, and the answer of
/// another key. In each run 1 to 9 members serve repeated and simultaneous requests while hosts
/// pause, die, leave and are cut off, rosters change, the store is down or loses answers, and
/// messages are delayed, duplicated, reordered or lost.
TEST(random_runs, promises_hold_under_every_mix_of_faults)
{
    const auto wanted = number_from("CAMPHORHITCH_STEPS", default_steps);
    const auto seed = number_from("CAMPHORHITCH_SEED", fixed_seed);
    const auto parameters = "seed=" + std::to_string(seed) +
                            " max_success=" + std::to_string(wanted / min_steps_per_run + 1);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const throwing_invariants guard;
    simulation_counts sum;
    const bool held = rc::check(
        [&]
        {
            if (sum.steps >= wanted)
            {
                return;
            }
            simulation_options options;
            options.run_ms = run_length_ms;
            options.members = 1 + *below(9);
            options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
            options.faults = *any_faults();
            const auto result = run_simulation(options);
            add(sum, result.counts);
            for (const auto& it : find_violations(result.observed, simulation_key_memory))
            {
                RC_FAIL(it);
            }
        });
    CHECK(held);
    CHECK(!held || sum.steps >= wanted);
    print(sum);
    for (const auto& it : outcome_reason_names)
    {
        // A run that never reached one of the outcomes would prove nothing about that outcome.
        const bool reached = it.value == outcome_reason::answer_not_kept ||
                             wanted < default_steps || sum.reasons[static_cast<int>(it.value)] > 0;
        CHECK_TEXT(reached, std::string{it.name}.c_str());
    }
}
