/// \file
/// random_simulation with further kinds of faults.
#pragma once

#include "random_simulation.hpp"

namespace camphorhitch::hosted_tests
{

/// As random_simulation, with tasks that outlast leases, runners whose clocks are slow or fast and
/// that crash and return within a lease, late polls, coordinators that follow each other within a
/// lease, paused nodes that resume beside them, and machines that are maintained.
struct extended_simulation : random_simulation
{
    std::int64_t waves = 0;

    explicit extended_simulation(
        std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : random_simulation(seed, prepare)
    {
        constexpr double rates[] = {0.98, 1, 1.02};
        for (auto& [name, h] : c.hosts.machines)
        {
            h.clock_rate = rates[below(3)];
        }
        c.hosts.behaviour.run_time = core::millis{300 + below(3000)};
        c.hosts.accepts_starts_under_any_lease = seed % 2 == 0;
    }

    void pause_node(node& n, core::millis how_long)
    {
        if (!n.process.dead && !n.process.paused)
        {
            n.process.paused = true;
            c.time.after(how_long, [this, &n] { c.time.resume(n.process); });
        }
    }

    void request_wave()
    {
        std::vector<std::string> machines{random_machine(), random_machine()};
        if (machines[0] == machines[1])
        {
            machines.pop_back();
        }
        ++waves;
        for (auto& it : c.nodes)
        {
            it.driver->set_waves({{waves, machines, core::millis{10000}, 1}});
        }
    }

    void cut_and_crash(const std::string& machine)
    {
        const core::millis cut_off_time{200 + below(5000)};
        c.hosts.cut(machine, cut_off_time);
        if (below(2) == 0)
        {
            c.time.after(core::millis{below(static_cast<int>(cut_off_time.count()))},
                [this, machine] { c.hosts.crash(machine, core::millis{50 + below(900)}); });
        }
    }

    void change_leader_twice()
    {
        c.store.revoke(hosted::leader_key);
        c.time.after(core::millis{300 + below(1500)},
            [this]
            {
                if (auto* const n = c.leader())
                {
                    below(2) == 0 ? pause_node(*n, core::millis{300 + below(5000)})
                                  : replace_node(*n);
                }
            });
    }

    /// Gives the coordinator no processor time for a while, or little: its calls are sent late, and
    /// it may hand over.
    void delay_leader()
    {
        auto* const n = c.leader();
        if (n == nullptr || n->cpu == nullptr)
        {
            return;
        }
        if (below(2) == 0)
        {
            n->cpu->stall_for(core::millis{200 + below(3500)});
            return;
        }
        constexpr double reduced_share = 0.02;
        const auto usual = n->cpu->share;
        n->cpu->share = reduced_share;
        c.time.after(core::millis{500 + below(4000)}, [n, usual] { n->cpu->share = usual; });
    }

    void inject_any_fault()
    {
        switch (below(8))
        {
        case 0:
            c.hosts.crash(random_machine(), core::millis{50 + below(1000)});
            break;
        case 1:
        case 2:
            cut_and_crash(random_machine());
            break;
        case 3:
            if (auto* const n = c.leader())
            {
                pause_node(*n, core::millis{300 + below(5000)});
            }
            break;
        case 4:
            change_leader_twice();
            break;
        case 5:
            c.store.writes_to_delay += 1 + below(4);
            c.store.delayed_write_time = core::millis{200 + below(4000)};
            break;
        case 6:
            request_wave();
            break;
        default:
            inject_fault();
            break;
        }
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            c.hosts.late_order_share = below(3) == 0 ? 0.4 : 0.0;
            c.hosts.late_poll_share = below(4) == 0 ? 0.3 : 0.0;
            c.hosts.slow_answer_share = below(3) == 0 ? 0.3 : 0.0;
            if (below(2) == 0)
            {
                add_job();
            }
            if (below(2) == 0)
            {
                inject_any_fault();
            }
            if (c.processor_share > 0 && below(4) == 0)
            {
                delay_leader();
            }
            c.time.run_for(core::millis{50 + below(400)});
            if (after_step)
            {
                after_step();
            }
        }
        c.hosts.late_poll_share = 0;
        c.hosts.slow_answer_share = 0;
    }
};

} // namespace camphorhitch::hosted_tests
