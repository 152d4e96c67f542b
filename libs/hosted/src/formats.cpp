#include "hosted/formats.hpp"

#include <algorithm>
#include <cctype>

namespace camphorhitch::hosted
{

namespace
{

bool same_host(const std::string& a, const std::string& b)
{
    return std::equal(a.begin(),
        a.end(),
        b.begin(),
        b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

const queue* find_queue(
    const fleet_config& config, const std::string& host, const std::string& path)
{
    const auto name = host.substr(0, host.find(':'));
    const queue* best = nullptr;
    for (const auto& it : config.queues)
    {
        const bool fits = same_host(it.host, name) && path.starts_with(it.prefix);
        if (fits && (best == nullptr || it.prefix.size() > best->prefix.size()))
        {
            best = &it;
        }
    }
    return best;
}

const queue* find_queue_named(const fleet_config& config, const std::string& name)
{
    const auto it = std::find_if(
        config.queues.begin(), config.queues.end(), [&](const queue& q) { return q.name == name; });
    return it == config.queues.end() ? nullptr : &*it;
}

call_judgement judge_call(const fleet_config& config, const queue& q, const std::string* key)
{
    if (!config.requires_keys)
    {
        return {};
    }
    const bool has_key = key != nullptr && !key->empty();
    const auto it = has_key ? config.workspace_of_key.find(*key) : config.workspace_of_key.end();
    if (it != config.workspace_of_key.end())
    {
        return {call_permission::allowed, config.workspaces[it->second].name};
    }
    if (q.open_to_all)
    {
        return {call_permission::allowed, std::string{}};
    }
    return {has_key ? call_permission::key_unknown : call_permission::key_missing, {}};
}

void apply_queue_settings(workflow::job& j, const queue& q, std::int64_t accepted_unix_ms)
{
    j.queue = q.name;
    j.pool = q.pool;
    j.priority = q.priority;
    j.max_attempts = std::max(q.max_attempts, 1);
    j.stretch = q.stretch;
    j.slack = q.slack;
    j.needs_advice = q.needs_advice;
    j.accepted_unix_ms = accepted_unix_ms;
}

} // namespace camphorhitch::hosted
