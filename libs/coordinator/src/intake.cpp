#include "coordinator/intake.hpp"

#include "bookkeeping.hpp"
#include "given_up.hpp"
#include "losses.hpp"

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
    std::size_t place = 0;
    for (auto& counts : j.steps)
    {
        const auto& s = steps[static_cast<std::size_t>(&counts - j.steps.data()) % steps.size()];
        for (int i = 0; i < s.tasks; ++i)
        {
            const bool done = j.tasks[place++].progress.done;
            ++(done ? counts.done : counts.idle);
            j.done_tasks += done ? 1 : 0;
        }
    }
}

/// A former owner may have stored nothing about a task and yet have ordered runs of it. Numbers of
/// a term start above all numbers of the terms before, so no runner has seen a higher one.
void raise_run_numbers(const fleet& f, job_entry& j)
{
    for (auto& it : j.tasks)
    {
        it.highest_run_number = std::max(it.highest_run_number, f.term * f.settings.runs_per_term);
    }
}

/// How the runs of a host came to be dropped.
struct drop_cause
{
    const char* event;
    std::string why;
    bool by_itself;      ///< the host was not taken down: a task may have crashed it
    bool certain;        ///< its life has ended
    bool single = false; ///< no other task ran there
};

void drop_run(fleet& f,
    const host_entry& h,
    const workflow::task_name& name,
    std::size_t place,
    const drop_cause& cause,
    core::mono_time now,
    task_events& out)
{
    auto& j = *find_job(f, name.job);
    auto run = find_task(f, name)->runs[place];
    run.only_suspect = run.only_suspect || cause.single;
    note(out, cause.event, name, run.number, h.ref.id, cause.why);
    remove_run(f, j, name, place);
    if (cause.by_itself)
    {
        lose_run(f, j, name, run, h, cause.certain ? cause.why : "", now, out);
    }
}

void drop_runs(fleet& f, host_entry& h, drop_cause cause, core::mono_time now, task_events& out)
{
    const auto runs = h.runs; // removing a run changes the host's own table
    if (!runs.empty())
    {
        const auto& name = runs.begin()->second;
        cause.single = runs_only(h, *find_job(f, name.job), name);
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
                drop_run(f, h, name, i, cause, now, out);
            }
        }
    }
}

/// \return a time that certainly passes on this clock while \p told passes on another.
core::millis by_slow_clock(const fleet& f, core::millis told)
{
    const auto slowest = 1.0 + f.settings.clock_drift;
    return core::millis{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(told.count()) * slowest))};
}

/// \return within what time after a take-over all leases of former owners have ended. The last may
/// have been granted just before the former owner's own lease ended, which may be as late as now
/// and one leader's lease more, when its key was taken away early.
core::millis longest_prior_lease(const fleet& f)
{
    const auto& s = f.settings;
    return by_slow_clock(f, s.runner_lease + s.leader_lease) + s.lease_expiry_margin;
}

/// One life has one address and one pool. An entry that says otherwise of a runner that has
/// answered there is not its own: followed, the answer of whoever lives at the other address would
/// pass for proof that this runner has ended, and its tasks would run a second time.
bool contradicts(const host_entry& h, const host_listing& it)
{
    const bool heard = h.inherited || h.clock_ms >= 0;
    return heard && (h.ref.address != it.ref.address || (!h.pool.empty() && h.pool != it.pool));
}

std::int64_t ms_since(core::mono_time then, core::mono_time now)
{
    return std::chrono::duration_cast<core::millis>(now - then).count();
}

/// What a former owner ordered there may have been lost with it.
void note_lost_prior(fleet& f, const host_entry& h)
{
    if (h.inherited)
    {
        f.pools_with_lost_hosts.insert(h.pool);
    }
}

void erase_strays(fleet& f, const std::string& host)
{
    std::erase_if(f.orphaned_runs, [&](const orphaned_run& it) { return it.host == host; });
}

} // namespace

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
        return; // the cancel comes again with what changed since: after its job
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

void shrink_job(fleet& f, job_entry& j)
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

void add_prior_hosts(fleet& f, const std::vector<inherited_host>& all, core::mono_time now)
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
        h.recorded = !it.remaining.has_value();
        // With a rest told, no owner has granted anything since.
        h.inherited_leases_end_at =
            now + (it.remaining ? by_slow_clock(f, *it.remaining) : longest_prior_lease(f));
    }
}

void hold_inherited(fleet& f, core::mono_time now)
{
    f.inherited_not_before = now + longest_prior_lease(f);
}

void see_hosts(
    fleet& f, const std::vector<host_listing>& all, core::mono_time now, task_events& out)
{
    for (auto& [id, h] : f.hosts)
    {
        h.listed = false;
    }
    std::erase_if(f.ended_runners,
        [&](const auto& it) { return now - it.second > f.settings.ended_runner_retention; });
    for (const auto& it : all)
    {
        if (f.ended_runners.contains(it.ref.id))
        {
            continue;
        }
        auto [place, added] = f.hosts.try_emplace(it.ref.id);
        auto& h = place->second;
        const bool odd = !added && contradicts(h, it);
        if (odd && !h.entry_conflicts)
        {
            out.push_back({"host_entry_odd",
                "",
                0,
                it.ref.id,
                "address=" + it.ref.address + " pool=" + it.pool});
        }
        h.entry_conflicts = odd;
        if (odd)
        {
            continue;
        }
        if (added)
        {
            h.added_at = now;
            h.inherited_leases_end_at = now;
            out.push_back({"host_added", "", 0, it.ref.id, "pool=" + it.pool});
        }
        if (h.draining != it.draining)
        {
            out.push_back({it.draining ? "host_draining" : "host_ready", "", 0, it.ref.id, ""});
        }
        h.ref = it.ref;
        h.pool = it.pool;
        h.zone = it.zone;
        h.rack = it.rack;
        h.labels = it.labels;
        h.capacity = it.capacity;
        h.draining = it.draining;
        h.listed = true;
    }
}

void end_host(
    fleet& f, const std::string& id, life_proof proof, core::mono_time now, task_events& out)
{
    f.ended_runners[id] = now;
    f.abandoned_starts.erase(id);
    const bool by_itself = proof == life_proof::other_life;
    const std::string text{core::name_of(life_proof_names, proof)};
    if (by_itself)
    {
        confirm_losses(f, id, text, now, out);
    }
    else if (proof != life_proof::address_taken)
    {
        f.uncertain_losses.erase(id); // it may have been alive until then
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
    note_lost_prior(f, *h);
    drop_runs(f, *h, {"run_lost", "host ended: " + text, by_itself, true}, now, out);
    erase_strays(f, id);
    f.hosts.erase(id);
}

std::vector<host_lapse> lapse_hosts(fleet& f, core::mono_time now, task_events& out)
{
    std::vector<host_lapse> lapsed;
    std::vector<std::string> gone;
    std::vector<std::string> ended;
    for (auto& [id, h] : f.hosts)
    {
        // Silence is proof only of one that was asked. An owner that is late itself, with thousands
        // of jobs to read, would else take runners for lapsed whose answers it has not read, and
        // start what ended there in time a second time.
        const bool unasked = h.inherited && h.contact_score < min_contact_score;
        if (h.reachable || unasked || !has_lapsed(f, h, now))
        {
            continue;
        }
        if (!h.runs.empty())
        {
            lapsed.push_back({id, h.runs.size(), h.last_answer_at, h.polled_at});
        }
        give_up_starts(f, h, out);
        const drop_cause cause{"run_lapsed", "no answer until every lease had ended", true, false};
        drop_runs(f, h, cause, now, out);
        erase_strays(f, id);
        h.orphaned_runs = 0;
        if (h.inherited)
        {
            note_lost_prior(f, h);
            h.inherited = false;
            out.push_back({"host_lapsed", "", 0, id, "leases of the former owner have ended"});
        }
        if (h.address_lost)
        {
            ended.push_back(id);
        }
        else if (!h.listed)
        {
            gone.push_back(id);
        }
    }
    for (const auto& it : ended)
    {
        end_host(f, it, life_proof::address_taken, now, out);
    }
    for (const auto& it : gone)
    {
        out.push_back({"host_forgotten", "", 0, it, "not listed and lapsed"});
        f.hosts.erase(it);
    }
    return lapsed;
}

std::int64_t least_clock(const fleet& f, const host_entry& h, core::mono_time now)
{
    if (h.clock_ms < 0)
    {
        return -1;
    }
    const auto passed = std::chrono::duration<double, std::milli>(now - h.clock_read_at).count();
    return h.clock_ms + static_cast<std::int64_t>(passed * (1.0 - f.settings.clock_drift));
}

bool has_lapsed(const fleet& f, const host_entry& h, core::mono_time now)
{
    if (h.inherited && now < h.inherited_leases_end_at)
    {
        return false;
    }
    if (h.clock_ms < 0)
    {
        return h.lease_until_ms == 0;
    }
    return least_clock(f, h, now) > h.lease_until_ms + f.settings.lease_expiry_margin.count();
}

core::millis time_to_lapse(const fleet& f, const host_entry& h, core::mono_time now)
{
    core::millis rest{0};
    if (h.inherited && now < h.inherited_leases_end_at)
    {
        rest = std::chrono::ceil<core::millis>(h.inherited_leases_end_at - now);
    }
    if (h.clock_ms >= 0)
    {
        const auto margin = f.settings.lease_expiry_margin.count();
        const auto left = h.lease_until_ms + margin + 1 - least_clock(f, h, now);
        const auto slowest = 1.0 - f.settings.clock_drift;
        const auto worst = std::ceil(static_cast<double>(left) / slowest);
        rest = std::max(rest, core::millis{static_cast<std::int64_t>(worst)});
    }
    return rest;
}

bool may_hold_runs(const fleet& f, const host_entry& h, core::mono_time now)
{
    return h.inherited || h.reachable || !h.runs.empty() || !has_lapsed(f, h, now);
}

std::int64_t lease_end_for(const fleet& f, const host_entry& h, core::mono_time now)
{
    // A silent host gets none: each try might be carried out unheard, so its leases would never
    // certainly end and its tasks never start elsewhere.
    const bool may = h.reachable && h.recorded && !f.abandoned_starts.contains(h.ref.id);
    const auto clock = may ? least_clock(f, h, now) : -1;
    return clock < 0 ? 0 : clock + f.settings.runner_lease.count();
}

void note_lease(host_entry& h, std::int64_t until_ms)
{
    h.lease_until_ms = std::max(h.lease_until_ms, until_ms);
}

workflow::job_progress progress_of(const job_entry& j)
{
    workflow::job_progress out;
    out.state = j.state;
    out.ended_unix_ms = j.ended_unix_ms;
    out.tasks.reserve(j.tasks.size());
    for (const auto& it : j.tasks)
    {
        out.tasks.push_back(it.progress);
    }
    return out;
}

unexamined find_unexamined(const fleet& f, core::mono_time now)
{
    unexamined out;
    out.anywhere = now < f.inherited_not_before;
    for (const auto& [id, h] : f.hosts)
    {
        if (h.inherited)
        {
            out.anywhere = out.anywhere || h.pool.empty();
            out.pools.insert(h.pool);
        }
    }
    return out;
}

bool covers(const unexamined& u, const std::string& pool)
{
    return u.anywhere || u.pools.contains(pool);
}

} // namespace camphorhitch::coordinator
