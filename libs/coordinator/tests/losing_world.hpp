/// \file
/// A fleet that loses hosts, on which tests try what is made of the runs that were lost with them.
#pragma once

#include "coordinator/waves.hpp"
#include "world.hpp"

#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// A fleet whose store takes each write at once, unless told otherwise.
struct losing_world : world
{
    bool stores = true;
    int lives = 0;

    void store_all()
    {
        for (auto& [id, j] : f.jobs)
        {
            j->losses_stored = stores ? j->losses_recorded : j->losses_stored;
        }
    }

    /// \return the starts of the next plans: a trial is entered by one and ordered by the next.
    std::vector<start_action> starts()
    {
        auto out = next().starts;
        store_all();
        auto more = next().starts;
        out.insert(out.end(), more.begin(), more.end());
        store_all();
        return out;
    }

    /// The host's life ends, and another host takes its place.
    void lose_host(const std::string& id, life_proof proof = life_proof::other_life)
    {
        const auto rack = f.hosts.at(id).rack;
        end_host(f, id, proof, now, events);
        add_host("next" + std::to_string(++lives), rack);
        store_all();
    }

    /// The host is silent until all its leases have ended.
    void lapse_host(const std::string& id)
    {
        auto& h = f.hosts.at(id);
        h.machine = "of-" + id;
        h.reachable = false;
        h.lease_until_ms = h.clock_ms;
        now += 3s;
        lapse_hosts(f, now, events);
        wait(0ms);
        store_all();
    }

    void answers(const std::string& id)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, 100000};
        poll_answered(f, id, now, p, now, events);
    }

    /// The list of machines shows the next life of the host's machine.
    void list_next_life(const std::string& id)
    {
        machine_table list;
        list.known = true;
        now += 10ms;
        list.read_at = now;
        list.machines["of-" + id] = {"of-" + id, "p", "z", "another", ports::machine_state::up};
        match_machines(f, list, {}, now, events);
        store_all();
    }

    /// Starts the one task that waits, and loses its host as often as it starts, at most \p most
    /// times. \return how often it started.
    int crash_all(int most)
    {
        int n = 0;
        while (n < most)
        {
            const auto all = starts();
            if (all.empty())
            {
                break;
            }
            for (const auto& it : all)
            {
                started(it);
            }
            ++n;
            lose_host(all[0].host.id);
        }
        return n;
    }

    /// Starts what waits and loses all hosts with runs, so many times.
    void lose_all(int times)
    {
        for (int i = 0; i < times; ++i)
        {
            for (const auto& it : starts())
            {
                started(it);
            }
            std::vector<std::string> used;
            for (const auto& [id, h] : f.hosts)
            {
                if (!h.runs.empty())
                {
                    used.push_back(id);
                }
            }
            for (const auto& id : used)
            {
                lose_host(id);
            }
        }
    }

    /// Time passes, and all hosts answer.
    void wait(core::millis time)
    {
        now += time;
        for (auto& [id, h] : f.hosts)
        {
            h.last_answer_at = h.reachable ? now : h.last_answer_at;
        }
    }

    workflow::job_state state(const std::string& id) const
    {
        return f.jobs.at(id)->state;
    }

    int losses(const std::string& id) const
    {
        return f.jobs.at(id)->losses;
    }

    int said(const std::string& what) const
    {
        int n = 0;
        for (const auto& it : events)
        {
            n += it.event == what ? 1 : 0;
        }
        return n;
    }
};

} // namespace camphorhitch::coordinator
