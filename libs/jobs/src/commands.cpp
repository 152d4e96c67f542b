#include "commands.hpp"

#include "core/invariant.hpp"
#include "reconcile.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace camphorhitch::jobs
{

namespace
{

/// Renewals of a lease within its time to live, so that the loss of two renewals does not end it.
constexpr int renewals_per_lease = 3;

using batches = std::map<std::pair<std::string, ports::task_action>, std::vector<std::string>>;

struct command_batch
{
    pool_jobs& all;
    const round_input& in;
    std::vector<action>& actions;
    batches commands;
    std::set<std::string> polls;
};

bool is_due(const std::optional<core::mono_time>& sent, const round_input& in)
{
    return !sent || in.now - *sent >= in.rules.command_retry_delay;
}

void send(command_batch& c, const job& j, ports::task_action what, const std::string& task)
{
    c.commands[{j.host, what}].push_back(task);
}

void issue_start_order(command_batch& c, const job& j, task_record& t)
{
    core::require(!t.ordered_at, "a task was ordered twice", j.id);
    core::require(j.idempotent || j.checkpoint.empty(),
        "a job that may run only once resumes from a checkpoint",
        j.id);
    t.ordered_at = c.in.now;
    t.throttled_at_worker = false;
    start_task made;
    made.order.host = j.host;
    made.order.task = task_name(j);
    made.order.processors = j.reserved.processors;
    made.order.memory_gb = j.reserved.memory_gb;
    made.order.accelerators = j.reserved.accelerators;
    made.order.run_time = j.run_time;
    made.order.lease_ttl = j.lease_ttl;
    made.order.resume = !j.checkpoint.empty();
    made.order.checkpoint = j.checkpoint;
    made.order.payload = j.payload;
    c.actions.emplace_back(std::move(made));
}

core::millis checkpoint_timeout(const job& j, const settings& rules)
{
    return j.releasing == release_reason::preempted ? rules.preemption_checkpoint_timeout
                                                    : rules.drain_checkpoint_timeout;
}

/// Requests a checkpoint, then the stop of the task when the checkpoint is written or times out.
void command_release(command_batch& c, const job& j, task_record& t)
{
    if (!t.release_started_at)
    {
        t.release_started_at = c.in.now; // the release was started by a previous owner
    }
    if (j.releasing == release_reason::preempted)
    {
        c.polls.insert(j.host);
    }
    if (!t.checkpoint_sent)
    {
        t.checkpoint_sent = c.in.now;
        send(c, j, ports::task_action::checkpoint, task_name(j));
        return;
    }
    const bool is_new =
        t.reported_at && !t.report.checkpoint.empty() && t.report.checkpoint != j.checkpoint;
    const bool too_late = c.in.now - *t.release_started_at >= checkpoint_timeout(j, c.in.rules);
    if ((is_new || too_late) && is_due(t.stop_sent, c.in))
    {
        t.stop_sent = c.in.now;
        send(c, j, ports::task_action::stop, task_name(j));
    }
}

void command_throttle(command_batch& c, const job& j, task_record& t)
{
    if (t.throttled_at_worker == j.throttled || !is_due(t.throttle_sent, c.in))
    {
        return;
    }
    t.throttle_sent = c.in.now;
    t.throttled_at_worker.reset();
    t.throttle_command =
        j.throttled ? ports::task_action::throttle : ports::task_action::unthrottle;
    send(c, j, *t.throttle_command, task_name(j));
}

void command_stop(command_batch& c, const job& j, task_record& t)
{
    const bool ours = j.recorded_by == c.all.token.incarnation;
    const bool started = !ours || t.ordered_at || t.reported_at;
    if (started && is_due(t.stop_sent, c.in))
    {
        t.stop_sent = c.in.now;
        send(c, j, ports::task_action::stop, task_name(j));
    }
}

void command_task(command_batch& c, const job& j, task_record& t)
{
    switch (j.state)
    {
    case job_state::starting:
        if (j.recorded_by == c.all.token.incarnation && !t.ordered_at)
        {
            issue_start_order(c, j, t);
        }
        return;
    case job_state::running:
        command_throttle(c, j, t);
        return;
    case job_state::checkpointing:
        command_release(c, j, t);
        return;
    case job_state::cancelled:
        command_stop(c, j, t);
        return;
    default:
        return;
    }
}

/// Stops tasks of older attempts that still run, on workers that were considered lost.
void stop_older_attempts(command_batch& c)
{
    for (auto& it : c.all.tasks)
    {
        task_record& t = it.second;
        if (t.last_round == c.all.rounds)
        {
            continue; // the current task of a job
        }
        const bool running = t.reported_at && t.report.state == ports::task_state::running &&
                             c.in.now - *t.reported_at <= c.in.rules.report_timeout;
        if (!running || !is_due(t.stop_sent, c.in))
        {
            continue;
        }
        const std::string id = job_id_of_task(it.first);
        const auto& b = c.all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
        const job* j = find_job(b.document, id);
        const int attempt = j == nullptr ? 0 : attempt_of_task(*j, it.first);
        // A task of a newer attempt than the one in this copy was started by a newer owner; it is
        // not touched.
        const bool older = attempt > 0 && attempt < j->attempt;
        const bool over = attempt > 0 && attempt == j->attempt && !may_occupy_host(*j) &&
                          j->pending_write == 0 && j->state != job_state::unknown;
        if (older || over)
        {
            t.stop_sent = c.in.now;
            c.commands[{t.report.host, ports::task_action::stop}].push_back(it.first);
        }
    }
}

} // namespace

void issue_commands(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions)
{
    command_batch c{all, in, actions, {}, {}};
    for (const auto& it : active)
    {
        if (may_occupy_host(*it.it) && it.it->pending_write == 0)
        {
            command_task(c, *it.it, *it.task);
        }
    }
    stop_older_attempts(c);
    for (auto& it : c.commands)
    {
        actions.emplace_back(command_tasks{it.first.first, std::move(it.second), it.first.second});
    }
    for (const auto& it : c.polls)
    {
        actions.emplace_back(poll_host{it});
    }
}

void renew_leases(const active_jobs& active, const round_input& in, std::vector<action>& actions)
{
    std::map<std::string, std::vector<std::string>> due;
    for (const auto& it : active)
    {
        const job& j = *it.it;
        task_record& t = *it.task;
        const bool renewable = may_occupy_host(j) && j.state != job_state::cancelled;
        if (!renewable || !t.reported_at || is_unresponsive(t, in.rules, in.now))
        {
            continue;
        }
        const core::mono_time last = t.renewed_at.value_or(t.ordered_at.value_or(t.first_seen));
        const bool first = !t.renewed_at && !t.ordered_at;
        if (first || in.now - last >= j.lease_ttl / renewals_per_lease)
        {
            t.renewed_at = in.now;
            due[j.host].push_back(task_name(j));
        }
    }
    for (auto& it : due)
    {
        actions.emplace_back(
            command_tasks{it.first, std::move(it.second), ports::task_action::renew});
    }
}

} // namespace camphorhitch::jobs
