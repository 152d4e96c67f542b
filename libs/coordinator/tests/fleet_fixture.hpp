/// \file
/// A fleet of hosts that answer, for tests of single decisions.
#pragma once

#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"

#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::coordinator
{

using namespace std::chrono_literals;

/// Wall time of the tests, in milliseconds since 1970.
inline constexpr std::int64_t wall_ms = 1'700'000'000'000;
/// Processor capacity of each host, in thousandths of a core.
inline constexpr std::int64_t host_cpu = 4000;

inline workflow::step make_step(int tasks, std::int64_t cpu)
{
    workflow::step s;
    s.tasks = tasks;
    s.need.cpu = cpu;
    s.estimated_run_time = 1000ms;
    return s;
}

inline workflow::job make_job(const std::string& id, std::vector<workflow::step> steps)
{
    workflow::job j;
    j.id = id;
    j.queue = "q";
    j.pool = "p";
    j.max_attempts = 2;
    j.accepted_unix_ms = wall_ms;
    j.steps = std::move(steps);
    return j;
}

/// A fleet whose hosts answer everything, unless a test answers for them.
struct fleet_fixture
{
    fleet f;
    core::mono_time now{1000s};
    task_events events;

    void add_host(const std::string& id, const std::string& rack = "r1")
    {
        host_entry h;
        h.ref = {id, id + ":1", {}};
        h.machine = "of-" + id;
        h.pool = "p";
        h.rack = rack;
        h.labels = {"a", rack};
        h.capacity = {host_cpu, 65536, 0};
        h.listed = true;
        h.recorded = true;
        h.reachable = true;
        h.last_answer_at = now;
        h.clock_ms = clock_ms();
        h.clock_read_at = now;
        f.hosts[id] = h;
    }

    void accept_job(workflow::job j)
    {
        add_job(f, std::move(j), 1, {}, 0);
    }

    /// \return the clock of all runners, in milliseconds.
    std::int64_t clock_ms() const
    {
        return 1000 +
               std::chrono::duration_cast<core::millis>(now - core::mono_time{1000s}).count();
    }

    plan plan_next(std::int64_t unix_ms = wall_ms)
    {
        return make_plan(f, now, unix_ms, true, events);
    }

    /// Applies the answer of the runner to a start order.
    void answer_start(const start_action& a, ports::runner_verdict v = ports::runner_verdict::done)
    {
        handle_start_answer(f, a.host.id, a.task, a.run, {v, clock_ms()}, now, events);
    }

    /// Applies a poll answer that reports the end of the run.
    void report_end(const start_action& a, ports::run_end how, std::int64_t number)
    {
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, clock_ms()};
        p.ended = {{number,
            workflow::task_name(a.task).job + "." + std::to_string(a.task.occurrence) + "." +
                std::to_string(a.task.step) + "." + std::to_string(a.task.index),
            a.run,
            how,
            {}}};
        handle_poll_answer(f, a.host.id, now, p, now, events);
    }
};

} // namespace camphorhitch::coordinator
