#include "restarts.hpp"

#include "bookkeeping.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "lost_runs.hpp"

#include <iterator>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

using ports::read_incarnation;

/// \return whether the run, or an earlier one of its task, may be active on the next incarnation.
/// \param text name of the task
bool may_be_passed_on(const fleet& f,
    const host_entry& from,
    const std::string& text,
    const run_entry& run,
    bool has_ended,
    core::mono_time now)
{
    const auto is_recent = [&](core::mono_time ordered_at)
    {
        return now - ordered_at < f.settings.max_late_call;
    };
    const auto earlier = from.unanswered_starts.find(text);
    const bool may_be_sent =
        (!run.all_sends_answered && is_recent(run.ordered_at)) ||
        (earlier != from.unanswered_starts.end() && is_recent(earlier->second));
    return !has_ended || !run.listed || may_be_sent;
}

/// Passes the runs of \p from on to \p to.
/// \param has_ended \p from has certainly ended
/// \return number of runs passed on
int pass_on_runs(fleet& f,
    host_entry& from,
    host_entry& to,
    bool has_ended,
    core::mono_time now,
    task_events& out)
{
    int n = 0;
    const auto runs = from.runs; // moving a run changes from.runs
    for (const auto& [text, name] : runs)
    {
        auto* const t = find_task(f, name);
        if (t == nullptr)
        {
            continue;
        }
        for (auto& run : t->runs)
        {
            if (run.host != from.ref.id || !may_be_passed_on(f, from, text, run, has_ended, now))
            {
                continue;
            }
            move_run(*find_job(f, name.job), name, run, from, to);
            run.sent_to_earlier = has_ended && run.phase != run_phase::stopping;
            run.phase =
                run.phase == run_phase::stopping ? run_phase::stopping : run_phase::unsettled;
            run.phase_changed_at = now;
            run.confirmed_earlier = run.confirmed;
            run.confirmed = false;
            run.listed = false;
            run.cpu_percent_known = run.cpu_percent_known && !has_ended;
            run.stop_in_flight = false;
            run.stop_confirmed = false;
            run.stop_retry_at = {};
            record_event(out, "run_unsettled", name, run.number, to.ref.id, "its runner restarted");
            ++n;
        }
    }
    return n;
}

/// Sets up the host \p to, which has its id, for the incarnation after \p from.
/// \param has_ended \p from has certainly ended
void begin_incarnation(
    const fleet& f, const host_entry& from, host_entry& to, bool has_ended, core::mono_time now)
{
    to.ref.address = from.ref.address;
    to.ref.zone = from.ref.zone;
    to.pool = has_ended ? std::string{} : from.pool;
    to.zone = from.zone;
    to.machine = from.machine;
    to.machine_known_at = now;
    to.inherited = true;
    to.added_at = now;
    to.unresponsive_since = now;
    to.has_restarted = has_ended;
    if (has_ended)
    {
        expect_earlier_calls(f, to, now);
    }
    to.inherited_leases_end_at =
        now + (has_ended ? max_lease_time(f) : time_to_lease_expiry(f, from, now));
}

/// \return the earlier incarnations of the runner of \p id that are keys of \p all.
template <class Value>
std::vector<std::string> earlier_incarnations(
    const std::map<std::string, Value>& all, const std::string& id)
{
    std::vector<std::string> out;
    for (const auto& [key, value] : all)
    {
        if (key != id && ports::is_same_runner(key, id))
        {
            out.push_back(key);
        }
    }
    return out;
}

} // namespace

const host_entry* find_runner(const fleet& f, const std::string& runner)
{
    // The texts of a runner's incarnations are adjacent, except the one with an unknown start.
    auto it = f.hosts.find(runner);
    it = it != f.hosts.end() ? it : f.hosts.lower_bound(runner + '/');
    const bool found = it != f.hosts.end() && ports::is_same_runner(it->first, runner);
    return found ? &it->second : nullptr;
}

host_entry* find_runner(fleet& f, const std::string& runner)
{
    const auto* const found = find_runner(std::as_const(f), runner);
    return found == nullptr ? nullptr : &f.hosts.at(found->ref.id);
}

void inherit_from_earlier_incarnations(fleet& f, const std::string& id, task_events& out)
{
    for (const auto& it : earlier_incarnations(f.abandoned_starts, id))
    {
        auto starts = f.abandoned_starts.extract(it).mapped();
        for (auto& start : starts)
        {
            start.stop_in_flight = false;
            start.stop_retry_at = {};
        }
        auto& all = f.abandoned_starts[id];
        all.insert(all.end(),
            std::make_move_iterator(starts.begin()),
            std::make_move_iterator(starts.end()));
    }
    if (read_incarnation(id).born_ms == 0)
    {
        return;
    }
    for (const auto& it : earlier_incarnations(f.uncertain_losses, id))
    {
        // An incarnation with an unknown start may be the present one.
        if (read_incarnation(it).born_ms != 0)
        {
            confirm_losses(f,
                it,
                std::string{
                    core::name_of(termination_evidence_names, termination_evidence::restarted)},
                out);
        }
    }
}

host_entry& replace_incarnation(
    fleet& f, const std::string& old, std::int64_t born_ms, core::mono_time now, task_events& out)
{
    const auto was = read_incarnation(old);
    const bool has_ended = was.born_ms != 0;
    auto& from = f.hosts.at(old);
    const auto id = ports::write_incarnation({was.runner, born_ms});
    const auto [entry, added] = f.hosts.try_emplace(id);
    auto& to = entry->second;
    if (added)
    {
        to.ref.id = id;
        begin_incarnation(f, from, to, has_ended, now);
    }
    const int kept = pass_on_runs(f, from, to, has_ended, now, out);
    out.push_back({"host_restarted",
        "",
        0,
        id,
        "was=" + old + " machine=" + to.machine + " unsettled_runs=" + std::to_string(kept)});
    inherit_from_earlier_incarnations(f, id, out);
    if (has_ended)
    {
        end_host(f, old, termination_evidence::restarted, now, out);
    }
    else
    {
        erase_orphaned_runs(f, old);
        f.hosts.erase(old);
    }
    return to;
}

} // namespace camphorhitch::coordinator
