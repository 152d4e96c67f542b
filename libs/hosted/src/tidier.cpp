#include "tidier.hpp"

#include "coordinator/retention.hpp"
#include "hosted/keys.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

/// Jobs in one transaction: a condition and a removal each, of the 32 rows that it takes.
constexpr std::size_t most_jobs = 12;
constexpr std::size_t most_cancels = 6;

/// \return the key's item as a conflict showed it, or nullptr.
const ports::stored_item* find_item(const ports::commit_result& result, const std::string& key)
{
    const auto it = std::find_if(result.current.begin(),
        result.current.end(),
        [&](const ports::stored_item& found) { return found.key == key; });
    return it == result.current.end() ? nullptr : &*it;
}

} // namespace

tidier::tidier(term& t) : term_(t)
{
}

void tidier::start()
{
    term_.ctx.time.after(term_.settings.tidy_every, term_.guarded([this] { look(); }));
}

void tidier::look()
{
    auto& f = term_.fleet;
    std::vector<std::string> cancels;
    while (!f.late_cancels.empty() && cancels.size() < most_cancels)
    {
        cancels.push_back(std::move(f.late_cancels.extract(f.late_cancels.begin()).value()));
    }
    const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    auto jobs = coordinator::take_expired(f, term_.settings.keep_finished, unix_ms, most_jobs);
    if (!term_.lead->holds() || (jobs.empty() && cancels.empty()))
    {
        start();
        return;
    }
    send(std::move(jobs), std::move(cancels));
}

void tidier::send(std::vector<coordinator::finished_job> jobs, std::vector<std::string> cancels)
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
        term_.guarded([this, jobs = std::move(jobs), cancels = std::move(cancels)](
                          const ports::commit_result& result) { take(jobs, cancels, result); }));
}

void tidier::take(const std::vector<coordinator::finished_job>& jobs,
    const std::vector<std::string>& cancels,
    const ports::commit_result& result)
{
    const auto unix_ms = core::to_unix_ms(term_.ctx.time.wall_now());
    const auto keep_ms = term_.settings.keep_finished.count();
    for (const auto& it : jobs)
    {
        const auto* const item = find_item(result, state_key(it.id));
        const bool known = result.status == kv_status::ok || result.status == kv_status::conflict;
        if (known && item == nullptr)
        {
            coordinator::forget_job(term_.fleet, it.id); // now, or by an unanswered try
        }
        else if (item == nullptr || item->modified == it.stored_revision)
        {
            term_.fleet.finished_jobs.emplace(unix_ms - keep_ms, it); // due still
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
    // A full batch tells that more may wait.
    if (jobs.size() == most_jobs)
    {
        look();
        return;
    }
    start();
}

} // namespace camphorhitch::hosted
