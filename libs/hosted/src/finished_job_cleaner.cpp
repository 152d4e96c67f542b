#include "finished_job_cleaner.hpp"

#include "coordinator/retention.hpp"
#include "hosted/keys.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

/// Maximum jobs in one transaction. Each needs a condition and a removal, and a transaction takes
/// 32 rows.
constexpr std::size_t max_jobs = 12;
constexpr std::size_t max_cancels = 6;

/// \return the item of the key in the answer to a conflict, or nullptr.
const ports::stored_item* find_item(const ports::commit_result& result, const std::string& key)
{
    const auto it = std::find_if(result.current.begin(),
        result.current.end(),
        [&](const ports::stored_item& found) { return found.key == key; });
    return it == result.current.end() ? nullptr : &*it;
}

} // namespace

finished_job_cleaner::finished_job_cleaner(term& t) : term_(t)
{
}

void finished_job_cleaner::start()
{
    term_.ctx.time.after(
        term_.settings.cleanup_interval, term_.guarded([this] { remove_expired(); }));
}

void finished_job_cleaner::remove_expired()
{
    auto& f = term_.fleet;
    std::vector<std::string> cancels;
    while (!f.late_cancels.empty() && cancels.size() < max_cancels)
    {
        cancels.push_back(std::move(f.late_cancels.extract(f.late_cancels.begin()).value()));
    }
    const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    auto jobs =
        coordinator::take_expired_jobs(f, term_.settings.finished_job_retention, unix_ms, max_jobs);
    if (!term_.lead->holds_lease() || (jobs.empty() && cancels.empty()))
    {
        start();
        return;
    }
    send_removals(std::move(jobs), std::move(cancels));
}

void finished_job_cleaner::send_removals(
    std::vector<coordinator::finished_job> jobs, std::vector<std::string> cancels)
{
    ports::store_transaction change;
    change.conditions.push_back({leader_key, term_.token});
    for (const auto& it : jobs)
    {
        change.conditions.push_back({state_key(it.id), it.stored_revision});
        change.removals.push_back(state_key(it.id));
    }
    for (const auto& it : cancels)
    {
        change.removals.push_back(cancel_key(it));
    }
    term_.ctx.store.commit(std::move(change),
        term_.guarded(
            [this, jobs = std::move(jobs), cancels = std::move(cancels)](
                const ports::commit_result& result) { handle_result(jobs, cancels, result); }));
}

void finished_job_cleaner::handle_result(const std::vector<coordinator::finished_job>& jobs,
    const std::vector<std::string>& cancels,
    const ports::commit_result& result)
{
    const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    const auto keep_ms = term_.settings.finished_job_retention.count();
    for (const auto& it : jobs)
    {
        const auto* const item = find_item(result, state_key(it.id));
        const bool known = result.status == kv_status::ok || result.status == kv_status::conflict;
        if (known && item == nullptr)
        {
            // The state was removed now or by an earlier unanswered attempt.
            coordinator::purge_job(term_.fleet, it.id);
        }
        else if (item == nullptr || item->modified == it.stored_revision)
        {
            term_.fleet.finished_jobs.emplace(unix_ms - keep_ms, it); // the removal is still due
        }
    }
    if (result.status != kv_status::ok)
    {
        term_.fleet.late_cancels.insert(cancels.begin(), cancels.end());
        start();
        return;
    }
    term_.log(ports::log_level::debug,
        "tidied",
        {{"jobs", std::to_string(jobs.size())}, {"cancels", std::to_string(cancels.size())}});
    // After a full batch more removals may be due.
    if (jobs.size() == max_jobs)
    {
        remove_expired();
        return;
    }
    start();
}

} // namespace camphorhitch::hosted
