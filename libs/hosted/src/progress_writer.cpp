#include "progress_writer.hpp"

#include "coordinator/intake.hpp"
#include "coordinator/retention.hpp"
#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

/// What a transaction takes: conditions, puts and removals together.
constexpr std::size_t most_rows = 32;
/// A condition, a put, and for a final job two removals.
constexpr std::size_t most_rows_per_job = 4;

} // namespace

progress_writer::progress_writer(term& t) : term_(t)
{
}

void progress_writer::request()
{
    if (!requested_ && batches_out_ == 0)
    {
        requested_ = true;
        term_.ctx.time.after(term_.settings.store_delay, term_.guarded([this] { begin(); }));
    }
}

void progress_writer::request_if_due()
{
    // Also ends that changed no job: until they count as stored their hosts can't be taken down.
    const bool ends = std::any_of(term_.fleet.hosts.begin(),
        term_.fleet.hosts.end(),
        [](const auto& it) { return it.second.last_applied_end > it.second.last_stored_end; });
    if (ends || !term_.fleet.dirty_jobs.empty())
    {
        request();
    }
}

void progress_writer::begin()
{
    requested_ = false;
    if (!term_.lead->holds())
    {
        return; // what can't be recorded isn't acknowledged either; the successor reads it anew
    }
    auto dirty = std::exchange(term_.fleet.dirty_jobs, {});
    ends_.clear();
    term_.load.ends.begin_store();
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (h.last_applied_end > h.last_stored_end)
        {
            ends_[id] = h.last_applied_end;
        }
    }
    all_stored_ = true;
    if (dirty.empty())
    {
        end();
        return;
    }
    std::vector<batch> batches;
    for (const auto& id : dirty)
    {
        if (batches.empty() || batches.back().rows() + most_rows_per_job > most_rows)
        {
            batches.emplace_back().change.conditions.push_back({leader_key, term_.token});
        }
        add_job(id, batches.back());
    }
    batches_out_ = batches.size();
    for (auto& it : batches)
    {
        send(std::move(it));
    }
}

void progress_writer::add_job(const std::string& id, batch& to)
{
    const auto found = term_.fleet.jobs.find(id);
    if (found == term_.fleet.jobs.end())
    {
        return;
    }
    auto& j = *found->second;
    j.dirty = false;
    j.losses_written = j.losses_recorded;
    if (workflow::is_final(j.state) && j.ended_unix_ms == 0)
    {
        j.ended_unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    }
    to.jobs.push_back(id);
    // Each job's own revision too: a write whose answer was lost may land seconds later, while
    // this node still leads, and would put an old progress over a newer one.
    to.change.conditions.push_back({state_key(id), j.stored_revision});
    to.change.puts.push_back(
        {state_key(id), workflow::write_progress(j.spec, coordinator::progress_of(j)), 0});
    if (workflow::is_final(j.state))
    {
        to.change.removals.push_back(job_key(id));
        to.change.removals.push_back(cancel_key(id));
    }
}

void progress_writer::send(batch b)
{
    if (b.jobs.empty())
    {
        batch_over(true, {});
        return;
    }
    ++term_.load.counts.store_batches;
    auto change = b.change;
    term_.ctx.store.commit(std::move(change),
        term_.guarded(
            [this, b = std::move(b)](const ports::commit_result& result) { take(b, result); }));
}

void progress_writer::take(const batch& b, const ports::commit_result& result)
{
    if (result.status == kv_status::conflict)
    {
        take_conflict(b, result);
        return;
    }
    const bool ok = result.status == kv_status::ok;
    if (ok)
    {
        for (const auto& id : b.jobs)
        {
            if (const auto it = term_.fleet.jobs.find(id); it != term_.fleet.jobs.end())
            {
                take_stored(*it->second, result.modified);
            }
        }
    }
    batch_over(ok, b.jobs);
}

void progress_writer::take_stored(coordinator::job_entry& j, ports::revision at)
{
    j.stored_revision = at;
    if (j.losses_stored != j.losses_written)
    {
        j.losses_stored = j.losses_written;
        term_.wake(); // tasks waited for it
    }
    if (workflow::is_final(j.state) && !j.dirty)
    {
        const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
        coordinator::note_finished(term_.fleet, j.spec.id, j.ended_unix_ms, at, unix_ms);
    }
    coordinator::shrink_job(term_.fleet, j);
}

void progress_writer::take_conflict(const batch& b, const ports::commit_result& result)
{
    if (term_.lost_key(result))
    {
        batch_over(false, b.jobs);
        return;
    }
    // Only this node writes these keys in this term: an earlier try of its own took effect.
    for (const auto& it : result.current)
    {
        if (it.key.starts_with(state_prefix))
        {
            const auto found = term_.fleet.jobs.find(it.key.substr(state_prefix.size()));
            if (found != term_.fleet.jobs.end())
            {
                found->second->stored_revision = it.modified;
            }
        }
    }
    batch_over(false, b.jobs);
}

void progress_writer::batch_over(bool stored, const std::vector<std::string>& jobs)
{
    if (!stored)
    {
        all_stored_ = false;
        for (const auto& id : jobs)
        {
            const auto it = term_.fleet.jobs.find(id);
            if (it != term_.fleet.jobs.end() && !it->second->dirty)
            {
                it->second->dirty = true;
                term_.fleet.dirty_jobs.push_back(id);
            }
        }
    }
    if (--batches_out_ == 0)
    {
        end();
    }
}

void progress_writer::end()
{
    if (all_stored_)
    {
        term_.note_stored();
        for (const auto& [id, n] : ends_)
        {
            if (const auto it = term_.fleet.hosts.find(id); it != term_.fleet.hosts.end())
            {
                it->second.last_stored_end = std::max(it->second.last_stored_end, n);
            }
        }
        request_if_due();
        return;
    }
    requested_ = true;
    term_.ctx.time.after(term_.settings.store_retry, term_.guarded([this] { begin(); }));
}

} // namespace camphorhitch::hosted
