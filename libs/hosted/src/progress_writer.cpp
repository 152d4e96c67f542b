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

/// Maximum rows of a transaction: conditions, puts and removals together.
constexpr std::size_t max_rows = 32;
/// A condition, a put, and two removals for a final job.
constexpr std::size_t max_rows_per_job = 4;

} // namespace

progress_writer::progress_writer(term& t) : term_(t)
{
}

void progress_writer::request()
{
    if (!requested_ && batches_in_flight_ == 0)
    {
        requested_ = true;
        term_.ctx.time.after(
            term_.settings.store_write_delay, term_.guarded([this] { start_writes(); }));
    }
}

void progress_writer::request_if_due()
{
    // Run ends that changed no job are included: until they are recorded as stored, their hosts
    // cannot be taken down.
    const bool ends = std::any_of(term_.fleet.hosts.begin(),
        term_.fleet.hosts.end(),
        [](const auto& it) { return it.second.last_applied_end > it.second.last_stored_end; });
    if (ends || !term_.fleet.dirty_jobs.empty())
    {
        request();
    }
}

void progress_writer::start_writes()
{
    requested_ = false;
    if (!term_.lead->holds_lease())
    {
        return; // ends that are not stored are not acknowledged, so the successor reads them again
    }
    auto dirty = std::exchange(term_.fleet.dirty_jobs, {});
    covered_ends_.clear();
    term_.load.ends.begin_store_write();
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (h.last_applied_end > h.last_stored_end)
        {
            covered_ends_[id] = h.last_applied_end;
        }
    }
    all_stored_ = true;
    if (dirty.empty())
    {
        finish_writes();
        return;
    }
    std::vector<batch> batches;
    for (const auto& id : dirty)
    {
        if (batches.empty() || batches.back().rows() + max_rows_per_job > max_rows)
        {
            batches.emplace_back().change.conditions.push_back({leader_key, term_.token});
        }
        add_job(id, batches.back());
    }
    batches_in_flight_ = batches.size();
    for (auto& it : batches)
    {
        send_batch(std::move(it));
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
    // The revision of each job's state is a condition too: a write whose answer was lost may take
    // effect seconds later, while this node is still the coordinator, and would overwrite newer
    // progress with older.
    to.change.conditions.push_back({state_key(id), j.stored_revision});
    to.change.puts.push_back(
        {state_key(id), workflow::write_progress(j.spec, coordinator::progress_of(j)), 0});
    if (workflow::is_final(j.state))
    {
        to.change.removals.push_back(job_key(id));
        to.change.removals.push_back(cancel_key(id));
    }
}

void progress_writer::send_batch(batch b)
{
    if (b.jobs.empty())
    {
        finish_batch(true, {});
        return;
    }
    ++term_.load.counts.store_batches;
    auto change = b.change;
    term_.ctx.store.commit(std::move(change),
        term_.guarded([this, b = std::move(b)](const ports::commit_result& result)
            { handle_result(b, result); }));
}

void progress_writer::handle_result(const batch& b, const ports::commit_result& result)
{
    if (result.status == kv_status::conflict)
    {
        handle_conflict(b, result);
        return;
    }
    const bool ok = result.status == kv_status::ok;
    if (ok)
    {
        for (const auto& id : b.jobs)
        {
            if (const auto it = term_.fleet.jobs.find(id); it != term_.fleet.jobs.end())
            {
                apply_stored(*it->second, result.modified);
            }
        }
    }
    finish_batch(ok, b.jobs);
}

void progress_writer::apply_stored(coordinator::job_entry& j, ports::revision at)
{
    j.stored_revision = at;
    if (j.losses_stored != j.losses_written)
    {
        j.losses_stored = j.losses_written;
        term_.request_plan(); // tasks wait until their losses are stored
    }
    if (workflow::is_final(j.state) && !j.dirty)
    {
        const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
        coordinator::record_finished_job(term_.fleet, j.spec.id, j.ended_unix_ms, at, unix_ms);
    }
    coordinator::release_job_tasks(term_.fleet, j);
}

void progress_writer::handle_conflict(const batch& b, const ports::commit_result& result)
{
    if (term_.lost_leadership(result))
    {
        finish_batch(false, b.jobs);
        return;
    }
    // Only this node writes these keys in this term, so an earlier attempt of its own took effect.
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
    finish_batch(false, b.jobs);
}

void progress_writer::finish_batch(bool stored, const std::vector<std::string>& jobs)
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
    if (--batches_in_flight_ == 0)
    {
        finish_writes();
    }
}

void progress_writer::finish_writes()
{
    if (all_stored_)
    {
        term_.record_ends_stored();
        for (const auto& [id, n] : covered_ends_)
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
    term_.ctx.time.after(
        term_.settings.store_retry_delay, term_.guarded([this] { start_writes(); }));
}

} // namespace camphorhitch::hosted
