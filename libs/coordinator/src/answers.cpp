#include "coordinator/answers.hpp"

#include "abandoned_starts.hpp"
#include "bookkeeping.hpp"
#include "checkpoints.hpp"
#include "coordinator/advice.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "coordinator/intake.hpp"
#include "lost_runs.hpp"
#include "restarts.hpp"
#include "run_ends.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <cstdlib>
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

void record_clock(host_entry& h, const ports::runner_answer& answer, core::mono_time now)
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
    const auto index = run_index(*t, host, number);
    return index == t->runs.size() ? nullptr : &t->runs[index];
}

/// Applies the runner's report that it executes the run. A run that is being stopped stays in that
/// phase.
void confirm_running(job_entry& j, task_entry& t, run_entry& run, core::mono_time now)
{
    t.superseded_starts = 0;
    if (run.phase == run_phase::ordered || run.phase == run_phase::unsettled)
    {
        run.phase = run_phase::running;
        run.phase_changed_at = now;
    }
    run.confirmed_at = run.confirmed ? run.confirmed_at : now;
    run.confirmed = true;
    mark_job_started(j);
}

/// Raises the run number of a task after a start that was refused as superseded: its runner has
/// seen the same or a higher number, which is not in the answer. The number rises twice as far with
/// each such start, so that it passes the unknown one after few of them, but skips at most half of
/// the term's numbers: the other half remains for runs.
void skip_run_numbers(const fleet& f, task_entry& t)
{
    constexpr int max_doublings = 40;
    const auto step = std::int64_t{1} << std::min(t.superseded_starts, max_doublings);
    const auto middle = f.term * f.settings.runs_per_term + f.settings.runs_per_term / 2;
    const auto left = std::max<std::int64_t>(middle - t.highest_run_number, 0);
    t.highest_run_number += std::min(step - 1, left);
    ++t.superseded_starts;
}

/// Applies a refused start: the run has not started and never will.
void handle_refused_start(fleet& f,
    const workflow::task_name& name,
    const std::string& host,
    std::int64_t number,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* const t = find_task(f, name);
    const auto index = run_index(*t, host, number);
    // If the start were repeated at once, a start that is refused each time would keep the process
    // busy.
    t->not_before = now + f.settings.refused_start_delay;
    t->failed_on.push_back(host);
    record_event(out, "start_refused", name, number, host, verdict_text(answer));
    if (answer.verdict == runner_verdict::superseded)
    {
        skip_run_numbers(f, *t);
    }
    if (answer.verdict == runner_verdict::bad_ticket)
    {
        discard_ticket(f, name, host);
    }
    remove_run(f, *find_job(f, name.job), name, index, now);
}

void record_orphaned_run(fleet& f, host_entry& h, const ports::reported_run& it, task_events& out)
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

/// Adds a run that a previous coordinator ordered to the runs of this one.
void adopt_run(fleet& f,
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
    run.may_be_stopping = true;
    run.cpu_percent_known = false;
    run.phase_changed_at = now;
    add_run(f, j, name, run);
    apply_later_run(t, it.run);
    adopt_isolated_run(t, it.run);
    record_event(out,
        wanted ? "run_adopted" : "run_unwanted",
        name,
        it.run,
        h.ref.id,
        t.progress.lost_runs.empty() ? "" : summarize_losses(t));
}

void apply_reported_run(fleet& f,
    host_entry& h,
    const ports::reported_run& it,
    core::mono_time sent_at,
    core::mono_time now,
    task_events& out)
{
    const auto read = workflow::read_task_name(it.task);
    const auto* const name = std::get_if<workflow::task_name>(&read);
    auto* const t = name == nullptr ? nullptr : find_task(f, *name);
    if (t == nullptr)
    {
        record_orphaned_run(f, h, it, out);
        return;
    }
    auto& j = *find_job(f, name->job);
    if (run_index(*t, h.ref.id, it.run) == t->runs.size())
    {
        adopt_run(f, h, j, *name, it, now, out);
    }
    auto& run = t->runs[run_index(*t, h.ref.id, it.run)];
    confirm_running(j, *t, run, now);
    run.listed = true;
    run.sent_to_earlier = false;
    // From the poll that found the run on, the runner refuses orders of previous coordinators, so
    // the last stop that it accepted from one has taken effect by now.
    run.may_be_stopping =
        run.may_be_stopping && sent_at < run.ordered_at + f.settings.max_stop_time;
    run.progress_percent = it.progress_percent;
    run.load_metric = it.load_metric;
    clear_losses_if_proven(f, h, j, *name, run, out);
    record_checkpoint(j, *name, it.run, it.checkpoint);
}

/// \return the numbers, if the end counts as applied before although its run is still recorded
/// here; else nothing.
std::string describe_skipped_end(
    fleet& f, const host_entry& h, const ports::reported_end& it, std::int64_t applied)
{
    const auto found = h.runs.find(it.task);
    if (found == h.runs.end() || find_run(f, found->second, h.ref.id, it.run) == nullptr)
    {
        return {};
    }
    return "how=" + std::string{core::name_of(ports::run_end_names, it.outcome)} +
           " end=" + std::to_string(it.number) + " applied=" + std::to_string(applied);
}

/// Applies the ends that are new, in any order in which the runner lists them.
void apply_run_ends(fleet& f,
    host_entry& h,
    const std::vector<ports::reported_end>& ended,
    core::mono_time now,
    task_events& out)
{
    const auto previously_applied = h.last_applied_end;
    for (const auto& it : ended)
    {
        if (it.number > previously_applied)
        {
            apply_run_end(f, h, it, now, out);
            h.last_applied_end = std::max(h.last_applied_end, it.number);
        }
        else if (const auto text = describe_skipped_end(f, h, it, previously_applied);
                 !text.empty())
        {
            out.push_back({"end_skipped", it.task, it.run, h.ref.id, text});
        }
    }
}

/// Evaluates a run that the runner does not list: the run is over, or the answer is too old to show
/// it.
void evaluate_missing_run(fleet& f,
    host_entry& h,
    const workflow::task_name& name,
    core::mono_time sent_at,
    core::mono_time now,
    task_events& out)
{
    auto& j = *find_job(f, name.job);
    auto& t = *find_task(f, name);
    for (std::size_t i = t.runs.size(); i-- > 0;)
    {
        auto& run = t.runs[i];
        if (run.host != h.ref.id || run.phase_changed_at >= sent_at)
        {
            continue;
        }
        if (run.phase == run_phase::unsettled)
        {
            // The order may still be on its way. After a stop the runner refuses it permanently, so
            // the task may start on another host only then.
            record_event(out,
                "order_unsettled",
                name,
                run.number,
                h.ref.id,
                "not listed by its runner; stopping it");
            run.phase = run_phase::stopping;
            run.phase_changed_at = now;
        }
        else if (run.phase == run_phase::running || run.stop_confirmed)
        {
            record_event(out, "run_over", name, run.number, h.ref.id, "not listed by its runner");
            auto sent = run;
            remove_run(f, j, name, i, now);
            if (sent.sent_to_earlier)
            {
                sent.phase = run_phase::unsettled;
                sent.stop_confirmed = false;
                sent.confirmed = sent.confirmed_earlier;
                const auto proof = termination_evidence::restarted;
                record_lost_run(f,
                    j,
                    name,
                    sent,
                    h,
                    std::string{core::name_of(termination_evidence_names, proof)},
                    now,
                    out);
            }
        }
    }
}

/// Marks a host at whose address another runner answers. The address may have been reassigned while
/// the runner of this host is cut off and still works, so this ends nothing before its leases have
/// expired.
void mark_address_lost(host_entry& h, task_events& out)
{
    if (!h.address_lost)
    {
        out.push_back({"host_address_lost", "", 0, h.ref.id, "address=" + h.ref.address});
    }
    h.address_lost = true;
}

void mark_unresponsive(host_entry& h, std::string reason, core::mono_time now, task_events& out)
{
    if (h.reachable)
    {
        out.push_back({"host_silent", "", 0, h.ref.id, std::move(reason)});
        h.unresponsive_since = now;
    }
    h.reachable = false;
}

/// Answered calls are remembered by the time at which they were sent, in steps of this size.
constexpr core::millis answered_call_step{10};
/// Longer than a call and the wait of a poll take together.
constexpr core::millis answered_call_memory{10000};

core::mono_time round_down(core::mono_time at)
{
    return core::mono_time{at.time_since_epoch() / answered_call_step * answered_call_step};
}

void record_answered_call(fleet& f, core::mono_time sent_at)
{
    auto& all = f.answered_calls_sent_at;
    all.insert(round_down(sent_at));
    while (*all.begin() + answered_call_memory < *all.rbegin())
    {
        all.erase(all.begin());
    }
}

/// A missing answer is evidence only if another runner has answered a call that was sent while this
/// one was open: on a node whose link is full, all answers are missing or late, also those of
/// runners that have ended tasks in time.
void record_contact_evidence(
    fleet& f, host_entry& h, runner_verdict verdict, core::mono_time sent_at, core::mono_time now)
{
    count_unanswered_call(f, h);
    if (verdict != runner_verdict::unknown && verdict != runner_verdict::not_sent)
    {
        record_answered_call(f, sent_at);
        h.contact_score += min_contact_score;
        return;
    }
    h.unanswered_call = {
        round_down(sent_at), now, verdict == runner_verdict::not_sent ? 1 : min_contact_score};
    count_unanswered_call(f, h);
}

/// Applies an answer, or its absence, to the host itself.
/// \return false when the runner has accepted orders of a newer coordinator; true when the runner
/// gave no answer; nothing when it answered.
std::optional<bool> record_contact(fleet& f,
    host_entry& h,
    const ports::runner_answer& answer,
    core::mono_time sent_at,
    core::mono_time now,
    task_events& out)
{
    record_contact_evidence(f, h, answer.verdict, sent_at, now);
    if (answer.verdict == runner_verdict::fenced)
    {
        return false;
    }
    if (answer.verdict == runner_verdict::other_life)
    {
        mark_address_lost(h, out);
    }
    if (answer.verdict != runner_verdict::done)
    {
        if (h.reachable)
        {
            mark_unresponsive(h,
                verdict_text(answer) + " clock_ms=" + std::to_string(h.clock_ms) +
                    " lease_left_ms=" + std::to_string(time_to_lease_expiry(f, h, now).count()),
                now,
                out);
        }
        return true;
    }
    if (!h.reachable)
    {
        const auto* const why = h.inherited ? "first poll of this term" : "";
        out.push_back({"host_answers", "", 0, h.ref.id, why});
    }
    h.reachable = true;
    h.address_lost = false;
    h.last_answer_at = now;
    record_clock(h, answer, now);
    if (!f.uncertain_losses.empty())
    {
        withdraw_losses(f, h.ref.id, out);
    }
    return std::nullopt;
}

/// \return whether \p clock_ms may be read from the clock of the host's incarnation: the clock of
/// another one starts anywhere. An unknown clock may be.
bool is_clock_of(const host_entry& h, std::int64_t clock_ms, core::mono_time now)
{
    constexpr core::millis max_delay{3000}; // of either answer, in the network and unread
    if (clock_ms < 0 || h.clock_ms < 0)
    {
        return true;
    }
    const auto passed = std::chrono::duration_cast<core::millis>(now - h.clock_read_at);
    const auto expected = h.clock_ms + passed.count();
    return std::abs(clock_ms - expected) <= max_delay.count();
}

/// Records the longest lease that a call for an earlier incarnation may have granted before this
/// answer.
/// \return whether there may be one
bool record_lease_of_earlier_calls(const fleet& f, host_entry& h, core::mono_time now)
{
    const bool may_be = h.earlier_calls_token || (h.inherited && now < h.earlier_leases_end_at);
    if (may_be)
    {
        record_lease(h, h.clock_ms + f.settings.max_runner_lease.count());
        h.earlier_leases_end_at = now + max_lease_time(f);
    }
    return may_be;
}

/// \return whether the answer to a call for \p host is that of a later incarnation of its runner.
bool is_of_next_incarnation(const std::string& host, const ports::runner_answer& answer)
{
    const auto born = ports::read_incarnation(host).born_ms;
    return born != 0 && answer.born_ms != 0 && answer.born_ms != born;
}

void evaluate_missing_runs(fleet& f,
    host_entry& h,
    const std::set<std::string>& listed,
    core::mono_time sent_at,
    core::mono_time now,
    task_events& out)
{
    const auto runs = h.runs; // evaluating a run may remove it from h->runs
    for (const auto& [text, name] : runs)
    {
        if (!listed.contains(text))
        {
            evaluate_missing_run(f, h, name, sent_at, now, out);
        }
    }
}

} // namespace

void count_unanswered_call(const fleet& f, host_entry& h)
{
    auto& call = h.unanswered_call;
    const auto answered = f.answered_calls_sent_at.lower_bound(call.sent_at);
    if (call.score > 0 && answered != f.answered_calls_sent_at.end() &&
        *answered <= call.given_up_at)
    {
        h.contact_score += call.score;
        call = {};
    }
}

bool handle_renewal_answer(fleet& f,
    const std::string& host,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* const h = find_host(f, host);
    if (h == nullptr)
    {
        return true;
    }
    if (answer.verdict == runner_verdict::done && is_of_next_incarnation(host, answer))
    {
        replace_incarnation(f, host, answer.born_ms, now, out);
        return true;
    }
    const auto over = record_contact(f, *h, answer, h->polled_at, now, out);
    if (!over)
    {
        record_lease_of_earlier_calls(f, *h, now);
    }
    return over.value_or(true);
}

bool handle_start_answer(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    const ports::runner_answer& answer,
    core::mono_time now,
    task_events& out,
    bool all_sends_answered)
{
    if (answer.verdict == runner_verdict::fenced)
    {
        return false;
    }
    auto* const h = find_host(f, host);
    auto* const it = find_run(f, task, host, run);
    const bool restarted = is_of_next_incarnation(host, answer) ||
                           (h != nullptr && !is_clock_of(*h, answer.clock_ms, now));
    const bool unanswered = restarted || answer.verdict == runner_verdict::unknown ||
                            answer.verdict == runner_verdict::other_life;
    if (restarted && h != nullptr)
    {
        const auto reason = "another incarnation answers, clock_ms=";
        mark_unresponsive(*h, reason + std::to_string(answer.clock_ms), now, out);
    }
    if (h != nullptr && !unanswered)
    {
        record_clock(*h, answer, now);
    }
    if (it == nullptr)
    {
        return true;
    }
    if (unanswered)
    {
        record_event(out, "start_unknown", task, run, host, verdict_text(answer));
        if (it->phase == run_phase::ordered)
        {
            it->phase = run_phase::unsettled;
            it->phase_changed_at = now;
        }
        return true;
    }
    it->all_sends_answered = all_sends_answered;
    if (answer.verdict != runner_verdict::done)
    {
        handle_refused_start(f, task, host, run, answer, now, out);
        return true;
    }
    confirm_running(*find_job(f, task.job), *find_task(f, task), *it, now);
    return true;
}

bool handle_stop_answer(fleet& f,
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
    handle_abandoned_start_answer(f, host, task, run, answer.verdict, now);
    auto* const it = find_run(f, task, host, run);
    if (it == nullptr)
    {
        return true;
    }
    it->stop_in_flight = false;
    const bool confirmed =
        answer.verdict == runner_verdict::done && !is_of_next_incarnation(host, answer);
    record_event(out,
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

bool handle_poll_answer(fleet& f,
    const std::string& host,
    core::mono_time sent_at,
    const ports::poll_answer& answer,
    core::mono_time now,
    task_events& out)
{
    auto* h = find_host(f, host);
    if (h == nullptr)
    {
        return true;
    }
    const auto born = answer.call.born_ms;
    const bool is_of_next = answer.call.verdict == runner_verdict::done && born != 0 &&
                            born != ports::read_incarnation(host).born_ms;
    if (is_of_next)
    {
        h = &replace_incarnation(f, host, born, now, out);
    }
    if (const auto over = record_contact(f, *h, answer.call, sent_at, now, out))
    {
        return *over;
    }
    apply_run_ends(f, *h, answer.ended, now, out);
    h->orphaned_runs = 0;
    std::set<std::string> listed;
    for (const auto& it : answer.running)
    {
        apply_reported_run(f, *h, it, sent_at, now, out);
        listed.insert(it.task);
    }
    if (!record_lease_of_earlier_calls(f, *h, now) && h->inherited)
    {
        // A lease of a previous coordinator may end later than the first lease of this one.
        const auto longest = f.settings.runner_lease + f.settings.leader_lease;
        record_lease(*h, h->clock_ms + longest.count());
    }
    // A poll that was meant for the incarnation before may have carried an earlier token.
    if (!is_of_next)
    {
        settle_earlier_calls(f, *h, out);
    }
    // When the list of ends is truncated, a run that is not listed may have ended and be reported
    // by a later answer. If its task started again now, it would have run twice by then.
    if (!answer.ends_truncated)
    {
        evaluate_missing_runs(f, *h, listed, sent_at, now, out);
        h->inherited = false; // the first poll of the term is complete only with all ends
    }
    return true;
}

} // namespace camphorhitch::coordinator
