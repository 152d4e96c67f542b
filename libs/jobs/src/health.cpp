#include "jobs/health.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// Failures of one group's jobs don't show that the host is at fault, because the group itself may
/// be at fault. When two groups fail in a row, the host is the only common cause.
constexpr std::size_t min_failed_groups_per_host = 2;

std::size_t count_set_aside_hosts(const pool_health& all)
{
    return static_cast<std::size_t>(std::count_if(
        all.hosts.begin(), all.hosts.end(), [](const auto& it) { return it.second.set_aside; }));
}

bool may_set_aside(const pool_health& all, const settings& rules, std::size_t hosts_in_pool)
{
    const double max_hosts = rules.max_set_aside_share * static_cast<double>(hosts_in_pool);
    return static_cast<double>(count_set_aside_hosts(all) + 1) <= std::max(max_hosts, 1.0);
}

/// The host fails jobs that run well elsewhere, or it fails different kinds of jobs.
bool is_host_at_fault(const pool_health& all, const host_health& h, const settings& rules)
{
    if (h.failed_jobs.size() < static_cast<std::size_t>(rules.max_failed_jobs_per_host))
    {
        return false;
    }
    const auto fails_here_only = [&](const std::string& group)
    {
        const auto it = all.groups.find(group);
        return it == all.groups.end() || it->second.failed_hosts.size() <= 1;
    };
    return h.failed_groups.size() >= min_failed_groups_per_host ||
           std::all_of(h.failed_groups.begin(), h.failed_groups.end(), fails_here_only);
}

void set_host_aside(host_health& h, const settings& rules, core::mono_time now)
{
    const core::millis doubled = h.probe_delay * 2;
    h.probe_delay = h.set_aside ? std::min(doubled, rules.max_probe_delay) : rules.probe_delay;
    h.set_aside = true;
    h.probe_running = false;
    h.probe_at = now + h.probe_delay;
}

} // namespace

void record_success(pool_health& all, const job& j)
{
    host_health& h = all.hosts[j.host];
    h = host_health{};
    h.proven = true;
    all.groups[group_name(j)].failed_hosts.clear();
}

bool record_failure(pool_health& all,
    const job& j,
    const settings& rules,
    std::size_t hosts_in_pool,
    core::mono_time now)
{
    host_health& h = all.hosts[j.host];
    h.proven = false;
    h.failed_jobs.insert(j.id);
    h.failed_groups.insert(group_name(j));
    all.groups[group_name(j)].failed_hosts.insert(j.host);
    if (h.set_aside)
    {
        set_host_aside(h, rules, now);
        return false;
    }
    if (!is_host_at_fault(all, h, rules) || !may_set_aside(all, rules, hosts_in_pool))
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

int allowed_starts(const pool_health& all,
    const std::string& host,
    int unproven_tasks,
    const settings& rules,
    core::mono_time now)
{
    const auto it = all.hosts.find(host);
    if (it == all.hosts.end())
    {
        return rules.max_starts_on_unproven_host - unproven_tasks;
    }
    const host_health& h = it->second;
    if (h.set_aside)
    {
        return !h.probe_running && unproven_tasks == 0 && now >= h.probe_at ? 1 : 0;
    }
    if (!h.failed_jobs.empty())
    {
        return rules.max_starts_on_suspect_host - unproven_tasks;
    }
    return (h.proven ? rules.max_starts_on_proven_host : rules.max_starts_on_unproven_host) -
           unproven_tasks;
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

void record_probe(pool_health& all, const std::string& host)
{
    host_health& h = all.hosts[host];
    h.probe_running = h.set_aside;
}

bool is_start_limited(const pool_health& all, const std::string& group, const settings& rules)
{
    const auto it = all.groups.find(group);
    return it != all.groups.end() && it->second.failed_hosts.size() >=
                                         static_cast<std::size_t>(rules.max_failed_hosts_per_job);
}

bool is_job_at_fault(const pool_health& all, const job& j, const settings& rules)
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
    return hosts >= rules.max_failed_hosts_per_job || failures >= rules.max_failures_per_job;
}

} // namespace camphorhitch::jobs
