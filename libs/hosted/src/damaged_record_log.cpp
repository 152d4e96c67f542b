#include "damaged_record_log.hpp"

namespace camphorhitch::hosted
{

namespace
{

/// Maximum number of keys kept, far more than a fleet has runners. When it is reached, all keys are
/// removed, and each record that is still damaged is logged once more.
constexpr std::size_t max_entries = 4096;

} // namespace

bool should_log(damaged_record_log& log, const ports::stored_item& it)
{
    if (log.logged_revisions.size() >= max_entries)
    {
        log.logged_revisions.clear();
    }
    auto [entry, added] = log.logged_revisions.try_emplace(it.key, it.modified);
    const bool newer = entry->second < it.modified;
    entry->second = it.modified;
    return added || newer;
}

} // namespace camphorhitch::hosted
