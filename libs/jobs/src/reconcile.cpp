#include "reconcile.hpp"

#include "core/invariant.hpp"
#include "text.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::jobs
{

namespace
{

constexpr int most_doublings = 8;

/// A longer name is taken for none: it would not fit the documents.
constexpr std::size_t longest_checkpoint_name = 128;

/// Why a job may be given a new task.
enum class restart_proof
{
    never_started, ///< the platform said that the order was not carried out
    has_stopped,   ///< the worker says so
    has_lapsed     ///< its lease has certainly lapsed; a paused worker may still run it
};

/// Everything that taking in one task needs.
struct reconciling
{
    pool_jobs& all;
    const round_input& in;
    std::vector<action>& actions;
    bucket_view& bucket;
    job& it;
    task_view& task;
};

std::int64_t now_ms(const round_input& in)
{
    return core::to_unix_ms(in.wall_now);
}

void change(reconciling& r, job_state next, write_need need, std::string rule, std::string weighed)
{
    enter(r.it, next, now_ms(r.in), std::move(rule), std::move(weighed));
    touch(r.bucket, r.it, need, r.in.now);
}

void wait_again(reconciling& r, restart_proof proof, std::string rule, std::string weighed)
{
    core::require(r.it.idempotent || proof == restart_proof::never_started,
        "a job that may run once only would start again",
        r.it.id);
    r.it.host.clear();
    r.it.reserved = {};
    r.it.throttled = false;
    r.it.releasing = release_reason::none;
    change(r, job_state::waiting, write_need::soon, std::move(rule), std::move(weighed));
}

void back_off(reconciling& r, int failures)
{
    const int doublings = std::min(failures - 1, most_doublings);
    r.all.wait_until[r.it.id] = r.in.now + r.in.rules.retry_wait * (1 << doublings);
}

void suspect_host(reconciling& r)
{
    if (std::exchange(r.task.judged, true))
    {
        return;
    }
    const bool aside =
        note_failure(r.all.health, r.it, r.in.rules, r.in.hosts.hosts.size(), r.in.now);
    if (aside)
    {
        r.actions.emplace_back(
            worker_judged{r.it.host, true, "different jobs fail there that run elsewhere"});
    }
}

void praise_host(reconciling& r)
{
    r.task.proved = true;
    if (is_set_aside(r.all.health, r.it.host))
    {
        r.actions.emplace_back(worker_judged{r.it.host, false, "a probe ran well"});
    }
    note_success(r.all.health, r.it);
}

void keep_measures(reconciling& r)
{
    r.it.used = r.task.peak;
    if (r.task.ordered_at && r.it.checkpoint.empty())
    {
        r.it.ran = std::chrono::duration_cast<core::millis>(r.in.now - *r.task.ordered_at);
    }
}

void on_finished(reconciling& r)
{
    keep_measures(r);
    praise_host(r);
    change(r, job_state::finished, write_need::soon, "task_finished", "on " + r.it.host);
    if (!std::exchange(r.task.judged, true))
    {
        learn(r.all.sizes, r.it);
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

std::string failures_text(const job& j)
{
    std::string text = "failed on";
    for (const auto& it : j.failures)
    {
        text += ' ' + it.host + " (" + std::to_string(it.count) + ')';
    }
    return text;
}

void on_failed(reconciling& r)
{
    keep_measures(r);
    const int failures = count_failure(r.it);
    suspect_host(r);
    const std::string text = failures_text(r.it) + ": " + r.task.report.detail;
    if (!r.it.idempotent)
    {
        change(r, job_state::failed, write_need::soon, "failed_and_may_run_once", text);
    }
    else if (job_at_fault(r.all.health, r.it, r.in.rules))
    {
        change(r, job_state::set_aside, write_need::soon, "fails_on_several_hosts", text);
    }
    else
    {
        wait_again(r, restart_proof::has_stopped, "failed_and_tried_again", text);
        back_off(r, failures);
    }
}

bool has_new_checkpoint(const reconciling& r)
{
    const std::string& name = r.task.report.checkpoint;
    return !name.empty() && name.size() <= longest_checkpoint_name && name != r.it.checkpoint;
}

void on_stopped(reconciling& r)
{
    if (!r.it.idempotent)
    {
        change(r,
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
    wait_again(r,
        restart_proof::has_stopped,
        std::string{core::name_of(release_reason_names, r.it.releasing)} + "_and_stopped",
        "left " + r.it.host + "; goes on " + from);
}

void on_lost(reconciling& r)
{
    suspect_host(r);
    if (!r.it.idempotent)
    {
        change(r,
            job_state::unknown,
            write_need::soon,
            "may_have_run_and_may_run_once",
            "no word of its task on " + r.it.host + " within its lease");
        return;
    }
    const std::string host = r.it.host;
    wait_again(r, restart_proof::has_lapsed, "lease_lapsed", "no word of its task on " + host);
}

void on_refused(reconciling& r)
{
    suspect_host(r);
    const std::string host = r.it.host;
    wait_again(r, restart_proof::never_started, "start_refused", "by " + host);
    back_off(r, 1);
}

void on_running(reconciling& r)
{
    if (r.it.state == job_state::starting)
    {
        r.it.state = job_state::running; // the record goes on saying why it was placed there
        r.it.since_ms = now_ms(r.in);
        touch(r.bucket, r.it, write_need::lazy, r.in.now);
    }
    if (has_new_checkpoint(r) && r.it.state == job_state::running)
    {
        r.it.checkpoint = r.task.report.checkpoint;
        touch(r.bucket, r.it, write_need::lazy, r.in.now);
    }
    const bool settled =
        r.task.ordered_at && r.in.now - *r.task.ordered_at >= r.in.rules.proven_after;
    if (!r.task.proved && (settled || !r.task.ordered_at))
    {
        praise_host(r);
    }
}

/// A job that holds a task.
void take_in_live(reconciling& r)
{
    const bool ours = r.it.starter == r.all.mark.incarnation;
    if (ours && !r.task.ordered_at && !r.task.reported_at)
    {
        return; // recorded, not ordered yet
    }
    if (r.task.order_ended == ports::platform_status::refused && !r.task.reported_at)
    {
        on_refused(r);
        return;
    }
    if (is_silent(r.task, r.in.rules, r.in.now))
    {
        if (has_lapsed(r.all, r.it, r.task, r.in))
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

/// A cancelled job whose task may still run: its host's room is free only when it surely stopped.
void take_in_cancelled(reconciling& r)
{
    const bool ours = r.it.starter == r.all.mark.incarnation;
    const bool never_ordered = ours && !r.task.ordered_at && !r.task.reported_at;
    const bool refused =
        r.task.order_ended == ports::platform_status::refused && !r.task.reported_at;
    const bool reported_over =
        r.task.reported_at && r.task.report.state != ports::task_state::running;
    const bool lapsed =
        is_silent(r.task, r.in.rules, r.in.now) && has_lapsed(r.all, r.it, r.task, r.in);
    if (reported_over && r.task.report.state == ports::task_state::finished)
    {
        on_finished(r);
        r.it.why.weighed += "; the cancellation came too late";
    }
    else if (never_ordered || refused || reported_over || lapsed)
    {
        r.it.host.clear();
        touch(r.bucket, r.it, write_need::with_next, r.in.now);
    }
}

/// A job of unknown outcome: only what a worker says of that very task can tell.
void take_in_unknown(reconciling& r)
{
    if (!r.task.reported_at || is_silent(r.task, r.in.rules, r.in.now))
    {
        return;
    }
    switch (r.task.report.state)
    {
    case ports::task_state::running:
        change(r, job_state::running, write_need::soon, "seen_running_after_all", r.it.host);
        return;
    case ports::task_state::finished:
        on_finished(r);
        return;
    case ports::task_state::failed:
    case ports::task_state::stopped:
        change(r, job_state::failed, write_need::soon, "seen_ended_after_all", r.it.host);
        return;
    case ports::task_state::lapsed:
        return;
    }
}

/// A job waiting for another try may prove to have finished in its last one.
void take_in_late_end(reconciling& r)
{
    if (r.task.reported_at && r.task.report.state == ports::task_state::finished)
    {
        r.it.host = r.task.report.host;
        on_finished(r);
    }
}

void take_in(reconciling r)
{
    switch (r.it.state)
    {
    case job_state::waiting:
        take_in_late_end(r);
        return;
    case job_state::cancelled:
        take_in_cancelled(r);
        return;
    case job_state::unknown:
        take_in_unknown(r);
        return;
    default:
        take_in_live(r);
        return;
    }
}

} // namespace

bool is_silent(const task_view& t, const settings& rules, core::mono_time now)
{
    core::mono_time last = t.first_seen;
    last = std::max(last, t.ordered_at.value_or(last));
    last = std::max(last, t.reported_at.value_or(last));
    return now - last > rules.report_patience;
}

bool has_lapsed(const pool_jobs& all, const job& j, const task_view& t, const round_input& in)
{
    core::mono_time last = t.first_seen;
    last = std::max(last, t.ordered_at.value_or(last));
    last = std::max(last, t.renewed_at.value_or(last));
    if (j.starter != all.mark.incarnation)
    {
        // An owner before us may have renewed after we took over: a pause hides from it that it
        // lost the pool. Until it has certainly stopped, no lease of its tasks counts as lapsed.
        if (!all.predecessor_stopped)
        {
            return false;
        }
        last = std::max(last, *all.predecessor_stopped);
    }
    return in.now - last > j.lease + in.rules.lease_margin;
}

void reconcile(
    pool_jobs& all, const active_jobs& active, const round_input& in, std::vector<action>& actions)
{
    for (const auto& it : active)
    {
        take_in({all, in, actions, *it.bucket, *it.it, *it.task});
    }
}

} // namespace camphorhitch::jobs
