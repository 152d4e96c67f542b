#include "coordinator/intake.hpp"

#include "abandoned_starts.hpp"
#include "bookkeeping.hpp"
#include "checkpoints.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "lost_runs.hpp"
#include "restarts.hpp"

#include <algorithm>
#include <cmath>

namespace camphorhitch::coordinator
{

namespace
{

void count_steps(job_entry& j)
{
    const auto& steps = j.spec.steps;
    const auto occurrences = static_cast<std::size_t>(workflow::occurrence_count(j.spec));
    j.steps.assign(steps.size() * occurrences, {});
    std::size_t index = 0;
    for (auto& counts : j.steps)
    {
        const auto& s = steps[static_cast<std::size_t>(&counts - j.steps.data()) % steps.size()];
        for (int i = 0; i < s.tasks; ++i)
        {
            const bool done = j.tasks[index++].progress.done;
            ++(done ? counts.done : counts.idle);
            j.done_tasks += done ? 1 : 0;
        }
    }
}

/// A previous coordinator may have stored nothing about a task and yet have ordered runs of it. The
/// run numbers of a term start above all numbers of earlier terms, so no runner has received a
/// higher one.
void raise_run_numbers(const fleet& f, job_entry& j)
{
    for (auto& it : j.tasks)
    {
        it.highest_run_number = std::max(it.highest_run_number, f.term * f.settings.runs_per_term);
    }
}

/// Why the runs of a host are removed.
struct removal_cause
{
    const char* event;
    std::string why;
    bool by_itself;         ///< the host was not taken down by an order: a task may have crashed it
    bool certain;           ///< the runner has certainly ended
    bool only_task = false; ///< no other task was active on the host
};

void remove_ended_run(fleet& f,
    const host_entry& h,
    const workflow::task_name& name,
    std::size_t index,
    const removal_cause& cause,
    core::mono_time now,
    task_events& out)
{
    auto& j = *find_job(f, name.job);
    auto run = find_task(f, name)->runs[index];
    run.only_suspect = run.only_suspect || cause.only_task;
    record_event(out, cause.event, name, run.number, h.ref.id, cause.why);
    remove_run(f, j, name, index, now);
    if (cause.by_itself)
    {
        record_lost_run(f, j, name, run, h, cause.certain ? cause.why : "", now, out);
    }
}

void remove_ended_runs(
    fleet& f, host_entry& h, removal_cause cause, core::mono_time now, task_events& out)
{
    const auto runs = h.runs; // removing a run changes h.runs
    if (!runs.empty())
    {
        const auto& name = runs.begin()->second;
        cause.only_task = runs_nothing_else(h, *find_job(f, name.job), name);
    }
    for (const auto& [text, name] : runs)
    {
        const auto* const t = find_task(f, name);
        if (t == nullptr)
        {
            continue;
        }
        for (std::size_t i = t->runs.size(); i-- > 0;)
        {
            if (t->runs[i].host == h.ref.id)
            {
                remove_ended_run(f, h, name, i, cause, now, out);
            }
        }
    }
}

/// \return a time that certainly passes on this clock while \p duration passes on another.
core::millis slow_clock_bound(const fleet& f, core::millis duration)
{
    const auto slowest = 1.0 + f.settings.clock_drift;
    return core::millis{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(duration.count()) * slowest))};
}

/// \return the time after a takeover within which all leases of previous coordinators have expired.
/// The last one may have been granted just before the leader's lease of the previous coordinator
/// ended. That lease may end as late as one lease duration from now, when its key was removed
/// early.
core::millis max_inherited_lease(const fleet& f)
{
    const auto& s = f.settings;
    return slow_clock_bound(f, s.runner_lease + s.leader_lease) + s.lease_expiry_margin;
}

/// A runner has one address and one pool during its incarnation. A list entry that contradicts this
/// for a runner that has answered belongs to another runner. If the entry were applied, the answer
/// of the runner at the other address would count as evidence that this runner has ended, and its
/// tasks would run a second time.
bool conflicts_with(const host_entry& h, const host_listing& it)
{
    const bool has_answered = h.inherited || h.clock_ms >= 0;
    return has_answered &&
           (h.ref.address != it.ref.address || (!h.pool.empty() && h.pool != it.pool));
}

void forget_ended_runners(fleet& f, core::mono_time now)
{
    std::erase_if(f.removed_hosts,
        [&](const auto& it) { return now - it.second > f.settings.ended_runner_retention; });
    std::erase_if(f.ended_runners,
        [&](const auto& it)
        {
            const bool forgotten = now - it.second > f.settings.ended_runner_retention;
            if (forgotten)
            {
                f.abandoned_starts.erase(it.first);
            }
            return forgotten;
        });
}

/// Replaces the known incarnation of the runner if the entry describes a later one. An entry
/// without a start time describes the known incarnation. One with an earlier start time is older
/// than an answer of the runner itself.
///
/// \return the id of the host that the entry describes; empty: none
std::string find_listed_incarnation(
    fleet& f, const host_listing& it, core::mono_time now, task_events& out)
{
    if (f.hosts.contains(it.ref.id))
    {
        return it.ref.id;
    }
    const auto listed = ports::read_incarnation(it.ref.id);
    const auto* const h = find_runner(f, listed.runner);
    if (h == nullptr)
    {
        return it.ref.id;
    }
    if (listed.born_ms == 0)
    {
        return h->ref.id;
    }
    const auto known = ports::read_incarnation(h->ref.id);
    if (listed.born_ms < known.born_ms)
    {
        return {};
    }
    auto& next = replace_incarnation(f, std::string(h->ref.id), listed.born_ms, now, out);
    if (known.born_ms != 0)
    {
        next.ref = it.ref;
        next.pool = it.pool;
    }
    return it.ref.id;
}

std::int64_t ms_since(core::mono_time then, core::mono_time now)
{
    return std::chrono::duration_cast<core::millis>(now - then).count();
}

/// Runs that a previous coordinator ordered on the host may have been lost with it. The next
/// incarnation of a host has none: if the host itself was inherited, it was recorded.
void record_lost_inherited_host(fleet& f, const host_entry& h)
{
    if (h.inherited && !h.has_restarted)
    {
        f.pools_with_lost_hosts.insert(h.pool);
    }
}

/// \return what the runs of an ended job require that may still be active; nothing for an open job.
workflow::resources held_resources(const job_entry& j)
{
    workflow::resources sum;
    if (!workflow::is_final(j.state) || j.live_runs == 0)
    {
        return sum;
    }
    for (std::size_t i = 0; i < j.tasks.size(); ++i)
    {
        const auto step = static_cast<std::size_t>(workflow::name_of_task(j.spec, i).step);
        sum += j.spec.steps[step].need * static_cast<std::int64_t>(j.tasks[i].runs.size());
    }
    return sum;
}

} // namespace

core::millis max_lease_time(const fleet& f)
{
    return slow_clock_bound(f, f.settings.max_runner_lease) + f.settings.lease_expiry_margin;
}

std::int64_t max_term(const coordinator_settings& s)
{
    return workflow::max_run_number / s.runs_per_term - 1;
}

void erase_orphaned_runs(fleet& f, const std::string& host)
{
    std::erase_if(f.orphaned_runs, [&](const orphaned_run& it) { return it.host == host; });
}

void add_job(fleet& f,
    workflow::job spec,
    ports::revision created,
    const workflow::job_progress& progress,
    ports::revision stored)
{
    const auto id = spec.id;
    if (f.jobs.contains(id))
    {
        return;
    }
    auto made = std::make_unique<job_entry>();
    auto& j = *made;
    j.spec = std::move(spec);
    j.state = progress.state;
    j.cancelled = progress.state == workflow::job_state::cancelled;
    j.accepted_revision = created;
    j.stored_revision = stored;
    j.inherited = created < f.term_start_revision;
    if (!workflow::is_final(j.state) || j.inherited)
    {
        const auto occurrences = static_cast<std::size_t>(workflow::occurrence_count(j.spec));
        j.tasks.resize(workflow::tasks_per_occurrence(j.spec) * occurrences);
        for (std::size_t i = 0; i < std::min(j.tasks.size(), progress.tasks.size()); ++i)
        {
            j.tasks[i].progress = progress.tasks[i];
        }
        raise_run_numbers(f, j);
        unify_gang_checkpoints(j);
        count_steps(j);
        inherit_losses(f, j);
    }
    if (!workflow::is_final(j.state))
    {
        f.open_jobs.insert(id);
    }
    f.jobs.emplace(id, std::move(made));
}

void cancel_job(fleet& f, const std::string& id, core::mono_time now, task_events& out)
{
    auto* const j = find_job(f, id);
    if (j == nullptr)
    {
        return; // the cancel is read again together with the job
    }
    if (workflow::is_final(j->state))
    {
        f.late_cancels.insert(id);
        return;
    }
    j->cancelled = true;
    out.push_back({"job_cancelled", id, 0, "", "live_runs=" + std::to_string(j->live_runs)});
    finish_job(f, *j, workflow::job_state::cancelled, now);
}

void release_job_tasks(fleet& f, job_entry& j)
{
    if (!workflow::is_final(j.state) || j.live_runs > 0 || j.dirty)
    {
        return;
    }
    f.open_jobs.erase(j.spec.id);
    j.tasks = {};
    j.steps = {};
    j.spec.steps = {};
    j.spec.payload = {};
}

void add_inherited_hosts(fleet& f, const std::vector<inherited_host>& all, core::mono_time now)
{
    for (const auto& it : all)
    {
        auto& h = f.hosts[it.ref.id];
        h.ref = it.ref;
        h.machine = it.machine;
        h.machine_known_at = now;
        h.pool = it.pool;
        h.inherited = true;
        h.added_at = now;
        h.unresponsive_since = now;
        h.recorded = may_grant_leases(f, it.remaining);
        // With a shorter remaining time, no coordinator has granted a lease since. A record may
        // have been computed from the clocks of two incarnations; no lease outlasts the longest.
        const auto end = it.remaining ? slow_clock_bound(f, *it.remaining) : max_inherited_lease(f);
        h.inherited_leases_end_at = now + std::min(end, max_lease_time(f));
        if (end > max_inherited_lease(f))
        {
            h.earlier_leases_end_at = h.inherited_leases_end_at;
        }
    }
}

void delay_inherited_tasks(fleet& f, core::mono_time now)
{
    f.inherited_not_before = now + max_lease_time(f);
}

void begin_host_list(fleet& f, core::mono_time now)
{
    for (auto& [id, h] : f.hosts)
    {
        h.listed = false;
    }
    forget_ended_runners(f, now);
}

void apply_host_listing(fleet& f, const host_listing& it, core::mono_time now, task_events& out)
{
    const auto id = f.ended_runners.contains(it.ref.id) ? std::string{}
                                                        : find_listed_incarnation(f, it, now, out);
    if (id.empty())
    {
        return;
    }
    auto [entry, added] = f.hosts.try_emplace(id);
    auto& h = entry->second;
    const bool conflicts = !added && conflicts_with(h, it);
    if (conflicts && !h.entry_conflicts)
    {
        out.push_back(
            {"host_entry_odd", "", 0, id, "address=" + it.ref.address + " pool=" + it.pool});
    }
    h.entry_conflicts = conflicts;
    if (conflicts)
    {
        h.listed = false;
        return;
    }
    if (added)
    {
        h.added_at = now;
        h.inherited_leases_end_at = now;
        out.push_back({"host_added", "", 0, id, "pool=" + it.pool});
        if (has_earlier_incarnation(f, id))
        {
            expect_earlier_calls(f, h, now);
        }
        inherit_from_earlier_incarnations(f, id, out);
    }
    if (h.draining != it.draining)
    {
        out.push_back({it.draining ? "host_draining" : "host_ready", "", 0, id, ""});
    }
    h.ref.id = id;
    h.ref.address = it.ref.address;
    h.ref.zone = it.ref.zone;
    h.pool = it.pool;
    h.zone = it.zone;
    h.rack = it.rack;
    h.labels = it.labels;
    h.capacity = it.capacity;
    h.draining = it.draining;
    h.listed = true;
}

void remove_host_listing(fleet& f, const host_listing& it)
{
    auto* const h = find_runner(f, std::string(ports::runner_of(it.ref.id)));
    if (h != nullptr)
    {
        h->listed = false;
    }
}

void apply_host_list(
    fleet& f, const std::vector<host_listing>& all, core::mono_time now, task_events& out)
{
    begin_host_list(f, now);
    for (const auto& it : all)
    {
        apply_host_listing(f, it, now, out);
    }
}

void end_host(fleet& f,
    const std::string& id,
    termination_evidence proof,
    core::mono_time now,
    task_events& out)
{
    f.ended_runners[id] = now;
    const bool by_itself =
        proof == termination_evidence::other_life || proof == termination_evidence::restarted;
    const std::string text{core::name_of(termination_evidence_names, proof)};
    if (by_itself)
    {
        confirm_losses(f, id, text, out);
    }
    else if (proof != termination_evidence::address_taken)
    {
        abandon_evidence(f, id);
    }
    auto* const h = find_host(f, id);
    if (h == nullptr)
    {
        return;
    }
    out.push_back({"host_ended",
        "",
        0,
        id,
        text + " machine=" + h->machine + " runs=" + std::to_string(h->runs.size()) +
            (h->reachable ? " since_answer_ms=" + std::to_string(ms_since(h->last_answer_at, now))
                          : " silent_ms=" + std::to_string(ms_since(h->unresponsive_since, now)))});
    f.removed_hosts[id] = now;
    record_lost_inherited_host(f, *h);
    abandon_starts(f, *h, out);
    remove_ended_runs(f, *h, {"run_lost", "host ended: " + text, by_itself, true}, now, out);
    erase_orphaned_runs(f, id);
    f.hosts.erase(id);
}

std::vector<expired_host> expire_hosts(fleet& f, core::mono_time now, task_events& out)
{
    std::vector<expired_host> expired;
    std::vector<std::string> unlisted;
    std::vector<std::string> ended;
    for (auto& [id, h] : f.hosts)
    {
        // A missing answer is evidence only for a runner that was asked. A coordinator that is late
        // itself, with thousands of jobs to read, would otherwise treat runners as expired whose
        // answers it has not read yet, and start tasks a second time that have ended there in time.
        count_unanswered_call(f, h);
        const bool not_asked = h.inherited && h.contact_score < min_contact_score;
        if (h.reachable || not_asked || !leases_expired(f, h, now))
        {
            continue;
        }
        if (!h.runs.empty())
        {
            expired.push_back({id, h.runs.size(), h.last_answer_at, h.polled_at});
        }
        abandon_starts(f, h, out);
        const removal_cause cause{
            "run_lapsed", "no answer until all leases had expired", true, false};
        remove_ended_runs(f, h, cause, now, out);
        erase_orphaned_runs(f, id);
        h.orphaned_runs = 0;
        if (h.inherited)
        {
            record_lost_inherited_host(f, h);
            h.inherited = false;
            out.push_back({"host_lapsed",
                "",
                0,
                id,
                "leases of the previous coordinator have expired waited_ms=" +
                    std::to_string(ms_since(h.added_at, now))});
        }
        if (h.address_lost)
        {
            ended.push_back(id);
        }
        else if (!h.listed)
        {
            unlisted.push_back(id);
        }
    }
    for (const auto& it : ended)
    {
        end_host(f, it, termination_evidence::address_taken, now, out);
    }
    for (const auto& it : unlisted)
    {
        out.push_back({"host_forgotten", "", 0, it, "not listed, and all leases have expired"});
        f.removed_hosts[it] = now;
        f.hosts.erase(it);
    }
    return expired;
}

std::int64_t min_runner_clock(const fleet& f, const host_entry& h, core::mono_time now)
{
    if (h.clock_ms < 0)
    {
        return -1;
    }
    const auto passed = std::chrono::duration<double, std::milli>(now - h.clock_read_at).count();
    return h.clock_ms + static_cast<std::int64_t>(passed * (1.0 - f.settings.clock_drift));
}

bool may_grant_leases(const fleet& f, const std::optional<core::millis>& remaining)
{
    return !remaining || *remaining >= f.settings.max_runner_lease;
}

bool leases_expired(const fleet& f, const host_entry& h, core::mono_time now)
{
    if (h.inherited && now < h.inherited_leases_end_at)
    {
        return false;
    }
    if (h.clock_ms < 0)
    {
        return h.lease_until_ms == 0;
    }
    return min_runner_clock(f, h, now) > h.lease_until_ms + f.settings.lease_expiry_margin.count();
}

core::millis time_to_lease_expiry(const fleet& f, const host_entry& h, core::mono_time now)
{
    core::millis remaining{0};
    if (h.inherited && now < h.inherited_leases_end_at)
    {
        remaining = std::chrono::ceil<core::millis>(h.inherited_leases_end_at - now);
    }
    if (h.clock_ms >= 0)
    {
        const auto margin = f.settings.lease_expiry_margin.count();
        const auto left = h.lease_until_ms + margin + 1 - min_runner_clock(f, h, now);
        const auto slowest = 1.0 - f.settings.clock_drift;
        const auto worst = std::ceil(static_cast<double>(left) / slowest);
        remaining = std::max(remaining, core::millis{static_cast<std::int64_t>(worst)});
    }
    return remaining;
}

bool may_hold_runs(const fleet& f, const host_entry& h, core::mono_time now)
{
    return h.inherited || h.reachable || !h.runs.empty() || !leases_expired(f, h, now);
}

std::int64_t lease_end_for(const fleet& f, const host_entry& h, core::mono_time now)
{
    // An unresponsive host is granted no lease: each attempt might be carried out without an
    // answer, so its leases would never certainly expire and its tasks would never start on another
    // host.
    const bool may = h.reachable && h.recorded && !f.abandoned_starts.contains(h.ref.id);
    const auto clock = may ? min_runner_clock(f, h, now) : -1;
    return clock < 0 ? 0 : clock + f.settings.runner_lease.count();
}

void record_lease(host_entry& h, std::int64_t until_ms)
{
    h.lease_until_ms = std::max(h.lease_until_ms, until_ms);
}

workflow::job_progress progress_of(const job_entry& j)
{
    workflow::job_progress out;
    out.state = j.state;
    out.ended_unix_ms = j.ended_unix_ms;
    out.held = held_resources(j);
    out.tasks.reserve(j.tasks.size());
    for (const auto& it : j.tasks)
    {
        out.tasks.push_back(it.progress);
    }
    return out;
}

unseen_run_pools find_unseen_run_pools(const fleet& f, core::mono_time now)
{
    unseen_run_pools out;
    out.all_pools = now < f.inherited_not_before;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.inherited)
        {
            out.all_pools = out.all_pools || h.pool.empty();
            out.pools.insert(h.pool);
        }
    }
    return out;
}

bool may_have_unseen_runs(const unseen_run_pools& u, const std::string& pool)
{
    return u.all_pools || u.pools.contains(pool);
}

} // namespace camphorhitch::coordinator
