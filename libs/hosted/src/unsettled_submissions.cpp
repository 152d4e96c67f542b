#include "unsettled_submissions.hpp"

namespace camphorhitch::hosted
{

namespace
{

/// Time after which a write without an answer has certainly taken effect or never will. The store
/// delays writes by seconds.
constexpr core::millis max_write_delay{30000};
constexpr core::millis removal_interval{1000};

} // namespace

void unsettled_submissions::begin(const std::string& id)
{
    ++entries_[id].in_flight;
}

void unsettled_submissions::end(const std::string& id, bool certain, core::mono_time now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
    {
        return;
    }
    --it->second.in_flight;
    if (!certain)
    {
        it->second.uncertain_until = now + max_write_delay;
    }
    else if (it->second.in_flight == 0 && it->second.uncertain_until <= now)
    {
        entries_.erase(it);
    }
    remove_settled(now);
}

bool unsettled_submissions::contains(const std::string& id, core::mono_time now) const
{
    const auto it = entries_.find(id);
    return it != entries_.end() && (it->second.in_flight > 0 || it->second.uncertain_until > now);
}

void unsettled_submissions::remove_settled(core::mono_time now)
{
    if (now - removed_at_ < removal_interval)
    {
        return;
    }
    removed_at_ = now;
    std::erase_if(entries_,
        [now](const auto& it)
        { return it.second.in_flight == 0 && it.second.uncertain_until <= now; });
}

} // namespace camphorhitch::hosted
