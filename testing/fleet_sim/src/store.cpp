#include "fleet_sim/store.hpp"

#include "fleet/budget.hpp"

#include <algorithm>

namespace camphorhitch::fleet_sim
{

namespace
{

template <class View, class Same>
answer put(store& s, std::vector<View>& table, const View& next, std::int64_t expected, Same same)
{
    const auto it = std::find_if(table.begin(), table.end(), same);
    const std::int64_t now = it == table.end() ? 0 : it->revision;
    if (s.down)
    {
        return answer::unavailable;
    }
    if (now != expected)
    {
        ++s.conflicts;
        return answer::conflict;
    }
    ++s.writes;
    ++s.revision;
    auto& entry = it == table.end() ? table.emplace_back() : *it;
    entry = next;
    entry.revision = s.revision;
    if (s.answers_to_lose > 0)
    {
        --s.answers_to_lose;
        return answer::unknown;
    }
    return answer::ok;
}

} // namespace

answer put_pool(store& s, const model::pool_document& d, std::int64_t expected)
{
    const auto* known = find_pool(s, d.pool);
    const model::pool_document before =
        known ? known->document : model::pool_document{d.pool, {}, {}, {}};
    const auto same = [&](const fleet::pool_view& it)
    {
        return it.document.pool == d.pool;
    };
    const auto out = put(s, s.pools, fleet::pool_view{d, 0}, expected, same);
    const bool written = out == answer::ok || out == answer::unknown;
    if (written)
    {
        const auto added = d.released.size() - std::min(before.released.size(), d.released.size());
        s.host_moves += static_cast<std::int64_t>(added);
    }
    if (written && s.on_pool_write)
    {
        s.on_pool_write(before, d);
    }
    return out;
}

answer put_wave(store& s, const model::wave_document& d, std::int64_t expected)
{
    const auto same = [&](const fleet::wave_view& it)
    {
        return it.document.id == d.id;
    };
    return put(s, s.waves, fleet::wave_view{d, 0}, expected, same);
}

const fleet::pool_view* find_pool(const store& s, const std::string& pool)
{
    const auto it = std::find_if(s.pools.begin(),
        s.pools.end(),
        [&](const fleet::pool_view& v) { return v.document.pool == pool; });
    return it == s.pools.end() ? nullptr : &*it;
}

const model::host_record* find_host(const store& s, const std::string& host)
{
    for (const auto& view : s.pools)
    {
        const auto* h = model::find_host(view.document, host);
        if (h != nullptr && fleet::is_member(*h))
        {
            return h;
        }
    }
    return nullptr;
}

} // namespace camphorhitch::fleet_sim
