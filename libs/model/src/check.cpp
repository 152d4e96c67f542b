#include "model/codec.hpp"

#include <map>
#include <string_view>

namespace camphorhitch::model
{

namespace
{

/// Collects the findings of a configuration.
struct checker
{
    const configuration& config;
    const std::string& document;
    core::findings found;
    std::map<std::string_view, std::size_t> pool_of_service; ///< index of the pool by service

    void add(std::string pointer, std::string text, std::string suggestion = {})
    {
        found.push_back(
            {{document, std::move(pointer), 0, 0}, std::move(text), std::move(suggestion)});
    }
};

std::string pool_pointer(std::size_t index)
{
    return "/pools/" + std::to_string(index);
}

void check_policy(checker& c, std::size_t index, const char* key, const std::string& policy)
{
    if (find_policy(c.config, policy) != nullptr)
    {
        return;
    }
    std::vector<std::string> names;
    for (const auto& it : c.config.policies)
    {
        names.push_back(it.name);
    }
    c.add(pool_pointer(index) + key,
        "no policy is named '" + policy + "'",
        core::nearest_name(policy, names));
}

/// A pool in an experiment must also have a valid policy to restore. Otherwise the pool would keep
/// the policy of its arm after the experiment, which no operator chose.
void check_policies(checker& c, std::size_t index)
{
    const pool_config& pool = c.config.pools[index];
    check_policy(c, index, "/policy", pool.policy);
    if (!pool.experiment.empty())
    {
        check_policy(c, index, "/policy_before", pool.policy_before);
    }
}

/// Rejects budgets of 0. With such a budget no host could be drained for maintenance, and waves
/// would wait forever.
void check_budget(checker& c, std::size_t index)
{
    const pool_config& pool = c.config.pools[index];
    const std::string pointer = pool_pointer(index) + "/budget";
    if (pool.budget.absent < 1)
    {
        c.add(pointer + "/absent", "must be at least 1, or no host can ever be maintained");
    }
    if (pool.budget.absent_per_zone < 1)
    {
        c.add(
            pointer + "/absent_per_zone", "must be at least 1, or no host can ever be maintained");
    }
    if (pool.budget.absent_per_zone > pool.budget.absent)
    {
        c.add(pointer + "/absent_per_zone",
            "is " + std::to_string(pool.budget.absent_per_zone) + ", above 'absent' of " +
                std::to_string(pool.budget.absent));
    }
}

void check_services(checker& c, std::size_t index)
{
    const pool_config& pool = c.config.pools[index];
    for (std::size_t i = 0; i < pool.services.size(); ++i)
    {
        const auto [first, is_new] = c.pool_of_service.emplace(pool.services[i], index);
        if (!is_new && first->second != index)
        {
            c.add(pool_pointer(index) + "/services/" + std::to_string(i),
                "service '" + pool.services[i] + "' belongs to pool '" +
                    c.config.pools[first->second].name + "' already");
        }
    }
    if (pool.spare && !pool.services.empty())
    {
        c.add(pool_pointer(index) + "/services", "a pool of spare hosts serves no service");
    }
}

void check_class(checker& c, const std::string& pointer, const class_limits& limits)
{
    if (limits.deadline > limits.longest)
    {
        c.add(pointer + "/deadline_ms",
            "is " + std::to_string(limits.deadline.count()) + " ms, above 'longest_ms' of " +
                std::to_string(limits.longest.count()) + " ms");
    }
}

void check_classes(checker& c, std::size_t index)
{
    const pool_config& pool = c.config.pools[index];
    const std::string pointer = pool_pointer(index);
    check_class(c, pointer + "/quick", pool.quick);
    check_class(c, pointer + "/normal", pool.normal);
    check_class(c, pointer + "/long_running", pool.long_running);
    if (pool.quick.reserved_slots > pool.normal.reserved_slots ||
        pool.normal.reserved_slots > pool.long_running.reserved_slots)
    {
        c.add(pointer, "a quicker class must leave no more reserved_slots than a slower one");
    }
}

} // namespace

core::findings check(const configuration& config, const std::string& name)
{
    checker c{config, name, {}, {}};
    for (std::size_t i = 0; i < config.pools.size(); ++i)
    {
        check_policies(c, i);
        check_budget(c, i);
        check_services(c, i);
        check_classes(c, i);
    }
    return std::move(c.found);
}

} // namespace camphorhitch::model
