#include "experiment/lifecycle.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <set>

namespace camphorhitch::experiment
{

namespace
{

/// Smallest number of blocks for which an interval can be computed.
constexpr std::size_t min_blocks = 3;

struct checker
{
    const start_request& request;
    const model::configuration& config;
    core::findings found;

    void add(std::string pointer, std::string text, std::string suggestion = {})
    {
        found.push_back(
            {{"experiment", std::move(pointer), 0, 0}, std::move(text), std::move(suggestion)});
    }
};

template <class Items>
std::vector<std::string> names_of(const Items& items)
{
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const auto& it : items)
    {
        names.push_back(it.name);
    }
    return names;
}

void check_arm(
    checker& c, std::size_t n, std::set<std::string>& names, std::set<std::string>& policies)
{
    const arm& a = c.request.arms[n];
    const std::string pointer = "/arms/" + std::to_string(n);
    if (a.name.empty() || !names.insert(a.name).second)
    {
        c.add(pointer + "/name", "must be given, and different from the other arms' names");
    }
    if (!policies.insert(a.policy).second)
    {
        c.add(pointer + "/policy", "is the policy of another arm already");
    }
    if (model::find_policy(c.config, a.policy) == nullptr)
    {
        c.add(pointer + "/policy",
            "no policy is named '" + a.policy + "'",
            core::nearest_name(a.policy, names_of(c.config.policies)));
    }
}

void check_arms(checker& c)
{
    std::set<std::string> names;
    std::set<std::string> policies;
    for (std::size_t i = 0; i < c.request.arms.size(); ++i)
    {
        check_arm(c, i, names, policies);
    }
    if (c.request.arms.size() < 2)
    {
        c.add("/arms", "needs at least two arms");
    }
}

void check_pool(checker& c, std::size_t n, std::set<std::string>& seen)
{
    const std::string& name = c.request.pools[n];
    const std::string pointer = "/pools/" + std::to_string(n);
    const model::pool_config* pool = model::find_pool(c.config, name);
    if (!seen.insert(name).second)
    {
        c.add(pointer, "pool '" + name + "' is named twice");
    }
    if (pool == nullptr)
    {
        c.add(pointer,
            "no pool is named '" + name + "'",
            core::nearest_name(name, names_of(c.config.pools)));
        return;
    }
    if (pool->spare)
    {
        c.add(pointer, "pool '" + name + "' holds spare hosts for the others");
    }
    if (!pool->experiment.empty())
    {
        c.add(pointer, "pool '" + name + "' is in experiment '" + pool->experiment + "' already");
    }
}

core::findings check(const start_request& request, const model::configuration& config)
{
    checker c{request, config, {}};
    if (request.id.empty())
    {
        c.add("/id", "is missing");
    }
    if (request.duration.count() <= 0)
    {
        c.add("/duration_ms", "must be above 0");
    }
    check_arms(c);
    std::set<std::string> seen;
    for (std::size_t i = 0; i < request.pools.size(); ++i)
    {
        check_pool(c, i, seen);
    }
    const std::size_t min_pools = min_blocks * request.arms.size();
    if (request.pools.size() < min_pools)
    {
        c.add("/pools", "needs at least " + std::to_string(min_pools) + " pools for these arms");
    }
    return std::move(c.found);
}

double pool_size(const model::pool_config& pool, const std::map<std::string, int>& hosts)
{
    if (pool.size_class > 0)
    {
        return pool.size_class;
    }
    const auto it = hosts.find(pool.name);
    return it == hosts.end() ? 0 : it->second;
}

} // namespace

std::vector<experiment_pool> assign_pools(
    std::vector<experiment_pool> pools, const std::vector<arm>& arms, std::uint64_t seed)
{
    std::sort(pools.begin(),
        pools.end(),
        [](const experiment_pool& a, const experiment_pool& b)
        { return a.size != b.size ? a.size < b.size : a.pool < b.pool; });
    const std::size_t blocks = pools.size() / arms.size();
    pools.resize(blocks * arms.size());
    boost::random::mt19937_64 random{seed};
    std::vector<std::size_t> order(arms.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    for (std::size_t b = 0; b < blocks; ++b)
    {
        for (std::size_t i = order.size() - 1; i > 0; --i)
        {
            boost::random::uniform_int_distribution<std::size_t> pick{0, i};
            std::swap(order[i], order[pick(random)]);
        }
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            experiment_pool& p = pools[b * order.size() + i];
            p.block = static_cast<int>(b);
            p.arm = arms[order[i]].name;
        }
    }
    return pools;
}

std::variant<experiment_document, core::findings> start(const start_request& request,
    const model::configuration& c,
    const std::map<std::string, int>& hosts,
    core::wall_time now)
{
    core::findings wrong = check(request, c);
    if (!wrong.empty())
    {
        return wrong;
    }
    std::vector<experiment_pool> pools;
    for (const auto& it : request.pools)
    {
        const model::pool_config& pool = *model::find_pool(c, it);
        experiment_pool p;
        p.pool = it;
        p.size = pool_size(pool, hosts);
        p.policy_before = pool.policy;
        pools.push_back(std::move(p));
    }
    experiment_document d;
    d.id = request.id;
    d.arms = request.arms;
    d.seed = request.seed;
    d.duration_ms = request.duration.count();
    d.guards = request.guards;
    d.base_version = c.version;
    d.pools = assign_pools(std::move(pools), request.arms, request.seed);
    d.started_ms = core::to_unix_ms(now);
    d.commands.push_back(request.command);
    d.decision = {"started_by_command",
        request.command + "; " + std::to_string(d.pools.size()) + " pools in " +
            std::to_string(d.pools.size() / d.arms.size()) + " blocks, seed " +
            std::to_string(d.seed),
        d.started_ms};
    return d;
}

} // namespace camphorhitch::experiment
