/// \file
/// extended_simulation with machines that move between pools.
#pragma once

#include "extended_simulation.hpp"
#include "machine_faults.hpp"

#include <optional>
#include <set>

namespace camphorhitch::hosted_tests
{

/// Faults around machines, in addition to those of extended_simulation.
struct machine_fault_settings
{
    double call_failure_share = 0; ///< share of lost answers, of late orders and of late lists
    bool transfers_addresses = false;
};

/// An extended_simulation with two pools, between which machines move as work shifts.
struct moving_machines_simulation
{
    std::optional<machine_faults> faults;
    extended_simulation simulation;
    std::set<std::string> nodes_with_pools; ///< nodes whose driver has been given the pools

    machine_fault_settings fault_settings;

    /// \param change called with the new cluster, to change its settings
    moving_machines_simulation(std::uint64_t seed,
        machine_fault_settings t,
        const std::function<void(cluster&)>& change = {})
        : simulation(seed,
              [this, seed, t, &change](cluster& c)
              {
                  prepare(c, seed, t.call_failure_share);
                  if (change)
                  {
                      change(c);
                  }
              }),
          fault_settings(t)
    {
        simulation.after_step = [this]
        {
            step();
        };
    }

    void prepare(cluster& c, std::uint64_t seed, double call_failure_share)
    {
        faults.emplace(c, seed);
        faults->lost_answer_share = call_failure_share;
        faults->late_order_share = call_failure_share;
        faults->slow_list_share = call_failure_share;
        c.customize_node = [this](node& n)
        {
            faults->wrap(n);
        };
        c.hosts.add("q");
        c.hosts.add("q");
    }

    /// Gives the pools to nodes that do not have them yet.
    void configure_pools()
    {
        for (auto& it : simulation.c.nodes)
        {
            if (nodes_with_pools.insert(it.ctx.member).second)
            {
                it.driver->set_pools({{"p", false}, {"q", false}});
            }
        }
    }

    void step()
    {
        configure_pools();
        if (simulation.below(3) == 0)
        {
            simulation.jobs.push_back("q" + std::to_string(simulation.jobs.size()));
            auto j = simulation.c.make_job(simulation.jobs.back(), 1 + simulation.below(8));
            j.pool = "q";
            j.max_attempts = 6;
            simulation.c.put_job(j);
        }
        if (fault_settings.transfers_addresses && simulation.below(8) == 0)
        {
            simulation.c.hosts.transfer_address(simulation.random_machine(),
                simulation.random_machine(),
                core::millis{500 + simulation.below(3000)});
        }
    }
};

} // namespace camphorhitch::hosted_tests
