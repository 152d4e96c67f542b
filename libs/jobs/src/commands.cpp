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

/// A lease is renewed this often within its time, so that two lost renewals don't end it.
constexpr int renewals_per_lease = 3;

using batches = std::map<std::pair<std::string, ports::task_action>, std::vector<std::string>>;

struct commanding
{
    pool_jobs& all;
    const round_input& in;
    std::vector<action>& actions;
    batches commands;
    std::set<std::string> polls;
};

bool is_due(const std::optional<core::mono_time>& sent, const round_input& in)
{
    return !sent || in.now - *sent >= in.rules.command_retry;
}

void send(commanding& c, const job& j, ports::task_action what, const std::string& task)
{
    c.commands[{j.host, what}].push_back(task);
}

void order(commanding& c, const job& j, task_view& t)
{
    core::require(!t.ordered_at, "a task was ordered twice", j.id);
    core::require(j.idempotent || j.checkpoint.empty(), "a job that may run once resumes", j.id);
    t.ordered_at = c.in.now;
    t.throttled_there = false;
    start_task made;
    made.order.host = j.host;
    made.order.task = task_name(j);
    made.order.processors = j.reserved.processors;
    made.order.memory_gb = j.reserved.memory_gb;
    made.order.accelerators = j.reserved.accelerators;
    made.order.run_time = j.run_time;
    made.order.lease_ttl = j.lease;
    made.order.resume = !j.checkpoint.empty();
    made.order.checkpoint = j.checkpoint;
    made.order.payload = j.payload;
    c.actions.emplace_back(std::move(made));
}

core::millis patience(const job& j, const settings& rules)
{
    return j.releasing == release_reason::preempted ? rules.urgent_patience : rules.drain_patience;
}

/// Asks for a checkpoint, and for the stop when it is there or doesn't come.
void command_release(commanding& c, const job& j, task_view& t)
{
    if (!t.release_since)
    {
        t.release_since = c.in.now; // taken over from another owner
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
    const bool too_late = c.in.now - *t.release_since >= patience(j, c.in.rules);
    if ((is_new || too_late) && is_due(t.stop_sent, c.in))
    {
        t.stop_sent = c.in.now;
        send(c, j, ports::task_action::stop, task_name(j));
    }
}

void command_throttle(commanding& c, const job& j, task_view& t)
{
    if (t.throttled_there == j.throttled || !is_due(t.throttle_sent, c.in))
    {
        return;
    }
    t.throttle_sent = c.in.now;
    t.throttled_there.reset();
    t.throttle_command =
        j.throttled ? ports::task_action::throttle : ports::task_action::unthrottle;
    send(c, j, *t.throttle_command, task_name(j));
}

void command_stop(commanding& c, const job& j, task_view& t)
{
    const bool ours = j.starter == c.all.mark.incarnation;
    const bool started = !ours || t.ordered_at || t.reported_at;
    if (started && is_due(t.stop_sent, c.in))
    {
        t.stop_sent = c.in.now;
        send(c, j, ports::task_action::stop, task_name(j));
    }
}

void command_one(commanding& c, const job& j, task_view& t)
{
    switch (j.state)
    {
    case job_state::starting:
        if (j.starter == c.all.mark.incarnation && !t.ordered_at)
        {
            order(c, j, t);
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

/// A task of an older attempt that runs after all, on a worker that was taken for lost.
void stop_older_attempts(commanding& c)
{
    for (auto& it : c.all.tasks)
    {
        task_view& t = it.second;
        if (t.round == c.all.rounds)
        {
            continue; // the task of a job that holds it
        }
        const bool running = t.reported_at && t.report.state == ports::task_state::running &&
                             c.in.now - *t.reported_at <= c.in.rules.report_patience;
        if (!running || !is_due(t.stop_sent, c.in))
        {
            continue;
        }
        const std::string id = job_of_task(it.first);
        const auto& b = c.all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
        const job* j = find_job(b.document, id);
        const int attempt = j == nullptr ? 0 : attempt_of_task(*j, it.first);
        // An attempt newer than our view's was started by a newer owner; it is left alone.
        const bool older = attempt > 0 && attempt < j->attempt;
        const bool over = attempt > 0 && attempt == j->attempt && !holds_host(*j) &&
                          j->pending_write == 0 && j->state != job_state::unknown;
        if (older || over)
        {
            t.stop_sent = c.in.now;
            c.commands[{t.report.host, ports::task_action::stop}].push_back(it.first);
        }
    }
}

} // namespace

void command_stored(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions)
{
    commanding c{all, in, actions, {}, {}};
    for (const auto& it : active)
    {
        if (holds_host(*it.it) && it.it->pending_write == 0)
        {
            command_one(c, *it.it, *it.task);
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
        task_view& t = *it.task;
        const bool renewable = holds_host(j) && j.state != job_state::cancelled;
        if (!renewable || !t.reported_at || is_silent(t, in.rules, in.now))
        {
            continue;
        }
        const core::mono_time last = t.renewed_at.value_or(t.ordered_at.value_or(t.first_seen));
        const bool first = !t.renewed_at && !t.ordered_at;
        if (first || in.now - last >= j.lease / renewals_per_lease)
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
