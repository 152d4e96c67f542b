#include "jobs/pool_jobs.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorhitch::jobs
{

namespace
{

bool is_newer(const placer_mark& a, const placer_mark& b)
{
    return a.epoch > b.epoch;
}

bool is_due(const bucket_view& b, const settings& rules, core::mono_time now)
{
    if (!b.loaded || b.in_flight != 0)
    {
        return false;
    }
    return b.need == write_need::soon ||
           (b.need == write_need::lazy && now - b.need_since >= rules.lazy_write);
}

bool holds_work(const bucket_view& b)
{
    return std::any_of(b.document.jobs.begin(),
        b.document.jobs.end(),
        [](const job& j) { return !is_over(j) || holds_host(j); });
}

/// Puts our mark into a document that lacks it.
void fence(pool_jobs& all, bucket_view& b, core::mono_time now)
{
    if (b.document.placer == all.mark)
    {
        return;
    }
    b.document.placer = all.mark;
    touch(b, write_need::soon, now);
}

/// A pool without any job is left alone: there is nothing to place, and so nothing to guard.
void fence_when_needed(pool_jobs& all, core::mono_time now)
{
    const bool loaded = std::all_of(
        all.buckets.begin(), all.buckets.end(), [](const bucket_view& b) { return b.loaded; });
    if (all.superseded || !loaded ||
        std::none_of(all.buckets.begin(), all.buckets.end(), holds_work))
    {
        return;
    }
    for (auto& it : all.buckets)
    {
        fence(all, it, now);
    }
}

/// The document may come from another object's memory, whose numbers mean nothing here.
void forget_transient(job& j)
{
    j.pending_write = 0;
    j.waits_for = wait_reason::none;
    j.team_number = -1;
    j.group_number = -1;
}

} // namespace

pool_jobs make_pool_jobs(std::string pool, placer_mark mark, core::mono_time now)
{
    pool_jobs all;
    core::require(mark.epoch > 0, "an owner's mark needs an epoch");
    all.pool = std::move(pool);
    all.mark = std::move(mark);
    all.since = now;
    return all;
}

bool take_document(
    pool_jobs& all, int bucket, job_document stored, read_cause cause, core::mono_time now)
{
    bucket_view& b = all.buckets.at(static_cast<std::size_t>(bucket));
    if (b.in_flight != 0)
    {
        return false;
    }
    if (is_newer(stored.placer, all.mark) ||
        (stored.placer.epoch == all.mark.epoch && !(stored.placer == all.mark)))
    {
        all.superseded = true;
        return true;
    }
    b.document = std::move(stored);
    b.document.pool = all.pool;
    b.document.bucket = bucket;
    for (auto& it : b.document.jobs)
    {
        forget_transient(it);
    }
    b.loaded = true;
    b.fenced = b.document.placer == all.mark;
    b.need = write_need::none;
    if (cause == read_cause::newer)
    {
        b.doubtful = false;
    }
    if (b.doubtful)
    {
        // A write of ours at the same revision settles it: after that, the older can only conflict.
        touch(b, write_need::soon, now);
    }
    fence_when_needed(all, now);
    return true;
}

std::vector<due_write> due_writes(pool_jobs& all, const settings& rules, core::mono_time now)
{
    std::vector<due_write> due;
    if (all.superseded)
    {
        return due;
    }
    for (std::size_t i = 0; i < all.buckets.size(); ++i)
    {
        bucket_view& b = all.buckets[i];
        if (is_due(b, rules, now))
        {
            b.in_flight = b.next_write;
            b.next_write += 1;
            b.in_flight_marked = b.document.placer == all.mark;
            b.need = write_need::none;
            due.push_back({static_cast<int>(i), &b.document});
        }
    }
    return due;
}

void write_ended(pool_jobs& all, int bucket, write_end how)
{
    bucket_view& b = all.buckets.at(static_cast<std::size_t>(bucket));
    core::require(b.in_flight != 0, "a write ended that was not under way");
    const std::uint64_t number = std::exchange(b.in_flight, 0);
    if (how == write_end::stored)
    {
        b.fenced = b.in_flight_marked;
        b.doubtful = false;
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
    b.doubtful = b.doubtful || how == write_end::doubt;
}

bool may_place(const pool_jobs& all)
{
    return !all.superseded &&
           std::all_of(all.buckets.begin(),
               all.buckets.end(),
               [](const bucket_view& b) { return b.loaded && b.fenced && !b.doubtful; });
}

bool counts_all_tasks(const pool_jobs& all)
{
    const bool loaded = std::all_of(all.buckets.begin(),
        all.buckets.end(),
        [](const bucket_view& b) { return b.loaded && !b.doubtful; });
    const bool idle = std::none_of(all.buckets.begin(), all.buckets.end(), holds_work);
    return !all.superseded && loaded && (idle || may_place(all));
}

void touch(bucket_view& b, write_need need, core::mono_time now)
{
    if (b.need < write_need::lazy)
    {
        b.need_since = now;
    }
    b.need = std::max(b.need, need);
}

void touch(bucket_view& b, job& j, write_need need, core::mono_time now)
{
    touch(b, need, now);
    j.pending_write = b.next_write;
}

void note_reports(pool_jobs& all,
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
        task_view& t = view_of(all, it.task, now);
        t.reported_at = now;
        t.report = it;
        t.report.host = host;
        t.peak.processors = std::max(t.peak.processors, it.processors_used);
        t.peak.memory_gb = std::max(t.peak.memory_gb, it.memory_gb_used);
    }
}

void note_order_ended(pool_jobs& all, const std::string& task, ports::platform_status how)
{
    if (const auto it = all.tasks.find(task); it != all.tasks.end())
    {
        it->second.order_ended = how;
    }
}

void note_command_ended(pool_jobs& all,
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
            found->second.throttled_there = what == ports::task_action::throttle;
        }
    }
}

void note_granted(pool_jobs& all, const quota_wish& wish, const amounts& granted)
{
    if (wish.owner == all.mark)
    {
        team_grant& t = all.teams[wish.team];
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
            if (holds_host(j) || j.state == job_state::unknown)
            {
                hosts.insert(j.host);
            }
        }
    }
    return {hosts.begin(), hosts.end()};
}

int number_of(name_numbers& all, const std::string& name)
{
    const auto [it, added] = all.numbers.try_emplace(name, static_cast<int>(all.names.size()));
    if (added)
    {
        all.names.push_back(name);
    }
    return it->second;
}

task_view& view_of(pool_jobs& all, const std::string& task, core::mono_time now)
{
    const auto [it, added] = all.tasks.try_emplace(task);
    if (added)
    {
        it->second.first_seen = now;
    }
    return it->second;
}

int tasks_on(const pool_jobs& all, const std::string& host)
{
    int n = 0;
    for (const auto& b : all.buckets)
    {
        n += static_cast<int>(std::count_if(b.document.jobs.begin(),
            b.document.jobs.end(),
            [&](const job& j) { return holds_host(j) && j.host == host; }));
    }
    return n;
}

} // namespace camphorhitch::jobs
