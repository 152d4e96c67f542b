#include "jobs/pool_jobs.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorhitch::jobs
{

namespace
{

bool is_newer(const fencing_token& a, const fencing_token& b)
{
    return a.epoch > b.epoch;
}

bool is_due(const bucket_state& b, const settings& rules, core::mono_time now)
{
    if (!b.loaded || b.in_flight != 0)
    {
        return false;
    }
    return b.need == write_need::soon ||
           (b.need == write_need::lazy && now - b.need_since >= rules.lazy_write_delay);
}

bool has_work(const bucket_state& b)
{
    return std::any_of(b.document.jobs.begin(),
        b.document.jobs.end(),
        [](const job& j) { return !is_terminal(j) || may_occupy_host(j); });
}

/// Puts this owner's token into a document that lacks it.
void fence(pool_jobs& all, bucket_state& b, core::mono_time now)
{
    if (b.document.token == all.token)
    {
        return;
    }
    b.document.token = all.token;
    mark_changed(b, write_need::soon, now);
}

/// A pool without any job is not written: there is nothing to place, and so nothing to guard.
void fence_if_needed(pool_jobs& all, core::mono_time now)
{
    const bool loaded = std::all_of(
        all.buckets.begin(), all.buckets.end(), [](const bucket_state& b) { return b.loaded; });
    if (all.superseded || !loaded || std::none_of(all.buckets.begin(), all.buckets.end(), has_work))
    {
        return;
    }
    for (auto& it : all.buckets)
    {
        fence(all, it, now);
    }
}

/// The document may come from another object's memory, whose write numbers and indexes are not
/// valid here.
void reset_transient(job& j)
{
    j.pending_write = 0;
    j.waits_for = wait_reason::none;
    j.team_index = -1;
    j.group_index = -1;
}

} // namespace

pool_jobs make_pool_jobs(std::string pool, fencing_token token, core::mono_time now)
{
    pool_jobs all;
    core::require(token.epoch > 0, "an owner's fencing token needs an epoch");
    all.pool = std::move(pool);
    all.token = std::move(token);
    all.taken_over_at = now;
    return all;
}

bool apply_document(
    pool_jobs& all, int bucket, job_document stored, read_cause cause, core::mono_time now)
{
    bucket_state& b = all.buckets.at(static_cast<std::size_t>(bucket));
    if (b.in_flight != 0)
    {
        return false;
    }
    if (is_newer(stored.token, all.token) ||
        (stored.token.epoch == all.token.epoch && !(stored.token == all.token)))
    {
        all.superseded = true;
        return true;
    }
    b.document = std::move(stored);
    b.document.pool = all.pool;
    b.document.bucket = bucket;
    for (auto& it : b.document.jobs)
    {
        reset_transient(it);
    }
    b.loaded = true;
    b.fenced = b.document.token == all.token;
    b.need = write_need::none;
    if (cause == read_cause::newer)
    {
        b.uncertain = false;
    }
    if (b.uncertain)
    {
        // A write of this process at the same revision decides the matter: after it, the older
        // write can only end in a conflict.
        mark_changed(b, write_need::soon, now);
    }
    fence_if_needed(all, now);
    return true;
}

std::vector<due_write> begin_due_writes(pool_jobs& all, const settings& rules, core::mono_time now)
{
    std::vector<due_write> due;
    if (all.superseded)
    {
        return due;
    }
    for (std::size_t i = 0; i < all.buckets.size(); ++i)
    {
        bucket_state& b = all.buckets[i];
        if (is_due(b, rules, now))
        {
            b.in_flight = b.next_write;
            b.next_write += 1;
            b.in_flight_fenced = b.document.token == all.token;
            b.need = write_need::none;
            due.push_back({static_cast<int>(i), &b.document});
        }
    }
    return due;
}

void record_write_result(pool_jobs& all, int bucket, write_result how)
{
    bucket_state& b = all.buckets.at(static_cast<std::size_t>(bucket));
    core::require(b.in_flight != 0, "a write result was recorded without a write in flight");
    const std::uint64_t number = std::exchange(b.in_flight, 0);
    if (how == write_result::stored)
    {
        b.fenced = b.in_flight_fenced;
        b.uncertain = false;
        for (auto& it : b.document.jobs)
        {
            if (it.pending_write <= number)
            {
                it.pending_write = 0;
            }
        }
        return;
    }
    b.loaded = false;
    b.uncertain = b.uncertain || how == write_result::unknown;
}

bool can_place(const pool_jobs& all)
{
    return !all.superseded &&
           std::all_of(all.buckets.begin(),
               all.buckets.end(),
               [](const bucket_state& b) { return b.loaded && b.fenced && !b.uncertain; });
}

bool has_complete_task_count(const pool_jobs& all)
{
    const bool loaded = std::all_of(all.buckets.begin(),
        all.buckets.end(),
        [](const bucket_state& b) { return b.loaded && !b.uncertain; });
    const bool idle = std::none_of(all.buckets.begin(), all.buckets.end(), has_work);
    return !all.superseded && loaded && (idle || can_place(all));
}

void mark_changed(bucket_state& b, write_need need, core::mono_time now)
{
    if (b.need < write_need::lazy)
    {
        b.need_since = now;
    }
    b.need = std::max(b.need, need);
}

void mark_changed(bucket_state& b, job& j, write_need need, core::mono_time now)
{
    mark_changed(b, need, now);
    j.pending_write = b.next_write;
}

void record_reports(pool_jobs& all,
    const std::string& host,
    const ports::task_reports& reports,
    core::mono_time now)
{
    if (!reports.known)
    {
        return;
    }
    for (const auto& it : reports.tasks)
    {
        task_record& t = find_or_add_task(all, it.task, now);
        t.reported_at = now;
        t.report = it;
        t.report.host = host;
        t.peak_use.processors = std::max(t.peak_use.processors, it.processors_used);
        t.peak_use.memory_gb = std::max(t.peak_use.memory_gb, it.memory_gb_used);
    }
}

void record_order_result(pool_jobs& all, const std::string& task, ports::platform_status how)
{
    if (const auto it = all.tasks.find(task); it != all.tasks.end())
    {
        it->second.order_result = how;
    }
}

void record_command_result(pool_jobs& all,
    const std::vector<std::string>& tasks,
    ports::task_action what,
    ports::platform_status how)
{
    const bool throttling =
        what == ports::task_action::throttle || what == ports::task_action::unthrottle;
    if (!throttling || how != ports::platform_status::ok)
    {
        return;
    }
    for (const auto& it : tasks)
    {
        const auto found = all.tasks.find(it);
        if (found != all.tasks.end() && found->second.throttle_command == what)
        {
            found->second.throttled_at_worker = what == ports::task_action::throttle;
        }
    }
}

void record_grant(pool_jobs& all, const quota_request& request, const resources& granted)
{
    if (request.owner == all.token)
    {
        team_grant& t = all.teams[request.team];
        t.granted = granted;
        t.pending = false;
    }
}

std::vector<std::string> hosts_to_poll(const pool_jobs& all)
{
    std::set<std::string> hosts;
    for (const auto& b : all.buckets)
    {
        for (const auto& j : b.document.jobs)
        {
            if (may_occupy_host(j) || j.state == job_state::unknown)
            {
                hosts.insert(j.host);
            }
        }
    }
    return {hosts.begin(), hosts.end()};
}

int index_of(name_index& all, const std::string& name)
{
    const auto [it, added] = all.indexes.try_emplace(name, static_cast<int>(all.names.size()));
    if (added)
    {
        all.names.push_back(name);
    }
    return it->second;
}

task_record& find_or_add_task(pool_jobs& all, const std::string& task, core::mono_time now)
{
    const auto [it, added] = all.tasks.try_emplace(task);
    if (added)
    {
        it->second.first_seen = now;
    }
    return it->second;
}

int count_tasks_on(const pool_jobs& all, const std::string& host)
{
    int n = 0;
    for (const auto& b : all.buckets)
    {
        n += static_cast<int>(std::count_if(b.document.jobs.begin(),
            b.document.jobs.end(),
            [&](const job& j) { return may_occupy_host(j) && j.host == host; }));
    }
    return n;
}

} // namespace camphorhitch::jobs
