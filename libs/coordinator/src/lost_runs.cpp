#include "lost_runs.hpp"

#include "bookkeeping.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

using workflow::lost_run;

/// Number of lost runs from which a task starts only in isolation.
constexpr int suspect_losses = 2;
/// Number of lost runs, not all of them certain, from which a start waits for evidence.
constexpr int uncertain_wait_losses = 3;
/// Among the losses of a task that has used up its starts, the number of certain ones that shows
/// that it crashes its runners, provided that decisive_only_suspect_losses of them can't have been
/// caused by another task.
constexpr int decisive_losses = 3;
constexpr int decisive_only_suspect_losses = 1;
/// Number of certain losses that shows it in any case.
constexpr int decisive_losses_regardless = 4;

const task_entry& task_of(const job_entry& j, const workflow::task_name& name)
{
    return j.tasks[workflow::task_index(j.spec, name.occurrence, name.step, name.index)];
}

/// Losses that may show that a task crashes its runners: those since the latest one of a run that
/// survived its start.
struct crash_evidence
{
    int losses = 0;
    int certain = 0;
    int only_suspect = 0; ///< of `certain`: no other suspected task was on the runner
    /// Previous coordinators may have ordered starts that left no trace.
    bool untraced = false;
};

/// Losses of a task, or of all members of a gang together.
struct loss_count
{
    int losses = 0;
    int certain = 0;
    crash_evidence evidence;
    /// When this coordinator recorded the latest loss; zero: a previous coordinator did.
    core::mono_time newest;
};

/// \return whether the entry stands for possible starts of previous coordinators, not for a run.
bool is_unseen_start(const fleet& f, const lost_run& it)
{
    return it.host.empty() && it.run % f.settings.runs_per_term == 0;
}

void add_evidence(crash_evidence& to, const fleet& f, const lost_run& it)
{
    if (it.survived_start)
    {
        to = {};
        return;
    }
    ++to.losses;
    to.certain += it.certain ? 1 : 0;
    to.only_suspect += it.certain && it.only_suspect ? 1 : 0;
    to.untraced = to.untraced || is_unseen_start(f, it);
}

int losses_of(const task_entry& t)
{
    const int reserved = t.reserved_run_number != 0 ? 1 : 0;
    const int unseen = t.may_have_unseen_start && !t.progress.lost_runs.empty() ? 1 : 0;
    return static_cast<int>(t.progress.lost_runs.size()) + unseen - reserved;
}

int certain_losses(const std::vector<lost_run>& all)
{
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [](const lost_run& it) { return it.certain; }));
}

/// Members of a gang share the number of their run, so a lost run counts once for all of them.
loss_count count_gang_losses(const fleet& f, const job_entry& j, const workflow::task_name& name)
{
    loss_count out;
    std::map<std::int64_t, lost_run> runs; // by run number
    bool unseen = false;
    bool untraced = false;
    for (int i = 0; i < step_spec(j, name).tasks; ++i)
    {
        const auto& t = task_of(j, {name.job, name.occurrence, name.step, i});
        for (const auto& it : t.progress.lost_runs)
        {
            if (it.run == t.reserved_run_number)
            {
                continue;
            }
            auto& run = runs.try_emplace(it.run, it).first->second;
            run.host = run.host.empty() ? it.host : run.host;
            run.only_suspect = (run.certain && run.only_suspect) || (it.certain && it.only_suspect);
            run.certain = run.certain || it.certain;
            run.survived_start = run.survived_start || it.survived_start;
        }
        unseen = unseen || (t.may_have_unseen_start && !t.progress.lost_runs.empty());
        untraced = untraced || t.has_untraced_start;
        out.newest = std::max(out.newest, t.last_loss_at);
    }
    for (const auto& [number, it] : runs)
    {
        out.certain += it.certain ? 1 : 0;
        add_evidence(out.evidence, f, it);
    }
    out.losses = static_cast<int>(runs.size()) + (unseen ? 1 : 0);
    out.evidence.losses += unseen ? 1 : 0;
    out.evidence.untraced = out.evidence.untraced || untraced;
    return out;
}

loss_count count_losses(const fleet& f, const job_entry& j, const workflow::task_name& name)
{
    if (step_spec(j, name).gang)
    {
        return count_gang_losses(f, j, name);
    }
    const auto& t = task_of(j, name);
    const auto& all = t.progress.lost_runs;
    loss_count out;
    out.losses = losses_of(t);
    out.certain = certain_losses(all);
    out.newest = t.last_loss_at;
    for (const auto& it : all)
    {
        if (it.run != t.reserved_run_number)
        {
            add_evidence(out.evidence, f, it);
        }
    }
    out.evidence.losses += t.may_have_unseen_start && !all.empty() ? 1 : 0;
    out.evidence.untraced = out.evidence.untraced || t.has_untraced_start;
    return out;
}

/// Runners crash by themselves, and a task may be on one of them each time. What no coincidence
/// explains is that each run was lost at its start, on different runners and apart from other
/// suspects, until the bound on the starts of a task that crashes its runners is reached.
bool crashes_hosts(const crash_evidence& it, int max_losses)
{
    // Two previous coordinators may each have ended without a trace of a start.
    const int losses = it.losses + (it.untraced ? 1 : 0);
    return losses >= max_losses &&
           (it.certain >= decisive_losses_regardless ||
               (it.certain >= decisive_losses && it.only_suspect >= decisive_only_suspect_losses));
}

std::string describe_loss(const task_entry& t, const lost_run& it, const std::string& proof)
{
    return "losses=" + std::to_string(losses_of(t)) +
           " certain=" + std::to_string(certain_losses(t.progress.lost_runs)) +
           " sole=" + (it.only_suspect ? "1" : "0") + " worked=" + (it.survived_start ? "1" : "0") +
           (it.certain ? " proof=" + proof
                       : std::string{it.confirmed ? " possible" : " unconfirmed"});
}

/// \return a task of the step that waits for a start and has crashed its runners; empty: none.
std::optional<workflow::task_name> find_crashing_task(const fleet& f, const waiting_step& w)
{
    const auto& j = *w.job;
    const auto& s = j.spec.steps[static_cast<std::size_t>(w.step)];
    if (s.gang && step_of(j, w.occurrence, w.step).idle < s.tasks)
    {
        return std::nullopt; // some member has a run
    }
    const int tasks = s.gang ? 1 : s.tasks; // the members of a gang are counted together
    for (int i = 0; i < tasks; ++i)
    {
        const workflow::task_name name{j.spec.id, w.occurrence, w.step, i};
        const auto& t = task_of(j, name);
        if (!t.progress.done && t.runs.empty() &&
            crashes_hosts(count_losses(f, j, name).evidence, f.settings.last_resort_losses))
        {
            return name;
        }
    }
    return std::nullopt;
}

std::int64_t newest_run(const task_entry& t)
{
    return t.runs.empty() ? 0 : t.runs.back().number;
}

bool counts_as_loss(const fleet& f,
    const job_entry& j,
    const task_entry& t,
    const run_entry& run,
    const host_entry& h)
{
    const bool stopped = run.phase == run_phase::stopping && (run.confirmed || run.stop_confirmed);
    const bool worked =
        run.confirmed && h.last_answer_at - run.ordered_at >= f.settings.isolation_time;
    const bool closed =
        h.availability != host_availability::open && h.closed_at <= h.last_answer_at;
    const bool leaves = h.draining || closed;
    return !workflow::is_final(j.state) && !t.progress.done && !stopped && !worked && !leaves;
}

/// An adopted run has outlived the coordinator that started it.
bool survived_start(const fleet& f, const run_entry& run, const host_entry& h)
{
    return run.adopted ||
           (run.confirmed && h.last_answer_at - run.confirmed_at >= f.settings.startup_crash_time);
}

void add_loss(job_entry& j, task_entry& t, lost_run it)
{
    auto& all = t.progress.lost_runs;
    if (all.size() == workflow::max_lost_runs)
    {
        all.erase(all.begin());
        --j.losses;
    }
    all.push_back(std::move(it));
    ++j.losses;
}

/// Records a possible unseen start as a lost run, so that it is stored together with the known
/// losses.
void record_unseen_start(const fleet& f, job_entry& j, task_entry& t)
{
    const bool lost =
        !t.progress.lost_runs.empty() || f.pools_with_lost_hosts.contains(j.spec.pool);
    const bool possible = std::exchange(t.may_have_unseen_start, false);
    if (possible && lost)
    {
        add_loss(j, t, {f.term * f.settings.runs_per_term});
    }
    else if (possible)
    {
        t.has_untraced_start = true;
    }
}

void add_uncertain_loss(fleet& f,
    const std::string& host,
    const std::string& machine,
    const workflow::task_name& name,
    std::int64_t run,
    core::mono_time now)
{
    auto& it = f.uncertain_losses[host];
    it.machine = machine;
    it.since = now;
    it.runs.emplace_back(name, run);
}

/// \return the lost run, or nullptr when it doesn't count any more.
lost_run* find_lost_run(
    fleet& f, const std::string& host, const workflow::task_name& name, std::int64_t run)
{
    auto* const t = find_task(f, name);
    if (t == nullptr || t->progress.done || workflow::is_final(find_job(f, name.job)->state))
    {
        return nullptr;
    }
    auto& all = t->progress.lost_runs;
    const auto it = std::find_if(all.begin(),
        all.end(),
        [&](const lost_run& each) { return each.host == host && each.run == run; });
    return it == all.end() ? nullptr : &*it;
}

} // namespace

std::string summarize_losses(const task_entry& t)
{
    const auto& all = t.progress.lost_runs;
    const auto count = [&all](auto matches)
    {
        return std::to_string(std::count_if(all.begin(), all.end(), matches));
    };
    return "losses=" + std::to_string(losses_of(t)) +
           " certain=" + std::to_string(certain_losses(all)) +
           " sole=" + count([](const lost_run& it) { return it.certain && it.only_suspect; }) +
           " worked=" + count([](const lost_run& it) { return it.survived_start; }) +
           " unseen=" + count([](const lost_run& it) { return it.host.empty(); }) +
           " reserved=" + std::to_string(t.reserved_run_number) +
           " active_run=" + std::to_string(newest_run(t));
}

start_rule find_start_rule(
    const fleet& f, const job_entry& j, const workflow::task_name& name, core::mono_time now)
{
    if (j.losses == 0)
    {
        return start_rule::unrestricted;
    }
    const auto all = count_losses(f, j, name);
    if (all.losses == 0)
    {
        return start_rule::unrestricted;
    }
    // The next coordinator counts from the stored losses, so a loss that is not stored would be
    // missed.
    const bool stored = j.losses_stored == j.losses_recorded;
    if (!stored || crashes_hosts(all.evidence, f.settings.last_resort_losses))
    {
        return start_rule::withheld;
    }
    const bool uncertain = all.losses > all.certain;
    const bool many = all.losses >= f.settings.last_resort_losses;
    if (many || (uncertain && all.losses >= uncertain_wait_losses))
    {
        const bool last_resort = all.evidence.losses >= f.settings.last_resort_losses;
        const auto wait =
            last_resort ? f.settings.last_resort_wait : f.settings.uncertain_loss_wait;
        const auto since = last_resort ? std::max(all.newest, j.added_at) : all.newest;
        return now - since >= wait ? start_rule::isolated : start_rule::withheld;
    }
    return all.losses >= suspect_losses ? start_rule::isolated : start_rule::separated;
}

void fail_crashing_jobs(
    fleet& f, std::vector<waiting_step>& waiting, core::mono_time now, task_events& out)
{
    for (const auto& w : waiting)
    {
        auto& j = *w.job;
        const auto name =
            j.losses > 0 && !workflow::is_final(j.state) ? find_crashing_task(f, w) : std::nullopt;
        if (name)
        {
            out.push_back({"job_failed",
                j.spec.id,
                0,
                "",
                "task=" + workflow::write_task_name(*name) +
                    " crashed_hosts=" + std::to_string(count_losses(f, j, *name).certain) + " " +
                    summarize_losses(task_of(j, *name))});
            finish_job(f, j, workflow::job_state::failed, now);
        }
    }
    std::erase_if(
        waiting, [](const waiting_step& it) { return workflow::is_final(it.job->state); });
}

void record_lost_run(fleet& f,
    job_entry& j,
    const workflow::task_name& name,
    const run_entry& run,
    const host_entry& h,
    const std::string& proof,
    core::mono_time now,
    task_events& out)
{
    auto& t = *find_task(f, name);
    if (!counts_as_loss(f, j, t, run, h))
    {
        return;
    }
    record_unseen_start(f, j, t);
    const bool certain = !proof.empty() && run.confirmed;
    const lost_run lost{run.number,
        h.ref.id,
        certain ? "" : h.machine,
        run.confirmed,
        certain,
        run.only_suspect,
        survived_start(f, run, h)};
    add_loss(j, t, lost);
    ++j.losses_recorded;
    t.last_loss_at = now;
    t.withheld_logged = false;
    mark_dirty(f, j);
    record_event(
        out, "run_lost_with_host", name, run.number, h.ref.id, describe_loss(t, lost, proof));
    if (proof.empty())
    {
        add_uncertain_loss(f, h.ref.id, h.machine, name, run.number, now);
    }
}

void confirm_losses(fleet& f, const std::string& host, const std::string& proof, task_events& out)
{
    const auto found = f.uncertain_losses.extract(host);
    if (found.empty())
    {
        return;
    }
    for (const auto& [name, run] : found.mapped().runs)
    {
        auto* const it = find_lost_run(f, host, name, run);
        if (it == nullptr || !it->confirmed)
        {
            continue; // the runner may never have received a start without an answer
        }
        it->certain = true;
        it->machine.clear();
        auto& j = *find_job(f, name.job);
        mark_dirty(f, j);
        record_event(out,
            "run_lost_with_host",
            name,
            run,
            host,
            describe_loss(*find_task(f, name), *it, proof));
    }
}

void withdraw_losses(fleet& f, const std::string& host, task_events& out)
{
    const auto found = f.uncertain_losses.extract(host);
    if (found.empty())
    {
        return;
    }
    for (const auto& [name, run] : found.mapped().runs)
    {
        const auto* const it = find_lost_run(f, host, name, run);
        if (it == nullptr)
        {
            continue;
        }
        auto& j = *find_job(f, name.job);
        auto& t = *find_task(f, name);
        t.progress.lost_runs.erase(
            t.progress.lost_runs.begin() + (it - t.progress.lost_runs.data()));
        --j.losses;
        mark_dirty(f, j);
        record_event(out, "loss_withdrawn", name, run, host, "the runner answers");
    }
}

void abandon_evidence(fleet& f, const std::string& host)
{
    const auto found = f.uncertain_losses.extract(host);
    if (found.empty())
    {
        return;
    }
    for (const auto& [name, run] : found.mapped().runs)
    {
        if (auto* const it = find_lost_run(f, host, name, run))
        {
            it->confirmed = false;
            it->machine.clear();
            mark_dirty(f, *find_job(f, name.job));
        }
    }
}

void clear_losses_if_proven(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    run_entry& run,
    task_events& out)
{
    auto& t = *find_task(f, name);
    const bool known = !t.progress.lost_runs.empty() || run.after_loss;
    if (!known || h.last_answer_at - run.ordered_at < f.settings.isolation_time)
    {
        return;
    }
    if (!t.progress.lost_runs.empty())
    {
        record_event(out,
            "losses_cleared",
            name,
            run.number,
            h.ref.id,
            "losses=" + std::to_string(t.progress.lost_runs.size()));
        j.losses -= static_cast<int>(t.progress.lost_runs.size());
        t.progress.lost_runs.clear();
        mark_dirty(f, j);
    }
    t.may_have_unseen_start = false;
    t.has_untraced_start = false;
    t.reserved_run_number = 0;
    clear_loss_flags(h, run);
}

void inherit_losses(fleet& f, job_entry& j)
{
    for (std::size_t i = 0; i < j.tasks.size(); ++i)
    {
        auto& t = j.tasks[i];
        j.losses += static_cast<int>(t.progress.lost_runs.size());
        // After more than one loss, each further start is stored before it is ordered.
        t.may_have_unseen_start =
            j.inherited && t.progress.lost_runs.size() <= 1 && !t.progress.done;
        for (const auto& it : t.progress.lost_runs)
        {
            if (!it.certain && it.confirmed && !t.progress.done)
            {
                add_uncertain_loss(
                    f, it.host, it.machine, workflow::name_of_task(j.spec, i), it.run, {});
            }
        }
    }
}

void apply_later_run(task_entry& t, std::int64_t run)
{
    const auto& lost = t.progress.lost_runs;
    if (t.may_have_unseen_start && (lost.empty() || run > lost.back().run))
    {
        t.may_have_unseen_start = false;
    }
}

void reserve_isolated_run(fleet& f, job_entry& j, task_entry& t, std::int64_t number)
{
    record_unseen_start(f, j, t);
    add_loss(j, t, {number});
    t.reserved_run_number = number;
    ++j.losses_recorded;
    mark_dirty(f, j);
}

void adopt_isolated_run(task_entry& t, std::int64_t run)
{
    const auto& all = t.progress.lost_runs;
    const bool reserved = std::any_of(all.begin(),
        all.end(),
        [run](const lost_run& it) { return it.host.empty() && it.run == run; });
    t.reserved_run_number = reserved ? run : t.reserved_run_number;
}

void release_isolated_run(fleet& f, job_entry& j, task_entry& t, std::int64_t run)
{
    const auto released = std::erase_if(t.progress.lost_runs,
        [run](const lost_run& it) { return it.host.empty() && it.run == run; });
    t.reserved_run_number = t.reserved_run_number == run ? 0 : t.reserved_run_number;
    j.losses -= static_cast<int>(released);
    if (released > 0 && !workflow::is_final(j.state))
    {
        mark_dirty(f, j);
    }
}

void remove_irrelevant_losses(fleet& f)
{
    std::erase_if(f.uncertain_losses,
        [&](const auto& it)
        {
            return std::none_of(it.second.runs.begin(),
                it.second.runs.end(),
                [&](const auto& each)
                { return find_lost_run(f, it.first, each.first, each.second) != nullptr; });
        });
}

std::string describe_losses(
    const fleet& f, const job_entry& j, int occurrence, int step, core::mono_time now)
{
    if (j.losses == 0)
    {
        return {};
    }
    int withheld = 0;
    int alone = 0;
    int most = 0;
    for (int i = 0; i < j.spec.steps[static_cast<std::size_t>(step)].tasks; ++i)
    {
        const workflow::task_name name{j.spec.id, occurrence, step, i};
        const auto& t = task_of(j, name);
        if (t.progress.done || !t.runs.empty())
        {
            continue;
        }
        const auto rule = find_start_rule(f, j, name, now);
        withheld += rule == start_rule::withheld ? 1 : 0;
        alone += rule == start_rule::isolated ? 1 : 0;
        most = std::max(most, losses_of(t));
    }
    if (withheld + alone == 0)
    {
        return {};
    }
    return std::to_string(alone) + " to be started alone on a host and " +
           std::to_string(withheld) + " held back, because hosts were lost with them (up to " +
           std::to_string(most) + " times)";
}

} // namespace camphorhitch::coordinator
