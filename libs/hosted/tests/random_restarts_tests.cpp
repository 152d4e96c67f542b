#include "hosted_fakes/relays.hpp"
#include "random_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using namespace camphorhitch::hosted_tests;

namespace
{

/// As random_simulation, with long tasks on runners that start again under their ids and are cut
/// off soon after, while coordinators die or pause. Late calls are carried out by whichever
/// incarnation runs by then.
struct restart_simulation : random_simulation
{
    explicit restart_simulation(
        std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : random_simulation(seed, prepare)
    {
        constexpr double rates[] = {0.98, 1, 1.02};
        for (auto& [name, h] : c.hosts.machines)
        {
            h.clock_rate = rates[below(3)];
        }
        c.hosts.kept_id_share = 1;
        c.hosts.late_calls_outlive_process = true;
        c.hosts.behaviour.run_time = core::millis{500 + below(6000)};
        c.hosts.accepts_starts_under_any_lease = seed % 2 == 0;
    }

    void disturb_leader()
    {
        auto* const n = c.leader();
        if (n == nullptr)
        {
            return;
        }
        if (below(2) == 0)
        {
            replace_node(*n);
            return;
        }
        n->process.paused = true;
        c.time.after(core::millis{300 + below(4000)}, [this, n] { c.time.resume(n->process); });
    }

    /// Ends the runner's process and cuts the next incarnation off once that has answered.
    void restart_and_cut(const std::string& machine)
    {
        const core::millis down{50 + below(900)};
        c.hosts.crash(machine, down);
        const core::millis calm{200 + below(3000)};
        const core::millis cut{2000 + below(10000)};
        if (below(2) == 0)
        {
            c.time.after(down + core::millis{below(4000)}, [this] { disturb_leader(); });
        }
        if (below(4) != 0)
        {
            c.time.after(down + calm,
                [this, machine, cut]
                {
                    if (c.hosts.machines.at(machine).has_answered)
                    {
                        c.hosts.cut(machine, cut);
                    }
                });
        }
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            c.hosts.late_order_share = below(2) == 0 ? 0.3 : 0.0;
            c.hosts.late_poll_share = below(2) == 0 ? 0.4 : 0.0;
            c.hosts.slow_answer_share = below(3) == 0 ? 0.3 : 0.0;
            if (below(3) == 0)
            {
                add_job();
            }
            if (below(4) == 0)
            {
                restart_and_cut(random_machine());
            }
            if (below(12) == 0)
            {
                disturb_leader();
            }
            c.time.run_for(core::millis{50 + below(600)});
        }
        c.hosts.late_poll_share = 0;
        c.hosts.slow_answer_share = 0;
    }
};

void play_seed(std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
{
    constexpr std::uint64_t default_steps = 80;
    restart_simulation simulation(seed, prepare);
    simulation.play(static_cast<int>(read_number("CAMPHORHITCH_STEPS", default_steps)));
    simulation.clear_faults();
    simulation.c.time.run_until([&] { return simulation.unfinished() == 0; }, 90s);
    const auto about = "seed " + std::to_string(seed) + simulation.describe_open_jobs();
    STRCMP_EQUAL_TEXT("", simulation.c.breaches().c_str(), about.c_str());
    LONGS_EQUAL_TEXT(0, simulation.unfinished(), about.c_str());
}

constexpr std::uint64_t seeds_per_test = 10;

} // namespace

TEST_GROUP(random_restarts){};

// Guards against calls for an earlier incarnation that make a task run twice or get lost, whenever
// they are carried out.
TEST(random_restarts, late_calls_break_no_promise)
{
    for_each_seed(seeds_per_test, [](std::uint64_t seed) { play_seed(seed); });
}

// The same through relays, which resume from a pause with orders of their own past.
TEST(random_restarts, late_calls_break_no_promise_with_relays)
{
    for_each_seed(seeds_per_test,
        [](std::uint64_t seed)
        {
            std::list<relayed_runners> relays;
            play_seed(seed,
                [&](cluster& c)
                {
                    c.customize_node = [&](node& n)
                    {
                        n.ctx.runners = relays.emplace_back(c, n).port();
                    };
                });
        });
}
