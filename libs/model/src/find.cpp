#include "model/config.hpp"
#include "model/fleet.hpp"

#include <algorithm>

namespace camphorhitch::model
{

namespace
{

template <class Items, class Match>
auto find_in(Items& items, Match match) -> decltype(items.data())
{
    const auto it = std::find_if(items.begin(), items.end(), match);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

const pool_config* find_pool(const configuration& c, const std::string& name)
{
    return find_in(c.pools, [&](const auto& it) { return it.name == name; });
}

const pool_config* find_pool_of_service(const configuration& c, const std::string& service)
{
    return find_in(c.pools,
        [&](const auto& it) {
            return std::find(it.services.begin(), it.services.end(), service) != it.services.end();
        });
}

const policy_config* find_policy(const configuration& c, const std::string& name)
{
    return find_in(c.policies, [&](const auto& it) { return it.name == name; });
}

host_record* find_host(pool_document& d, const std::string& id)
{
    return find_in(d.hosts, [&](const auto& it) { return it.id == id; });
}

const host_record* find_host(const pool_document& d, const std::string& id)
{
    return find_in(d.hosts, [&](const auto& it) { return it.id == id; });
}

} // namespace camphorhitch::model
