#include "pending_tally.hpp"

#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

void pending_tally::set_base(pending_record r)
{
    if (r.through < base_.through)
    {
        added_.clear(); // which jobs came between the two is forgotten
        through_ = 0;
    }
    base_ = std::move(r);
    std::erase_if(added_, [this](const auto& it) { return it.second.revision <= base_.through; });
    through_ = std::max(through_, base_.through);
}

void pending_tally::add_changes(
    const std::vector<ports::stored_change>& changes, ports::revision to)
{
    for (const auto& it : changes)
    {
        // An answer to another call may have brought it before, or the base holds it.
        if (it.item.modified <= through_ || it.item.key == handover_key)
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
            added_.erase(id);
            continue;
        }
        // One that can't be read is left alone by the coordinating node too.
        const auto spec = workflow::read_job(it.item.value);
        if (core::is_ok(spec) && !workflow::is_scheduled(core::value(spec)))
        {
            added_[id] = {core::value(spec).queue, it.item.modified};
        }
    }
    through_ = std::max(through_, to);
}

ports::revision pending_tally::through() const
{
    return through_;
}

ports::revision pending_tally::base_through() const
{
    return base_.through;
}

int pending_tally::in_record(const std::string& queue) const
{
    const auto found = base_.waiting.find(queue);
    return found == base_.waiting.end() ? 0 : found->second;
}

int pending_tally::added(const std::string& queue) const
{
    return static_cast<int>(std::count_if(
        added_.begin(), added_.end(), [&](const auto& it) { return it.second.queue == queue; }));
}

std::size_t pending_tally::size() const
{
    return added_.size();
}

} // namespace camphorhitch::hosted
