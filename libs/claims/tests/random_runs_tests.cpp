/// \file
/// Long randomised runs. CAMPHORHITCH_SEED takes another seed than the fixed one,
/// CAMPHORHITCH_STEPS another length (steps are events that a member handled).
#include "world.hpp"

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
/// Changes of the roster while all are well are the hardest on the claims, so they come more often.
constexpr int more_reshuffles = 6;
/// Longer than a quarantine, so that who was cut off meets what was granted after it.
constexpr int longest_fault_ms = 25000;
constexpr int most_faults = 30;
constexpr std::uint64_t steps_by_default = 1000000;
constexpr std::uint64_t least_steps_of_run = 5000;
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
        below(last + more_reshuffles),
        below(run_length_ms),
        below(9),
        below(longest_fault_ms));
}

/// Half of the runs have faults of one kind only: some breaks need several of a kind in a row, and
/// a mix seldom brings them.
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
        rc::gen::resize(most_faults, rc::gen::container<std::vector<fault>>(any_fault())),
        below(2 * kinds));
}

std::uint64_t number_from(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void add(world_counts& sum, const world_counts& more)
{
    sum.steps += more.steps;
    sum.epochs += more.epochs;
    sum.sent += more.sent;
    for (std::size_t n = 0; n < outcome_reason_names.size(); ++n)
    {
        sum.reasons[n] += more.reasons[n];
    }
}

void print(const world_counts& sum)
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

/// Makes a broken invariant inside the program a failure of the property, so that it is shrunk.
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

/// What a caller would see: a key charged twice, "not run" for what ran, or another key's answer.
/// Each run lets 1 to 9 members serve repeated and simultaneous requests while hosts pause, die,
/// leave and are cut off, rosters follow one another, the store is down or loses answers, and
/// messages come late, twice, in another order or never.
TEST(random_runs, promises_hold_under_every_mix_of_faults)
{
    const auto wanted = number_from("CAMPHORHITCH_STEPS", steps_by_default);
    const auto seed = number_from("CAMPHORHITCH_SEED", fixed_seed);
    const auto parameters = "seed=" + std::to_string(seed) +
                            " max_success=" + std::to_string(wanted / least_steps_of_run + 1);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const throwing_invariants guard;
    world_counts sum;
    const bool held = rc::check(
        [&]
        {
            if (sum.steps >= wanted)
            {
                return;
            }
            world_options options;
            options.run_ms = run_length_ms;
            options.members = 1 + *below(9);
            options.seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
            options.faults = *any_faults();
            const auto result = run_world(options);
            add(sum, result.counts);
            for (const auto& it : broken_promises(result.seen, world_key_memory))
            {
                RC_FAIL(it);
            }
        });
    CHECK(held);
    CHECK(!held || sum.steps >= wanted);
    print(sum);
    for (const auto& it : outcome_reason_names)
    {
        // A run that never got to one of the outcomes would show nothing about it.
        const bool reached = it.value == outcome_reason::answer_not_kept ||
                             wanted < steps_by_default ||
                             sum.reasons[static_cast<int>(it.value)] > 0;
        CHECK_TEXT(reached, std::string{it.name}.c_str());
    }
}
