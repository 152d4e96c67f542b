#include "reconcile.hpp"

#include "core/invariant.hpp"
#include "text.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::jobs
{

namespace
{

constexpr int max_doublings = 8;

/// A longer name is ignored, because it would not fit the documents.
constexpr std::size_t max_checkpoint_name_bytes = 128;

/// Why a job may be given a new task.
enum class restart_reason
{
    never_started, ///< the platform reported that the order was not carried out
    has_stopped,   ///< the worker reported that the task has stopped
    lease_expired  ///< the lease has certainly expired; a paused worker may still run the task
};

/// The state that the reconciliation of one task needs.
struct task_context
{
    pool_jobs& all;
    const round_input& in;
    std::vector<action>& actions;
    bucket_state& bucket;
    job& it;
    task_record& task;
};

std::int64_t now_ms(const round_input& in)
{
    return core::to_unix_ms(in.wall_now);
}

void change_state(
    task_context& r, job_state next, write_need need, std::string rule, std::string weighed)
{
    enter_state(r.it, next, now_ms(r.in), std::move(rule), std::move(weighed));
    mark_changed(r.bucket, r.it, need, r.in.now);
}

void requeue(task_context& r, restart_reason proof, std::string rule, std::string weighed)
{
    core::require(r.it.idempotent || proof == restart_reason::never_started,
        "a job that may run once only would start again",
        r.it.id);
    r.it.host.clear();
    r.it.reserved = {};
    r.it.throttled = false;
    r.it.releasing = release_reason::none;
    change_state(r, job_state::waiting, write_need::soon, std::move(rule), std::move(weighed));
}

void back_off(task_context& r, int failures)
{
    const int doublings = std::min(failures - 1, max_doublings);
    r.all.retry_at[r.it.id] = r.in.now + r.in.rules.retry_delay * (1 << doublings);
}

void record_host_failure(task_context& r)
{
    if (std::exchange(r.task.end_recorded, true))
    {
        return;
    }
    const bool set_aside =
        record_failure(r.all.health, r.it, r.in.rules, r.in.hosts.hosts.size(), r.in.now);
    if (set_aside)
    {
        r.actions.emplace_back(
            worker_health_changed{r.it.host, true, "different jobs that run elsewhere fail there"});
    }
}

void record_host_success(task_context& r)
{
    r.task.success_recorded = true;
    if (is_set_aside(r.all.health, r.it.host))
    {
        r.actions.emplace_back(worker_health_changed{r.it.host, false, "a probe ran well"});
    }
    record_success(r.all.health, r.it);
}

void store_measurements(task_context& r)
{
    r.it.peak_use = r.task.peak_use;
    if (r.task.ordered_at && r.it.checkpoint.empty())
    {
        r.it.measured_run_time =
            std::chrono::duration_cast<core::millis>(r.in.now - *r.task.ordered_at);
    }
}

void on_finished(task_context& r)
{
    store_measurements(r);
    record_host_success(r);
    change_state(r, job_state::finished, write_need::soon, "task_finished", "on " + r.it.host);
    if (!std::exchange(r.task.end_recorded, true))
    {
        record_measurements(r.all.estimates, r.it);
    }
}

int count_failure(job& j)
{
    const auto it = std::find_if(j.failures.begin(),
        j.failures.end(),
        [&](const host_failure& failure) { return failure.host == j.host; });
    if (it == j.failures.end())
    {
        j.failures.push_back({j.host, 1});
    }
    else
    {
        it->count += 1;
    }
    int n = 0;
    for (const auto& failure : j.failures)
    {
        n += failure.count;
    }
    return n;
}

std::string describe_failures(const job& j)
{
    std::string text = "failed on";
    for (const auto& it : j.failures)
    {
        text += ' ' + it.host + " (" + std::to_string(it.count) + ')';
    }
    return text;
}

void on_failed(task_context& r)
{
    store_measurements(r);
    const int failures = count_failure(r.it);
    record_host_failure(r);
    const std::string text = describe_failures(r.it) + ": " + r.task.report.detail;
    if (!r.it.idempotent)
    {
        change_state(r, job_state::failed, write_need::soon, "failed_and_may_run_once", text);
    }
    else if (is_job_at_fault(r.all.health, r.it, r.in.rules))
    {
        change_state(r, job_state::set_aside, write_need::soon, "fails_on_several_hosts", text);
    }
    else
    {
        requeue(r, restart_reason::has_stopped, "failed_and_tried_again", text);
        back_off(r, failures);
    }
}

bool has_new_checkpoint(const task_context& r)
{
    const std::string& name = r.task.report.checkpoint;
    return !name.empty() && name.size() <= max_checkpoint_name_bytes && name != r.it.checkpoint;
}

void on_stopped(task_context& r)
{
    if (!r.it.idempotent)
    {
        change_state(r,
            job_state::failed,
            write_need::soon,
            "stopped_and_may_run_once",
            "its worker stopped it on " + r.it.host);
        return;
    }
    if (has_new_checkpoint(r))
    {
        r.it.checkpoint = r.task.report.checkpoint;
    }
    r.it.moves += r.it.releasing == release_reason::drained ? 1 : 0;
    r.it.preemptions += r.it.releasing == release_reason::preempted ? 1 : 0;
    const std::string from = r.it.checkpoint.empty() ? std::string{"from its start"}
                                                     : "from checkpoint " + r.it.checkpoint;
    requeue(r,
        restart_reason::has_stopped,
        std::string{core::name_of(release_reason_names, r.it.releasing)} + "_and_stopped",
        "left " + r.it.host + "; continues " + from);
}

void on_lost(task_context& r)
{
    record_host_failure(r);
    if (!r.it.idempotent)
    {
        change_state(r,
            job_state::unknown,
            write_need::soon,
            "may_have_run_and_may_run_once",
            "no report of its task on " + r.it.host + " within its lease");
        return;
    }
    const std::string host = r.it.host;
    requeue(r, restart_reason::lease_expired, "lease_lapsed", "no report of its task on " + host);
}

void on_refused(task_context& r)
{
    record_host_failure(r);
    const std::string host = r.it.host;
    requeue(r, restart_reason::never_started, "start_refused", "by " + host);
    back_off(r, 1);
}

void on_running(task_context& r)
{
    if (r.it.state == job_state::starting)
    {
        r.it.state = job_state::running; // the record still states why the job was placed there
        r.it.state_since_ms = now_ms(r.in);
        mark_changed(r.bucket, r.it, write_need::lazy, r.in.now);
    }
    if (has_new_checkpoint(r) && r.it.state == job_state::running)
    {
        r.it.checkpoint = r.task.report.checkpoint;
        mark_changed(r.bucket, r.it, write_need::lazy, r.in.now);
    }
    const bool ran_long_enough =
        r.task.ordered_at && r.in.now - *r.task.ordered_at >= r.in.rules.min_proof_run_time;
    if (!r.task.success_recorded && (ran_long_enough || !r.task.ordered_at))
    {
        record_host_success(r);
    }
}

/// Reconciles a job whose task may run.
void reconcile_active(task_context& r)
{
    const bool ours = r.it.recorded_by == r.all.token.incarnation;
    if (ours && !r.task.ordered_at && !r.task.reported_at)
    {
        return; // recorded, not ordered yet
    }
    if (r.task.order_result == ports::platform_status::refused && !r.task.reported_at)
    {
        on_refused(r);
        return;
    }
    if (is_unresponsive(r.task, r.in.rules, r.in.now))
    {
        if (has_lease_expired(r.all, r.it, r.task, r.in))
        {
            on_lost(r);
        }
        return;
    }
    if (!r.task.reported_at)
    {
        return;
    }
    switch (r.task.report.state)
    {
    case ports::task_state::running:
        on_running(r);
        return;
    case ports::task_state::finished:
        on_finished(r);
        return;
    case ports::task_state::failed:
        on_failed(r);
        return;
    case ports::task_state::stopped:
        on_stopped(r);
        return;
    case ports::task_state::lapsed:
        on_lost(r);
        return;
    }
}

/// Reconciles a cancelled job whose task may still run. The host's capacity becomes free only when
/// the task has certainly stopped.
void reconcile_cancelled(task_context& r)
{
    const bool ours = r.it.recorded_by == r.all.token.incarnation;
    const bool never_ordered = ours && !r.task.ordered_at && !r.task.reported_at;
    const bool refused =
        r.task.order_result == ports::platform_status::refused && !r.task.reported_at;
    const bool reported_ended =
        r.task.reported_at && r.task.report.state != ports::task_state::running;
    const bool lease_expired = is_unresponsive(r.task, r.in.rules, r.in.now) &&
                               has_lease_expired(r.all, r.it, r.task, r.in);
    if (reported_ended && r.task.report.state == ports::task_state::finished)
    {
        on_finished(r);
        r.it.decision.weighed += "; the cancellation came too late";
    }
    else if (never_ordered || refused || reported_ended || lease_expired)
    {
        r.it.host.clear();
        mark_changed(r.bucket, r.it, write_need::with_next, r.in.now);
    }
}

/// Reconciles a job of unknown outcome. Only a worker's report about that task can decide the
/// outcome.
void reconcile_unknown(task_context& r)
{
    if (!r.task.reported_at || is_unresponsive(r.task, r.in.rules, r.in.now))
    {
        return;
    }
    switch (r.task.report.state)
    {
    case ports::task_state::running:
        change_state(r, job_state::running, write_need::soon, "seen_running_after_all", r.it.host);
        return;
    case ports::task_state::finished:
        on_finished(r);
        return;
    case ports::task_state::failed:
    case ports::task_state::stopped:
        change_state(r, job_state::failed, write_need::soon, "seen_ended_after_all", r.it.host);
        return;
    case ports::task_state::lapsed:
        return;
    }
}

/// Reconciles a job that waits for another attempt. Its last attempt may turn out to have finished.
void reconcile_waiting(task_context& r)
{
    if (r.task.reported_at && r.task.report.state == ports::task_state::finished)
    {
        r.it.host = r.task.report.host;
        on_finished(r);
    }
}

void reconcile_task(task_context r)
{
    switch (r.it.state)
    {
    case job_state::waiting:
        reconcile_waiting(r);
        return;
    case job_state::cancelled:
        reconcile_cancelled(r);
        return;
    case job_state::unknown:
        reconcile_unknown(r);
        return;
    default:
        reconcile_active(r);
        return;
    }
}

} // namespace

bool is_unresponsive(const task_record& t, const settings& rules, core::mono_time now)
{
    core::mono_time last = t.first_seen;
    last = std::max(last, t.ordered_at.value_or(last));
    last = std::max(last, t.reported_at.value_or(last));
    return now - last > rules.report_timeout;
}

bool has_lease_expired(
    const pool_jobs& all, const job& j, const task_record& t, const round_input& in)
{
    core::mono_time last = t.first_seen;
    last = std::max(last, t.ordered_at.value_or(last));
    last = std::max(last, t.renewed_at.value_or(last));
    if (j.recorded_by != all.token.incarnation)
    {
        // A previous owner may have renewed the lease after this process became the owner, because
        // a paused process does not notice that it lost the pool. Until the previous owner has
        // certainly stopped, no lease of its tasks counts as expired.
        if (!all.predecessor_stopped_at)
        {
            return false;
        }
        last = std::max(last, *all.predecessor_stopped_at);
    }
    return in.now - last > j.lease_ttl + in.rules.lease_margin;
}

void reconcile(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions)
{
    for (const auto& it : active)
    {
        reconcile_task({all, in, actions, *it.bucket, *it.it, *it.task});
    }
}

} // namespace camphorhitch::jobs
