/// \file
/// Nodes of the system on a simulated hosting platform in virtual time.
#pragma once

#include "daemon_fakes/recorders.hpp"
#include "hosted/fleet_driver.hpp"
#include "hosted/job_request_handler.hpp"
#include "hosted/keys.hpp"
#include "hosted/leadership.hpp"
#include "hosted/store_health_monitor.hpp"
#include "hosted_fakes/hosts.hpp"
#include "hosted_fakes/processor.hpp"
#include "hosted_fakes/store.hpp"
#include "workflow/records.hpp"

#include <list>
#include <memory>
#include <string>

namespace camphorhitch::hosted_fakes
{

using namespace std::chrono_literals;

/// One node: it may coordinate, and it answers callers.
struct node
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    hosted::formats formats;
    hosted::context ctx;
    std::unique_ptr<processor> cpu; ///< null: the node's work takes no time
    std::unique_ptr<hosted::store_health_monitor> pulse;
    std::unique_ptr<hosted::leadership> lead;
    std::unique_ptr<hosted::fleet_driver> driver;
    std::unique_ptr<hosted::job_request_handler> desk;
};

struct cluster
{
    daemon_fakes::virtual_time time;
    hosted_fakes::store store{time};
    hosted_fakes::hosts hosts;
    std::list<node> nodes; ///< dead ones too: answers to them may still be in flight
    int last_node = 0;
    hosted::driver_settings settings;
    hosted::leadership_settings leadership;
    hosted::job_request_settings requests;
    double processor_share = 0; ///< share of a core for each new node; 0: its work takes no time
    std::vector<coordinator::workspace_settings> workspaces; ///< given to each new node
    std::function<void(node&)> on_lost; ///< called after the end of a node's term
    /// Changes a new node's ports, for example to inject faults or to disable a safeguard.
    std::function<void(node&)> customize_node;

    explicit cluster(std::uint64_t seed = 1) : hosts(time, store, seed)
    {
    }

    node& add_node()
    {
        auto& n = nodes.emplace_back();
        n.formats = hosts.formats();
        n.ctx.member = "n" + std::to_string(++last_node);
        n.ctx.time = time.port(n.process);
        n.ctx.store = store.port(n.process);
        n.ctx.runners = hosts.runner_port(n.process);
        n.ctx.machines = hosts.machine_port(n.process);
        n.ctx.tel = n.log.port(time);
        n.ctx.boot_now = [this]
        {
            return time.now();
        };
        if (processor_share > 0)
        {
            n.cpu = std::make_unique<processor>(time, n.process, processor_share);
            n.ctx = n.cpu->wrap(n.ctx);
        }
        n.pulse = std::make_unique<hosted::store_health_monitor>(
            n.ctx.store, n.ctx.time, n.ctx.tel, hosted::store_health_settings{});
        n.ctx.store = n.pulse->port();
        n.ctx.store_unresponsive = [&n]
        {
            return n.pulse->is_unresponsive();
        };
        n.ctx.store_failing = [&n]
        {
            return n.pulse->is_failing();
        };
        n.ctx.best_other_share = [this, &n]
        {
            return max_other_share(n);
        };
        if (customize_node)
        {
            customize_node(n);
        }
        hosted::leadership_events events;
        events.on_gained = [&n](std::int64_t term, ports::revision token)
        {
            n.driver->begin_term(term, token);
        };
        events.on_lost = [this, &n](const std::string&)
        {
            n.driver->end_term();
            if (on_lost)
            {
                on_lost(n);
            }
        };
        n.lead = std::make_unique<hosted::leadership>(n.ctx, leadership, events);
        settings.processor_share = processor_share;
        n.driver = std::make_unique<hosted::fleet_driver>(n.ctx, n.formats, settings, *n.lead);
        n.driver->set_workspaces(workspaces);
        n.desk = std::make_unique<hosted::job_request_handler>(n.ctx, requests);
        n.lead->start();
        return n;
    }

    /// \return the node that coordinates, or nullptr.
    node* leader()
    {
        for (auto& it : nodes)
        {
            if (!it.process.dead && !it.process.paused && it.lead->holds_lease())
            {
                return &it;
            }
        }
        return nullptr;
    }

    /// \return the largest processor share of the nodes other than \p n.
    double max_other_share(const node& n) const
    {
        double best = 0;
        for (const auto& it : nodes)
        {
            const bool other = &it != &n && !it.process.dead;
            best = other && it.cpu != nullptr ? std::max(best, it.cpu->share) : best;
        }
        return best;
    }

    /// \return whether a node leads within the time.
    bool has_leader(core::millis bound = 5s)
    {
        return time.run_until([&] { return leader() != nullptr; }, bound);
    }

    workflow::job make_job(const std::string& id, int tasks, int steps = 1) const
    {
        workflow::job j;
        j.id = id;
        j.queue = "q";
        j.pool = "p";
        j.max_attempts = 3;
        j.accepted_unix_ms = core::to_unix_ms(time.wall_now());
        for (int i = 0; i < steps; ++i)
        {
            workflow::step s;
            s.tasks = tasks;
            s.need.cpu = 1000;
            s.estimated_run_time = 400ms;
            if (i > 0)
            {
                s.depends_on = {i - 1};
            }
            j.steps.push_back(s);
        }
        return j;
    }

    /// Changes the caps of the workspaces. Each node learns of it after a delay of its own, up to
    /// \p max_delay; at most the bound within which a configuration is in force everywhere.
    template <class Random>
    void configure(
        std::vector<coordinator::workspace_settings> all, core::millis max_delay, Random& random)
    {
        workspaces = std::move(all);
        for (const auto& it : workspaces)
        {
            hosts.set_cap(it.name, it.cap.cpu);
        }
        for (auto& it : nodes)
        {
            const core::millis delay{
                std::uniform_int_distribution<std::int64_t>(0, max_delay.count())(random)};
            time.after(delay,
                [this, &it]
                {
                    if (!it.process.dead)
                    {
                        it.process.enter([this, &it] { it.driver->set_workspaces(workspaces); });
                    }
                });
        }
    }

    /// As make_job() with one step, whose tasks run on distinct hosts.
    workflow::job make_job_on_each(const std::string& id, int hosts) const
    {
        auto j = make_job(id, hosts);
        j.steps[0].max_per_host = 1;
        return j;
    }

    /// Puts a job into the store, as the node that accepts it from a caller would.
    void put_job(const workflow::job& j)
    {
        hosts.expect(j);
        store.put(hosted::job_key(j.id), workflow::write_job(j));
    }

    /// \return the job's stored state; queued if none is stored.
    workflow::job_state state_of(const std::string& id) const
    {
        const auto* const it = store.find(hosted::state_key(id));
        return it == nullptr ? workflow::job_state::queued
                             : core::value(workflow::read_progress_state(it->value));
    }

    /// \return whether the job's stored state becomes \p state within the time.
    bool ends(const std::string& id, workflow::job_state state, core::millis bound)
    {
        return time.run_until([&] { return state_of(id) == state; }, bound);
    }

    /// \return the number of runs on all runners.
    std::size_t running() const
    {
        std::size_t n = 0;
        for (const auto& [name, h] : hosts.machines)
        {
            n += h.runs.size();
        }
        return n;
    }

    /// \return all violations of promises so far, one per line; empty: there are none.
    std::string breaches() const
    {
        std::string out;
        for (const auto& it : hosts.broken_promises)
        {
            out += it + "\n";
        }
        for (const auto& it : hosts.failed_without_cause())
        {
            out += it + "\n";
        }
        return out;
    }
};

} // namespace camphorhitch::hosted_fakes
