#include "pending_tally.hpp"

#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

void pending_tally::set_base(pending_record r)
{
    if (r.through_revision < base_.through_revision)
    {
        added_jobs_.clear(); // the jobs accepted between the two records are not known any more
        through_revision_ = 0;
    }
    base_ = std::move(r);
    std::erase_if(added_jobs_,
        [this](const auto& it) { return it.second.revision <= base_.through_revision; });
    through_revision_ = std::max(through_revision_, base_.through_revision);
}

void pending_tally::add_changes(
    const std::vector<ports::stored_change>& changes, ports::revision to)
{
    for (const auto& it : changes)
    {
        // The change may have been applied from the answer to another call, or the base record
        // includes it.
        if (it.item.modified <= through_revision_ || it.item.key == handover_key)
        {
            continue;
        }
        auto id = it.item.key.substr(job_prefix.size());
        const bool cancels = id.ends_with(cancel_suffix);
        if (cancels)
        {
            id.resize(id.size() - cancel_suffix.size());
        }
        if (cancels || it.removed)
        {
            added_jobs_.erase(id);
            continue;
        }
        // A job record that cannot be read does not count, because the coordinator skips it too.
        const auto spec = workflow::read_job(it.item.value);
        if (core::is_ok(spec) && !workflow::is_scheduled(core::value(spec)))
        {
            added_jobs_[id] = {core::value(spec).queue, it.item.modified};
        }
    }
    through_revision_ = std::max(through_revision_, to);
}

ports::revision pending_tally::through_revision() const
{
    return through_revision_;
}

ports::revision pending_tally::base_through_revision() const
{
    return base_.through_revision;
}

int pending_tally::recorded_count(const std::string& queue) const
{
    const auto found = base_.waiting.find(queue);
    return found == base_.waiting.end() ? 0 : found->second;
}

int pending_tally::added_count(const std::string& queue) const
{
    return static_cast<int>(std::count_if(added_jobs_.begin(),
        added_jobs_.end(),
        [&](const auto& it) { return it.second.queue == queue; }));
}

std::size_t pending_tally::size() const
{
    return added_jobs_.size();
}

} // namespace camphorhitch::hosted
