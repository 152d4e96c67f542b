#include "fleet/ownership.hpp"

#include <algorithm>

namespace camphorhitch::fleet
{

namespace
{

bool mentions(const model::pool_document& d, const std::string& host)
{
    const auto is_released = [&](const auto& it)
    {
        return it.host.id == host;
    };
    return model::find_host(d, host) != nullptr ||
           std::any_of(d.released.begin(), d.released.end(), is_released);
}

void keep_newest_owner(host_owner& best, const host_owner& candidate)
{
    const bool adopted = candidate.ownership == best.ownership && !candidate.in_transit;
    if (candidate.ownership > best.ownership || (candidate.ownership > 0 && adopted))
    {
        best = candidate;
    }
}

} // namespace

host_owner owner_of(const std::string& host, const std::vector<pool_view>& documents)
{
    host_owner best;
    for (const auto& view : documents)
    {
        if (const auto* it = model::find_host(view.document, host))
        {
            keep_newest_owner(best, {view.document.pool, it->ownership, false});
        }
        for (const auto& it : view.document.released)
        {
            if (it.host.id == host)
            {
                keep_newest_owner(best, {it.to, it.host.ownership, true});
            }
        }
    }
    return best;
}

bool is_named_in_other_pool(
    const std::string& host, const std::string& except, const std::vector<pool_view>& documents)
{
    return std::any_of(documents.begin(),
        documents.end(),
        [&](const pool_view& it)
        { return it.document.pool != except && mentions(it.document, host); });
}

bool is_current(const other_pool_views& others, std::int64_t own_revision)
{
    return others.as_of >= own_revision;
}

bool is_confirmed_exclusive(const std::string& host,
    const std::string& pool,
    std::int64_t own_revision,
    const other_pool_views& others)
{
    return is_current(others, own_revision) &&
           !is_named_in_other_pool(host, pool, others.documents);
}

} // namespace camphorhitch::fleet
