// Long random runs: several members decide from stale views, with pauses, lost answers, outages,
// failures, waves, moves and operators' commands. The promises are checked after every step.
//
// CAMPHORHITCH_SEED sets another seed, CAMPHORHITCH_STEPS another number of steps per run.
#include "core/invariant.hpp"
#include "fleet_sim/random_fleet.hpp"

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using fleet_sim::random_fleet;
using fleet_sim::random_step;

namespace
{

constexpr std::uint64_t default_seed = 20261202;
constexpr int default_steps = 500;
constexpr int runs = 60;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

rc::Gen<random_step> any_step()
{
    const auto byte = []
    {
        return rc::gen::inRange(0, 256);
    };
    return rc::gen::map(rc::gen::tuple(byte(), byte(), byte(), byte()),
        [](const std::tuple<int, int, int, int>& t)
        {
            const auto at = [](int n)
            {
                return static_cast<std::uint8_t>(n);
            };
            return random_step{
                at(std::get<0>(t)), at(std::get<1>(t)), at(std::get<2>(t)), at(std::get<3>(t))};
        });
}

struct totals
{
    std::int64_t steps = 0;
    std::int64_t writes = 0;
    std::int64_t conflicts = 0;
    std::int64_t reboots = 0;
    std::int64_t moves = 0;
    std::int64_t waves_done = 0;
};

void count(totals& t, const random_fleet& f, std::size_t steps)
{
    t.steps += static_cast<std::int64_t>(steps);
    t.writes += f.sim.kv.writes;
    t.conflicts += f.sim.kv.conflicts;
    t.moves += f.sim.kv.host_moves;
    for (const auto& [id, it] : f.sim.platform.hosts)
    {
        t.reboots += static_cast<std::int64_t>(it.reboots.size());
    }
    for (const auto& it : f.sim.kv.waves)
    {
        t.waves_done += it.document.phase == model::wave_phase::done ? 1 : 0;
    }
}

} // namespace

TEST_GROUP(random_run){};

TEST(random_run, promises_hold_after_every_step_and_nothing_is_stranded)
{
    std::vector<std::string> broken;
    auto handler =
        core::set_invariant_handler([&](const std::string& text) { broken.push_back(text); });
    const auto steps = static_cast<int>(number_from("CAMPHORHITCH_STEPS", default_steps));
    rc::detail::TestParams params;
    params.seed = number_from("CAMPHORHITCH_SEED", default_seed);
    params.maxSuccess = runs;
    params.disableShrinking = steps > default_steps; // long scripts take too long to shrink
    rc::detail::TestMetadata metadata;
    metadata.id = "random_run";
    totals sum;
    const auto property = [&]
    {
        const auto script = *rc::gen::resize(rc::kNominalSize,
            rc::gen::container<std::vector<random_step>>(
                static_cast<std::size_t>(steps), any_step()));
        random_fleet f;
        broken.clear();
        for (const auto& it : script)
        {
            fleet_sim::apply_step(f, it);
            RC_ASSERT(broken == std::vector<std::string>{});
            RC_ASSERT(f.sim.violations == std::vector<std::string>{});
        }
        fleet_sim::run_until_settled(f);
        RC_ASSERT(broken == std::vector<std::string>{});
        RC_ASSERT(f.sim.violations == std::vector<std::string>{});
        RC_ASSERT(fleet_sim::find_stuck(f) == std::string{});
        RC_ASSERT(f.sim.platform.cut_off == 0);
        count(sum, f, script.size());
    };
    const auto result = rc::detail::checkTestable(property, metadata, params);
    core::set_invariant_handler(handler);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    std::printf("random_run: seed %llu, %lld steps, %lld writes, %lld conflicts, %lld reboots, "
                "%lld moves, %lld waves done\n",
        static_cast<unsigned long long>(params.seed),
        static_cast<long long>(sum.steps),
        static_cast<long long>(sum.writes),
        static_cast<long long>(sum.conflicts),
        static_cast<long long>(sum.reboots),
        static_cast<long long>(sum.moves),
        static_cast<long long>(sum.waves_done));
    CHECK_TEXT(result.template is<rc::detail::SuccessResult>(), text.str().c_str());
    CHECK(sum.reboots > 0 && sum.moves > 0 && sum.waves_done > 0 && sum.conflicts > 0);
}
