#include "coordinator/retention.hpp"

#include "bookkeeping.hpp"

namespace camphorhitch::coordinator
{

void note_finished(fleet& f,
    const std::string& id,
    std::int64_t ended_unix_ms,
    ports::revision stored,
    std::int64_t unix_ms)
{
    f.finished_jobs.emplace(ended_unix_ms > 0 ? ended_unix_ms : unix_ms, finished_job{id, stored});
}

std::vector<finished_job> take_expired(
    fleet& f, core::millis keep, std::int64_t unix_ms, std::size_t most)
{
    std::vector<finished_job> out;
    while (!f.finished_jobs.empty() && out.size() < most &&
           f.finished_jobs.begin()->first + keep.count() <= unix_ms)
    {
        out.push_back(std::move(f.finished_jobs.begin()->second));
        f.finished_jobs.erase(f.finished_jobs.begin());
    }
    return out;
}

void forget_job(fleet& f, const std::string& id)
{
    const auto* const j = find_job(f, id);
    if (j != nullptr && workflow::is_final(j->state) && j->live_runs == 0)
    {
        f.open_jobs.erase(id);
        f.jobs.erase(id);
    }
}

} // namespace camphorhitch::coordinator
