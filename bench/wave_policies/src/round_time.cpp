#include "rollout.hpp"

#include "fleet/wave_rules.hpp"

#include <ctime>

namespace camphorhitch::bench
{

namespace
{

constexpr int settle_rounds = 20;
constexpr int timed_rounds = 50;
constexpr double us_per_s = 1e6;

double cpu_us()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * us_per_s;
}

} // namespace

round_time time_round(const fleet_shape& shape, const measured_policy& policy)
{
    fleet_sim::simulation sim;
    build(sim, shape, policy, work_settings{});
    auto& m = sim.members[0];
    fleet_sim::refresh(sim, m);
    const auto now = core::from_unix_ms(sim.platform.now_ms);
    const auto wave =
        fleet::start_wave({"w1", {}, policy.config.name, "c1"}, sim.config, sim.kv.pools, {}, now);
    fleet_sim::put_wave(sim.kv, core::value(wave).next, 0);
    for (int i = 0; i < settle_rounds; ++i)
    {
        fleet_sim::run_round(sim, m);
        fleet_sim::advance(sim.platform, sim.platform.reboot_ms / settle_rounds * 2);
    }
    round_time out{shape.name, count_hosts(shape), static_cast<int>(shape.pools.size()), 0, 0};
    const fleet::wave_inputs in{m.waves[0], *m.config, m.pools, true, m.waves, now};
    const double before_waves = cpu_us();
    for (int i = 0; i < timed_rounds; ++i)
    {
        fleet::decide_wave(in);
    }
    out.wave_us = (cpu_us() - before_waves) / timed_rounds;
    const double before_all = cpu_us();
    for (int i = 0; i < timed_rounds; ++i)
    {
        fleet_sim::decide(sim, m);
        m.pending.clear();
    }
    out.all_pools_us = (cpu_us() - before_all) / timed_rounds - out.wave_us;
    return out;
}

} // namespace camphorhitch::bench
