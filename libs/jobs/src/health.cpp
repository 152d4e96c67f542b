#include "jobs/health.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// Jobs of one group that fail on a host say little about the host: the group may be at fault.
/// Two groups failing in a row don't share a fault but the host.
constexpr std::size_t groups_to_blame_host = 2;

std::size_t hosts_aside(const pool_health& all)
{
    return static_cast<std::size_t>(std::count_if(
        all.hosts.begin(), all.hosts.end(), [](const auto& it) { return it.second.set_aside; }));
}

bool may_set_aside(const pool_health& all, const settings& rules, std::size_t hosts_in_pool)
{
    const double most = rules.most_hosts_aside * static_cast<double>(hosts_in_pool);
    return static_cast<double>(hosts_aside(all) + 1) <= std::max(most, 1.0);
}

/// The host fails what runs well elsewhere, or fails different kinds of job.
bool host_at_fault(const pool_health& all, const host_health& h, const settings& rules)
{
    if (h.failed_jobs.size() < static_cast<std::size_t>(rules.jobs_to_blame_host))
    {
        return false;
    }
    const auto fails_here_only = [&](const std::string& group)
    {
        const auto it = all.groups.find(group);
        return it == all.groups.end() || it->second.failed_hosts.size() <= 1;
    };
    return h.failed_groups.size() >= groups_to_blame_host ||
           std::all_of(h.failed_groups.begin(), h.failed_groups.end(), fails_here_only);
}

void set_host_aside(host_health& h, const settings& rules, core::mono_time now)
{
    const core::millis doubled = h.probe_wait * 2;
    h.probe_wait = h.set_aside ? std::min(doubled, rules.longest_probe_wait) : rules.probe_wait;
    h.set_aside = true;
    h.probing = false;
    h.probe_at = now + h.probe_wait;
}

} // namespace

void note_success(pool_health& all, const job& j)
{
    host_health& h = all.hosts[j.host];
    h = host_health{};
    h.proven = true;
    all.groups[group_of(j)].failed_hosts.clear();
}

bool note_failure(pool_health& all,
    const job& j,
    const settings& rules,
    std::size_t hosts_in_pool,
    core::mono_time now)
{
    host_health& h = all.hosts[j.host];
    h.proven = false;
    h.failed_jobs.insert(j.id);
    h.failed_groups.insert(group_of(j));
    all.groups[group_of(j)].failed_hosts.insert(j.host);
    if (h.set_aside)
    {
        set_host_aside(h, rules, now);
        return false;
    }
    if (!host_at_fault(all, h, rules) || !may_set_aside(all, rules, hosts_in_pool))
    {
        return false;
    }
    set_host_aside(h, rules, now);
    for (auto& it : all.groups)
    {
        it.second.failed_hosts.erase(j.host);
    }
    return true;
}

int starts_allowed(const pool_health& all,
    const std::string& host,
    int unsettled,
    const settings& rules,
    core::mono_time now)
{
    const auto it = all.hosts.find(host);
    if (it == all.hosts.end())
    {
        return rules.unproven_starts - unsettled;
    }
    const host_health& h = it->second;
    if (h.set_aside)
    {
        return !h.probing && unsettled == 0 && now >= h.probe_at ? 1 : 0;
    }
    if (!h.failed_jobs.empty())
    {
        return rules.suspect_starts - unsettled;
    }
    return (h.proven ? rules.starts_at_once : rules.unproven_starts) - unsettled;
}

bool is_set_aside(const pool_health& all, const std::string& host)
{
    const auto it = all.hosts.find(host);
    return it != all.hosts.end() && it->second.set_aside;
}

bool is_proven(const pool_health& all, const std::string& host)
{
    const auto it = all.hosts.find(host);
    return it != all.hosts.end() && it->second.proven;
}

void note_probe(pool_health& all, const std::string& host)
{
    host_health& h = all.hosts[host];
    h.probing = h.set_aside;
}

bool is_held_back(const pool_health& all, const std::string& group, const settings& rules)
{
    const auto it = all.groups.find(group);
    return it != all.groups.end() &&
           it->second.failed_hosts.size() >= static_cast<std::size_t>(rules.hosts_to_blame_job);
}

bool job_at_fault(const pool_health& all, const job& j, const settings& rules)
{
    int hosts = 0;
    int failures = 0;
    for (const auto& it : j.failures)
    {
        if (!is_set_aside(all, it.host))
        {
            hosts += 1;
            failures += it.count;
        }
    }
    return hosts >= rules.hosts_to_blame_job || failures >= rules.most_failures;
}

} // namespace camphorhitch::jobs
