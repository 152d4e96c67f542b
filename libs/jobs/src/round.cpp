#include "jobs/round.hpp"

#include "commands.hpp"
#include "core/invariant.hpp"
#include "place.hpp"
#include "preemption.hpp"
#include "quota_requests.hpp"
#include "reconcile.hpp"
#include "text.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// Task records without a job are removed when no report has named the task for this long.
constexpr core::millis task_record_retention{600000};
constexpr core::millis cleanup_interval{60000};

/// Adds the terminal jobs of the documents to the estimates, because a new owner has not seen any
/// job end itself.
void add_documents_to_estimates(pool_jobs& all)
{
    if (all.documents_in_estimates)
    {
        return;
    }
    all.documents_in_estimates = true;
    for (const auto& b : all.buckets)
    {
        for (const auto& j : b.document.jobs)
        {
            if (is_terminal(j))
            {
                record_measurements(all.estimates, j);
            }
        }
    }
}

void remove_old_task_records(pool_jobs& all, const round_input& in)
{
    std::erase_if(all.tasks,
        [&](const auto& it)
        {
            const task_record& t = it.second;
            const core::mono_time last =
                t.reported_at.value_or(t.ordered_at.value_or(t.first_seen));
            if (in.now - last < task_record_retention)
            {
                return false;
            }
            const std::string id = job_id_of_task(it.first);
            const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
            const job* j = find_job(b.document, id);
            return j == nullptr || is_terminal(*j) || attempt_of_task(*j, it.first) < j->attempt;
        });
}

void remove_old_waits(pool_jobs& all, const round_input& in)
{
    std::erase_if(all.retry_at, [&](const auto& it) { return it.second <= in.now; });
    std::erase_if(all.waiting_since,
        [&](const auto& it)
        {
            const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(it.first)));
            const job* j = find_job(b.document, it.first);
            return j == nullptr || j->state != job_state::waiting;
        });
}

void clean_up_periodically(pool_jobs& all, const round_input& in)
{
    if (in.now - all.last_cleanup_at < cleanup_interval)
    {
        return;
    }
    all.last_cleanup_at = in.now;
    remove_old_task_records(all, in);
    remove_old_waits(all, in);
}

std::string describe_sizes(const job& j)
{
    return "declared " + to_text(j.declared) + " for " + std::to_string(j.run_time.count() / 1000) +
           " s; measured " + to_text(j.peak_use);
}

} // namespace

std::vector<action> decide_round(pool_jobs& all, const round_input& in)
{
    std::vector<action> actions;
    if (all.superseded)
    {
        return actions;
    }
    all.rounds += 1;
    const active_jobs active = collect_active(all, in.now);
    renew_leases(active, in, actions);
    if (!can_place(all))
    {
        return actions;
    }
    add_documents_to_estimates(all);
    reconcile(all, active, in, actions);
    remove_stale_claims(all, in);
    round_state r{all, in, make_host_views(all, active, in), active, {}, {}, {}, {}};
    collect_waiting(r);
    release_from_draining_hosts(r);
    place(r);
    free_capacity_for_urgent(r);
    unthrottle_tasks(r);
    reserve_hosts_for_longest_waiting(r);
    request_quotas(r);
    std::move(r.actions.begin(), r.actions.end(), std::back_inserter(actions));
    issue_commands(all, active, in, actions);
    clean_up_periodically(all, in);
    return actions;
}

std::vector<std::string> explain(const job& j)
{
    std::vector<std::string> lines;
    lines.push_back("job " + j.id + " of team " + j.team + " is " +
                    std::string{core::name_of(job_state_names, j.state)} +
                    (j.host.empty() ? "" : " on " + j.host) + (j.throttled ? ", throttled" : ""));
    lines.push_back("rule " + j.decision.rule + ": " + j.decision.weighed);
    if (j.state == job_state::waiting && j.waits_for != wait_reason::none)
    {
        lines.push_back("the last round left it waiting: " +
                        std::string{core::name_of(wait_reason_names, j.waits_for)});
    }
    lines.push_back(describe_sizes(j));
    for (const auto& it : j.failures)
    {
        lines.push_back("failed on " + it.host + ' ' + std::to_string(it.count) + " times");
    }
    return lines;
}

} // namespace camphorhitch::jobs
