/// \file
/// Simulation of a cluster with random jobs and faults, from a seed.
#pragma once

#include "hosted_fakes/cluster.hpp"

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace camphorhitch::hosted_tests
{

using hosted_fakes::cluster;
using hosted_fakes::node;

inline std::uint64_t read_number(const char* name, std::uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Calls \p play with each seed from 1 to \p count. The environment variables CAMPHORHITCH_SEED and
/// CAMPHORHITCH_SEEDS override the first seed and the count.
template <class Fn>
void for_each_seed(std::uint64_t count, Fn play)
{
    const auto first = read_number("CAMPHORHITCH_SEED", 1);
    const auto seeds = read_number("CAMPHORHITCH_SEEDS", count);
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        play(seed);
    }
}

/// A cluster in which random jobs arrive and random faults occur, alone and together.
struct random_simulation
{
    cluster c;
    std::mt19937_64 random;
    std::vector<std::string> jobs;
    std::function<void()> after_step; ///< called after each step
    /// Jobs belong to workspaces, whose caps change at random.
    bool has_workspaces = false;

    explicit random_simulation(
        std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : c(seed), random(seed)
    {
        c.hosts.kept_id_share = 0.5;
        if (prepare)
        {
            prepare(c);
        }
        for (int i = 0; i < 6; ++i)
        {
            c.hosts.add("p");
        }
        for (int i = 0; i < 3; ++i)
        {
            c.add_node();
        }
        c.hosts.behaviour.failure_share = 0.05;
    }

    int below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random);
    }

    std::string random_machine()
    {
        return "m" + std::to_string(1 + below(6));
    }

    node& random_node()
    {
        auto it = c.nodes.begin();
        std::advance(it, below(static_cast<int>(c.nodes.size())));
        return *it;
    }

    void add_job()
    {
        const auto id = "j" + std::to_string(jobs.size());
        auto j = c.make_job(id, 1 + below(5), 1 + below(3));
        j.steps[0].speculative = false;
        j.max_attempts = 6;
        if (has_workspaces)
        {
            j.workspace = "w" + std::to_string(below(3));
        }
        jobs.push_back(id);
        c.put_job(j);
    }

    /// Changes the caps of all workspaces. At least one task always fits.
    void change_caps()
    {
        constexpr core::millis max_delay{2500};
        constexpr int cpu_of_task = 1000;
        std::vector<coordinator::workspace_settings> all;
        for (int i = 0; i < 3; ++i)
        {
            const std::int64_t cap = cpu_of_task * (1 + below(6));
            all.push_back({"w" + std::to_string(i), 1 + below(3), {cap, 0, 0}, true});
        }
        c.configure(std::move(all), max_delay, random);
    }

    void replace_node(node& n)
    {
        if (!n.process.dead)
        {
            n.process.dead = true;
            c.add_node();
        }
    }

    void inject_fault()
    {
        switch (below(10))
        {
        case 0:
            replace_node(random_node());
            break;
        case 1:
            if (auto* const n = c.leader())
            {
                replace_node(*n);
            }
            break;
        case 2:
        {
            auto& n = random_node();
            n.process.paused = true;
            c.time.after(core::millis{500 + below(4000)}, [this, &n] { c.time.resume(n.process); });
            break;
        }
        case 3:
            c.hosts.crash(random_machine(), core::millis{300 + below(5000)});
            break;
        case 4:
            c.hosts.cut(random_machine(), core::millis{300 + below(6000)});
            break;
        case 5:
            c.store.down = true;
            c.time.after(core::millis{300 + below(4000)}, [this] { c.store.down = false; });
            break;
        case 6:
            c.store.answers_to_lose += 1 + below(4);
            break;
        case 7:
            c.store.writes_to_delay += 1 + below(3);
            break;
        case 8:
            below(2) == 0 ? c.store.compact() : c.store.revoke(hosted::leader_key);
            break;
        case 9:
        {
            auto& n = random_node();
            n.process.store_cut = true;
            c.time.after(core::millis{300 + below(4000)}, [&n] { n.process.store_cut = false; });
            break;
        }
        default:
            break;
        }
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            c.hosts.late_order_share = below(4) == 0 ? 0.2 : 0.0;
            if (below(2) == 0)
            {
                add_job();
            }
            if (has_workspaces && below(6) == 0)
            {
                change_caps();
            }
            if (below(3) == 0)
            {
                inject_fault();
            }
            c.time.run_for(core::millis{50 + below(400)});
            if (after_step)
            {
                after_step();
            }
        }
    }

    /// Ends all faults of the store, the runners and the network.
    void clear_faults()
    {
        c.store.down = false;
        c.store.answers_to_lose = 0;
        c.store.writes_to_delay = 0;
        c.hosts.late_order_share = 0;
        c.hosts.behaviour.failure_share = 0;
        for (auto& it : c.nodes)
        {
            it.process.store_cut = false;
        }
    }

    /// \return the open jobs with their log lines and the coordinator's last log lines, for the
    /// report of a failure; empty if no job is open.
    std::string describe_open_jobs()
    {
        auto* const n = c.leader();
        if (unfinished() == 0 || n == nullptr)
        {
            return unfinished() == 0 ? "" : "; no node coordinates";
        }
        std::string out;
        for (const auto& it : jobs)
        {
            if (!workflow::is_final(c.state_of(it)))
            {
                const auto* const state = c.store.find(hosted::state_key(it));
                out += "\nopen: " + it + " stored: " + (state == nullptr ? "" : state->value);
                for (const auto& why : n->driver->explain_job(it))
                {
                    out += "\n  " + why;
                }
                for (const auto& line : n->log.lines)
                {
                    out += line.find("id=" + it + " ") != std::string::npos ? "\n" + line : "";
                }
            }
        }
        constexpr std::size_t max_lines = 30;
        const auto& lines = n->log.lines;
        for (std::size_t i = lines.size() - std::min(lines.size(), max_lines); i < lines.size();
             ++i)
        {
            out += "\n" + lines[i];
        }
        return out;
    }

    std::size_t unfinished() const
    {
        std::size_t n = 0;
        for (const auto& it : jobs)
        {
            n += workflow::is_final(c.state_of(it)) ? 0 : 1;
        }
        return n;
    }
};

} // namespace camphorhitch::hosted_tests
