/// \file
/// random_world with more that may fail.
#pragma once

#include "random_simulation.hpp"

namespace camphorhitch::hosted_tests
{

/// As random_world, with tasks that outlast leases, runners whose clocks are slow or fast and that
/// crash and come back within a lease, late polls, owners that follow each other within a lease,
/// nodes that wake beside them, and machines that are maintained.
struct wide_world : random_world
{
    std::int64_t waves = 0;

    explicit wide_world(std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : random_world(seed, prepare)
    {
        constexpr double rates[] = {0.98, 1, 1.02};
        for (auto& [name, h] : c.hosts.machines)
        {
            h.clock_rate = rates[below(3)];
        }
        c.hosts.behaviour.run_time = core::millis{300 + below(3000)};
        c.hosts.takes_starts_by_any_lease = seed % 2 == 0;
    }

    void freeze(node& n, core::millis how_long)
    {
        if (!n.process.dead && !n.process.paused)
        {
            n.process.paused = true;
            c.time.after(how_long, [this, &n] { c.time.resume(n.process); });
        }
    }

    void begin_wave()
    {
        std::vector<std::string> some{some_machine(), some_machine()};
        if (some[0] == some[1])
        {
            some.pop_back();
        }
        ++waves;
        for (auto& it : c.nodes)
        {
            it.driver->set_waves({{waves, some, core::millis{10000}, 1}});
        }
    }

    void cut_and_crash(const std::string& machine)
    {
        const core::millis dark{200 + below(5000)};
        c.hosts.cut(machine, dark);
        if (below(2) == 0)
        {
            c.time.after(core::millis{below(static_cast<int>(dark.count()))},
                [this, machine] { c.hosts.crash(machine, core::millis{50 + below(900)}); });
        }
    }

    void change_owner_twice()
    {
        c.store.revoke(hosted::leader_key);
        c.time.after(core::millis{300 + below(1500)},
            [this]
            {
                if (auto* const n = c.leader())
                {
                    below(2) == 0 ? freeze(*n, core::millis{300 + below(5000)}) : kill_node(*n);
                }
            });
    }

    /// The coordinator gets no processor time, or little: its calls leave late, and it may hand
    /// over.
    void lag()
    {
        auto* const n = c.leader();
        if (n == nullptr || n->cpu == nullptr)
        {
            return;
        }
        if (below(2) == 0)
        {
            n->cpu->stand_still(core::millis{200 + below(3500)});
            return;
        }
        constexpr double slowed = 0.02;
        const auto usual = n->cpu->share;
        n->cpu->share = slowed;
        c.time.after(core::millis{500 + below(4000)}, [n, usual] { n->cpu->share = usual; });
    }

    void more_faults()
    {
        switch (below(8))
        {
        case 0:
            c.hosts.crash(some_machine(), core::millis{50 + below(1000)});
            break;
        case 1:
        case 2:
            cut_and_crash(some_machine());
            break;
        case 3:
            if (auto* const n = c.leader())
            {
                freeze(*n, core::millis{300 + below(5000)});
            }
            break;
        case 4:
            change_owner_twice();
            break;
        case 5:
            c.store.writes_to_delay += 1 + below(4);
            c.store.late_by = core::millis{200 + below(4000)};
            break;
        case 6:
            begin_wave();
            break;
        default:
            fault();
            break;
        }
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            c.hosts.orders_late = below(3) == 0 ? 0.4 : 0.0;
            c.hosts.polls_late = below(4) == 0 ? 0.3 : 0.0;
            c.hosts.answers_slow = below(3) == 0 ? 0.3 : 0.0;
            if (below(2) == 0)
            {
                add_job();
            }
            if (below(2) == 0)
            {
                more_faults();
            }
            if (c.share > 0 && below(4) == 0)
            {
                lag();
            }
            c.time.run_for(core::millis{50 + below(400)});
            if (on_step)
            {
                on_step();
            }
        }
        c.hosts.polls_late = 0;
        c.hosts.answers_slow = 0;
    }
};

} // namespace camphorhitch::hosted_tests
