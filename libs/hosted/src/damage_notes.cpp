#include "damage_notes.hpp"

namespace camphorhitch::hosted
{

namespace
{

/// Keys that are remembered; far more than a fleet has runners. Beyond it all are forgotten, and
/// what is damaged still is told once more.
constexpr std::size_t most_notes = 4096;

} // namespace

bool is_news(damage_notes& notes, const ports::stored_item& it)
{
    if (notes.told.size() >= most_notes)
    {
        notes.told.clear();
    }
    auto [place, added] = notes.told.try_emplace(it.key, it.modified);
    const bool newer = place->second < it.modified;
    place->second = it.modified;
    return added || newer;
}

} // namespace camphorhitch::hosted
