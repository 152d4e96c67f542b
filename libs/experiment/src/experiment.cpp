#include "experiment/experiment.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace camphorhitch::experiment
{

namespace
{

template <class Document>
auto find_in(Document& d, const std::string& pool) -> decltype(d.pools.data())
{
    const auto it = std::find_if(
        d.pools.begin(), d.pools.end(), [&](const experiment_pool& p) { return p.pool == pool; });
    return it == d.pools.end() ? nullptr : &*it;
}

} // namespace

experiment_pool* find_pool(experiment_document& d, const std::string& pool)
{
    return find_in(d, pool);
}

const experiment_pool* find_pool(const experiment_document& d, const std::string& pool)
{
    return find_in(d, pool);
}

const std::string& policy_of(const experiment_document& d, const std::string& arm_name)
{
    const auto it = std::find_if(
        d.arms.begin(), d.arms.end(), [&](const arm& a) { return a.name == arm_name; });
    core::require(it != d.arms.end(), "a pool is in an arm that its experiment lacks", arm_name);
    return it->policy;
}

} // namespace camphorhitch::experiment
