/// \file
/// A fleet that loses hosts, for tests of how lost runs are counted and tasks restarted.
#pragma once

#include "coordinator/waves.hpp"
#include "fleet_fixture.hpp"
#include "workflow/records.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::coordinator
{

/// A fleet whose store accepts each write at once while `stores` is true.
struct host_loss_fixture : fleet_fixture
{
    bool stores = true;
    int replacements = 0;
    std::map<std::string, std::int64_t> ends; ///< by host: number of its newest end

    void store_losses()
    {
        for (auto& [id, j] : f.jobs)
        {
            j->losses_stored = stores ? j->losses_recorded : j->losses_stored;
        }
    }

    /// \return the starts of the next two plans: the first one reserves an isolated run, the second
    /// one orders it.
    std::vector<start_action> plan_starts()
    {
        auto out = plan_next().starts;
        store_losses();
        auto more = plan_next().starts;
        out.insert(out.end(), more.begin(), more.end());
        store_losses();
        return out;
    }

    /// Ends the runner of the host; a new host takes its place.
    void lose_host(
        const std::string& id, termination_evidence proof = termination_evidence::other_life)
    {
        const auto rack = f.hosts.at(id).rack;
        end_host(f, id, proof, now, events);
        add_host("next" + std::to_string(++replacements), rack);
        store_losses();
    }

    /// The host is unresponsive until all its leases have expired.
    void expire_host(const std::string& id)
    {
        auto& h = f.hosts.at(id);
        h.machine = "of-" + id;
        h.reachable = false;
        h.lease_until_ms = h.clock_ms;
        now += 3s;
        expire_hosts(f, now, events);
        advance_time(0ms);
        store_losses();
    }

    void answer_poll(const std::string& id)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, 100000};
        handle_poll_answer(f, id, now, p, now, events);
    }

    /// The machine list shows another runner on the host's machine.
    void list_next_incarnation(const std::string& id)
    {
        machine_table list;
        list.known = true;
        now += 10ms;
        list.requested_at = now;
        list.machines["of-" + id] = {"of-" + id, "p", "z", "another", ports::machine_state::up};
        apply_machine_list(f, list, {}, now, events);
        store_losses();
    }

    /// Starts the one waiting task and loses its host after each start, at most \p most times.
    /// \return the number of starts.
    int crash_repeatedly(int most)
    {
        int n = 0;
        while (n < most)
        {
            const auto all = plan_starts();
            if (all.empty())
            {
                break;
            }
            for (const auto& it : all)
            {
                answer_start(it);
            }
            ++n;
            lose_host(all[0].host.id);
        }
        return n;
    }

    /// Applies a poll answer that lists the run as active.
    void report_active(const start_action& a)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, clock_ms()};
        p.running = {{workflow::write_task_name(a.task), a.run, {}, 100, 0}};
        handle_poll_answer(f, a.host.id, now, p, now, events);
    }

    /// Starts the waiting task, or the gang, and loses the host of one start after the run has been
    /// active for a second. The runs of the other members end.
    void lose_after_start(int member)
    {
        const auto all = plan_starts();
        CHECK(!all.empty());
        for (const auto& it : all)
        {
            answer_start(it);
        }
        advance_time(1s);
        for (const auto& it : all)
        {
            report_active(it);
        }
        for (const auto& it : all)
        {
            if (it.task.index != member)
            {
                report_end(it, ports::run_end::member_ended, ++ends[it.host.id]);
            }
        }
        lose_host(all.at(static_cast<std::size_t>(member)).host.id);
    }

    /// Starts the waiting tasks and loses all hosts with runs, this many times.
    void lose_used_hosts(int times)
    {
        for (int i = 0; i < times; ++i)
        {
            for (const auto& it : plan_starts())
            {
                answer_start(it);
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

    /// Advances the clock; all reachable hosts answer.
    void advance_time(core::millis time)
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

    int event_count(const std::string& what) const
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
