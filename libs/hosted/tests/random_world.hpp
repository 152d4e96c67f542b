/// \file
/// Jobs come and everything that may fail does, by a seed.
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

inline std::uint64_t number_from(const char* name, std::uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Calls \p play with each seed from 1 to \p count; CAMPHORHITCH_SEED and CAMPHORHITCH_SEEDS name
/// another first one and another count.
template <class Fn>
void for_each_seed(std::uint64_t count, Fn play)
{
    const auto first = number_from("CAMPHORHITCH_SEED", 1);
    const auto seeds = number_from("CAMPHORHITCH_SEEDS", count);
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        play(seed);
    }
}

/// Jobs come and everything that may fail does, in turn and together.
struct random_world
{
    cluster c;
    std::mt19937_64 random;
    std::vector<std::string> jobs;
    std::function<void()> on_step; ///< after each step's time has passed

    explicit random_world(std::uint64_t seed, const std::function<void(cluster&)>& prepare = {})
        : c(seed), random(seed)
    {
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
        c.hosts.behaviour.fails = 0.05;
    }

    int below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random);
    }

    std::string some_machine()
    {
        return "m" + std::to_string(1 + below(6));
    }

    node& some_node()
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
        jobs.push_back(id);
        c.put_job(j);
    }

    void kill_node(node& n)
    {
        if (!n.process.dead)
        {
            n.process.dead = true;
            c.add_node();
        }
    }

    void fault()
    {
        switch (below(10))
        {
        case 0:
            kill_node(some_node());
            break;
        case 1:
            if (auto* const n = c.leader())
            {
                kill_node(*n);
            }
            break;
        case 2:
        {
            auto& n = some_node();
            n.process.paused = true;
            c.time.after(core::millis{500 + below(4000)}, [this, &n] { c.time.resume(n.process); });
            break;
        }
        case 3:
            c.hosts.crash(some_machine(), core::millis{300 + below(5000)});
            break;
        case 4:
            c.hosts.cut(some_machine(), core::millis{300 + below(6000)});
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
            auto& n = some_node();
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
            c.hosts.orders_late = below(4) == 0 ? 0.2 : 0.0;
            if (below(2) == 0)
            {
                add_job();
            }
            if (below(3) == 0)
            {
                fault();
            }
            c.time.run_for(core::millis{50 + below(400)});
            if (on_step)
            {
                on_step();
            }
        }
    }

    /// Everything is well again.
    void heal()
    {
        c.store.down = false;
        c.store.answers_to_lose = 0;
        c.store.writes_to_delay = 0;
        c.hosts.orders_late = 0;
        c.hosts.behaviour.fails = 0;
        for (auto& it : c.nodes)
        {
            it.process.store_cut = false;
        }
    }

    /// What the coordinator said last, for the report of a failure.
    std::string last_lines()
    {
        auto* const n = c.leader();
        if (unfinished() == 0 || n == nullptr)
        {
            return unfinished() == 0 ? "" : "; nobody coordinates";
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
        constexpr std::size_t most = 30;
        const auto& lines = n->log.lines;
        for (std::size_t i = lines.size() - std::min(lines.size(), most); i < lines.size(); ++i)
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
