#include "coordinator/answers.hpp"

#include "bookkeeping.hpp"
#include "coordinator/advice.hpp"
#include "coordinator/intake.hpp"
#include "ends.hpp"
#include "given_up.hpp"
#include "losses.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace camphorhitch::coordinator
{

namespace
{

using ports::runner_verdict;

std::string verdict_text(const ports::runner_answer& answer)
{
    return "answer=" + std::string{core::name_of(ports::runner_verdict_names, answer.verdict)};
}

void note_clock(host_entry& h, const ports::runner_answer& answer, core::mono_time now)
{
    if (answer.clock_ms >= 0)
    {
        h.clock_ms = answer.clock_ms;
        h.clock_read_at = now;
    }
}

run_entry* find_run(
    fleet& f, const workflow::task_name& name, const std::string& host, std::int64_t number)
{
    auto* const t = find_task(f, name);
    if (t == nullptr)
    {
        return nullptr;
    }
    const auto place = place_of_run(*t, host, number);
    return place == t->runs.size() ? nullptr : &t->runs[place];
}

/// The runner says that the run is there. One that is being stopped stays so.
void confirm_running(job_entry& j, run_entry& run, core::mono_time now)
{
    if (run.phase == run_phase::ordered || run.phase == run_phase::unsettled)
    {
        run.phase = run_phase::running;
        run.phase_changed_at = now;
    }
    run.confirmed = true;
    note_begun(j);
}

/// The run never began and never will.
void start_refused(fleet& f,
    const workflow::task_name& name,
    const std::string& host,
    std::int64_t number,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* const t = find_task(f, name);
    const auto place = place_of_run(*t, host, number);
    // Ordered again at once, a start that is refused each time would keep the process busy.
    t->not_before = now + f.settings.refused_start_delay;
    t->failed_on.push_back(host);
    note(out, "start_refused", name, number, host, verdict_text(answer));
    if (answer.verdict == runner_verdict::bad_ticket)
    {
        ticket_refused(f, name, host);
    }
    remove_run(f, *find_job(f, name.job), name, place);
}

void see_stray(fleet& f, host_entry& h, const ports::reported_run& it, task_events& out)
{
    ++h.orphaned_runs;
    const auto same = [&](const orphaned_run& known)
    {
        return known.host == h.ref.id && known.task == it.task && known.number == it.run;
    };
    if (std::none_of(f.orphaned_runs.begin(), f.orphaned_runs.end(), same))
    {
        f.orphaned_runs.push_back({h.ref.id, it.task, it.run});
        out.push_back({"stray_run", it.task, it.run, h.ref.id, "no such open task"});
    }
}

/// A run of a former owner: it is this owner's from now on.
void adopt(fleet& f,
    host_entry& h,
    job_entry& j,
    const workflow::task_name& name,
    const ports::reported_run& it,
    core::mono_time now,
    task_events& out)
{
    auto& t = *find_task(f, name);
    const bool wanted = !workflow::is_final(j.state) && !t.progress.done && t.runs.empty();
    run_entry run;
    run.number = it.run;
    run.host = h.ref.id;
    run.phase = wanted ? run_phase::running : run_phase::stopping;
    run.ordered_at = now;
    run.adopted = true;
    run.phase_changed_at = now;
    add_run(f, j, name, run);
    see_later_run(t, it.run);
    adopt_trial(t, it.run);
    note(out, wanted ? "run_adopted" : "run_unwanted", name, it.run, h.ref.id, "");
}

void see_running(
    fleet& f, host_entry& h, const ports::reported_run& it, core::mono_time now, task_events& out)
{
    const auto read = workflow::read_task_name(it.task);
    const auto* const name = std::get_if<workflow::task_name>(&read);
    auto* const t = name == nullptr ? nullptr : find_task(f, *name);
    if (t == nullptr)
    {
        see_stray(f, h, it, out);
        return;
    }
    auto& j = *find_job(f, name->job);
    if (place_of_run(*t, h.ref.id, it.run) == t->runs.size())
    {
        adopt(f, h, j, *name, it, now, out);
    }
    auto& run = t->runs[place_of_run(*t, h.ref.id, it.run)];
    confirm_running(j, run, now);
    run.progress_percent = it.progress_percent;
    run.load_metric = it.load_metric;
    clear_if_proven(f, h, j, *name, run, out);
    if (!it.checkpoint.empty())
    {
        t->progress.checkpoint = it.checkpoint;
    }
}

/// Takes in the ends that are new, in whatever order the runner lists them.
void take_ends(fleet& f,
    host_entry& h,
    const std::vector<ports::reported_end>& ended,
    core::mono_time now,
    task_events& out)
{
    const auto seen = h.last_applied_end;
    for (const auto& it : ended)
    {
        if (it.number > seen)
        {
            take_end(f, h, it, now, out);
            h.last_applied_end = std::max(h.last_applied_end, it.number);
        }
    }
}

/// A run that the runner does not list: it is over, or the answer is too old to tell.
void judge_missing(fleet& f,
    host_entry& h,
    const workflow::task_name& name,
    core::mono_time begun,
    core::mono_time now,
    task_events& out)
{
    auto& j = *find_job(f, name.job);
    auto& t = *find_task(f, name);
    for (std::size_t i = t.runs.size(); i-- > 0;)
    {
        auto& run = t.runs[i];
        if (run.host != h.ref.id || run.phase_changed_at >= begun)
        {
            continue;
        }
        if (run.phase == run_phase::unsettled)
        {
            // The order may still be on its way. After a stop the runner refuses it for good, so
            // only then the task may start elsewhere.
            note(out, "order_unsettled", name, run.number, h.ref.id, "not listed; stopping it");
            run.phase = run_phase::stopping;
            run.phase_changed_at = now;
        }
        else if (run.phase == run_phase::running || run.stop_confirmed)
        {
            note(out, "run_over", name, run.number, h.ref.id, "not listed by its runner");
            remove_run(f, j, name, i);
        }
    }
}

/// Another runner answers at the host's address. An address may be handed on while the one that had
/// it is cut off and works, so this ends nothing before its leases have ended.
void lose_address(host_entry& h, task_events& out)
{
    if (!h.address_lost)
    {
        out.push_back({"host_address_lost", "", 0, h.ref.id, "address=" + h.ref.address});
    }
    h.address_lost = true;
}

/// What any answer, or none, says of the host itself.
/// \return false when the runner knows a newer owner, true when there was no answer of the runner,
/// nothing when it answered.
std::optional<bool> take_contact(fleet& f,
    host_entry& h,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    h.contact_score += answer.verdict == runner_verdict::not_sent ? 1 : min_contact_score;
    if (answer.verdict == runner_verdict::fenced)
    {
        return false;
    }
    if (answer.verdict == runner_verdict::other_life)
    {
        lose_address(h, out);
    }
    if (answer.verdict != runner_verdict::done)
    {
        if (h.reachable)
        {
            out.push_back({"host_silent", "", 0, h.ref.id, verdict_text(answer)});
            h.unresponsive_since = now;
        }
        h.reachable = false;
        return true;
    }
    if (!h.reachable)
    {
        const auto* const why = h.inherited ? "first look of this term" : "";
        out.push_back({"host_answers", "", 0, h.ref.id, why});
    }
    h.reachable = true;
    h.address_lost = false;
    h.last_answer_at = now;
    note_clock(h, answer, now);
    if (!f.uncertain_losses.empty())
    {
        withdraw_losses(f, h.ref.id, out);
    }
    return std::nullopt;
}

void judge_all_missing(fleet& f,
    host_entry& h,
    const std::set<std::string>& listed,
    core::mono_time begun,
    core::mono_time now,
    task_events& out)
{
    const auto runs = h.runs; // judging removes from the host's own table
    for (const auto& [text, name] : runs)
    {
        if (!listed.contains(text))
        {
            judge_missing(f, h, name, begun, now, out);
        }
    }
}

} // namespace

bool contact_answered(fleet& f,
    const std::string& host,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* const h = find_host(f, host);
    return h == nullptr || take_contact(f, *h, answer, now, out).value_or(true);
}

bool start_answered(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    if (answer.verdict == runner_verdict::fenced)
    {
        return false;
    }
    const bool unheard =
        answer.verdict == runner_verdict::unknown || answer.verdict == runner_verdict::other_life;
    auto* const h = find_host(f, host);
    if (h != nullptr && !unheard)
    {
        note_clock(*h, answer, now);
    }
    auto* const it = find_run(f, task, host, run);
    if (it == nullptr)
    {
        return true;
    }
    if (unheard)
    {
        note(out, "start_unknown", task, run, host, verdict_text(answer));
        if (it->phase == run_phase::ordered)
        {
            it->phase = run_phase::unsettled;
            it->phase_changed_at = now;
        }
        return true;
    }
    if (answer.verdict != runner_verdict::done)
    {
        start_refused(f, task, host, run, answer, now, out);
        return true;
    }
    confirm_running(*find_job(f, task.job), *it, now);
    return true;
}

bool stop_answered(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    if (answer.verdict == runner_verdict::fenced)
    {
        return false;
    }
    given_up_answered(f, host, task, run, answer.verdict, now);
    auto* const it = find_run(f, task, host, run);
    if (it == nullptr)
    {
        return true;
    }
    it->stop_in_flight = false;
    const bool confirmed = answer.verdict == runner_verdict::done;
    note(out,
        confirmed ? "stop_confirmed" : "stop_unanswered",
        task,
        run,
        host,
        verdict_text(answer));
    if (confirmed)
    {
        it->stop_confirmed = true;
        it->phase_changed_at = now;
    }
    else
    {
        it->stop_retry_at = now + f.settings.stop_retry_delay;
    }
    return true;
}

bool poll_answered(fleet& f,
    const std::string& host,
    core::mono_time begun,
    const ports::poll_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* const h = find_host(f, host);
    if (h == nullptr)
    {
        return true;
    }
    if (const auto over = take_contact(f, *h, answer.call, now, out))
    {
        return *over;
    }
    take_ends(f, *h, answer.ended, now, out);
    h->orphaned_runs = 0;
    std::set<std::string> listed;
    for (const auto& it : answer.running)
    {
        see_running(f, *h, it, now, out);
        listed.insert(it.task);
    }
    if (h->inherited)
    {
        // A former owner's lease may reach further than this owner's first.
        note_lease(*h, h->clock_ms + (f.settings.runner_lease + f.settings.leader_lease).count());
    }
    // With ends left out a run that is not listed may have ended, and be told of in a later answer:
    // started again now, its task would have run twice by then.
    if (!answer.ends_truncated)
    {
        judge_all_missing(f, *h, listed, begun, now, out);
        h->inherited = false; // a first look is over once it has seen all
    }
    return true;
}

} // namespace camphorhitch::coordinator
