#include "coordinator/host_shapes.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// Assumed capacity of a host while the capacity of no host is known. Its memory and accelerators
/// exceed all needs.
constexpr workflow::resources assumed_host{32'000, 1'000'000'000'000, 1'000'000'000'000};
bool is_smaller(const workflow::resources& a, const workflow::resources& b)
{
    return std::tie(a.cpu, a.memory_mb, a.gpus) < std::tie(b.cpu, b.memory_mb, b.gpus);
}

/// \return the median of one resource.
template <class Get>
std::int64_t median_of(std::vector<host_shape> shapes, int hosts, Get get)
{
    std::sort(shapes.begin(),
        shapes.end(),
        [&](const auto& a, const auto& b) { return get(a.capacity) < get(b.capacity); });
    int before = 0;
    for (const auto& it : shapes)
    {
        before += it.hosts;
        if (2 * before >= hosts)
        {
            return get(it.capacity);
        }
    }
    return 0;
}

/// \return the median of each resource; zero without hosts.
workflow::resources median_host(const std::vector<host_shape>& shapes)
{
    int hosts = 0;
    for (const auto& it : shapes)
    {
        hosts += it.hosts;
    }
    return {median_of(shapes, hosts, [](const auto& it) { return it.cpu; }),
        median_of(shapes, hosts, [](const auto& it) { return it.memory_mb; }),
        median_of(shapes, hosts, [](const auto& it) { return it.gpus; })};
}

bool is_known(const workflow::resources& capacity)
{
    return capacity.cpu > 0;
}

/// Hosts that leave the pool are no measure of its capacity.
bool stays_in_pool(const host_entry& h)
{
    return !h.draining && h.availability != host_availability::closed_for_move;
}

void add_shape(std::vector<host_shape>& to, const workflow::resources& capacity, int hosts)
{
    const auto it = std::lower_bound(to.begin(),
        to.end(),
        capacity,
        [](const host_shape& a, const workflow::resources& b)
        { return is_smaller(a.capacity, b); });
    if (it != to.end() && it->capacity == capacity)
    {
        it->hosts += hosts;
        return;
    }
    to.insert(it, {capacity, hosts});
}

} // namespace

fleet_shapes collect_shapes(const fleet& f)
{
    fleet_shapes out;
    for (const auto& [id, h] : f.hosts)
    {
        if (is_known(h.capacity) && stays_in_pool(h))
        {
            add_shape(out.pools[h.pool], h.capacity, 1);
        }
    }
    std::vector<host_shape> all;
    for (const auto& [pool, shapes] : out.pools)
    {
        for (const auto& it : shapes)
        {
            add_shape(all, it.capacity, it.hosts);
        }
    }
    out.median = median_host(all);
    return out;
}

host_shapes shapes_of_pool(const fleet_shapes& all, const std::string& pool)
{
    host_shapes out;
    const auto found = all.pools.find(pool);
    if (found != all.pools.end())
    {
        out.hosts = found->second;
        out.further.push_back(median_host(out.hosts));
    }
    if (is_known(all.median) && (out.further.empty() || out.further.front() != all.median))
    {
        out.further.push_back(all.median);
    }
    if (out.further.empty())
    {
        out.further.push_back(assumed_host);
    }
    return out;
}

} // namespace camphorhitch::coordinator
