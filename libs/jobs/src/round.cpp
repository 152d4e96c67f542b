#include "jobs/round.hpp"

#include "commands.hpp"
#include "core/invariant.hpp"
#include "make_room.hpp"
#include "place.hpp"
#include "reconcile.hpp"
#include "text.hpp"
#include "wishes.hpp"

#include <algorithm>

namespace camphorhitch::jobs
{

namespace
{

/// Views of tasks that no job names and no report named for this long are forgotten.
constexpr core::millis forget_after{600000};
constexpr core::millis forget_interval{60000};

/// A new owner learns from the jobs that are over in the documents, as it has seen none itself.
void learn_from_documents(pool_jobs& all)
{
    if (all.learned)
    {
        return;
    }
    all.learned = true;
    for (const auto& b : all.buckets)
    {
        for (const auto& j : b.document.jobs)
        {
            if (is_over(j))
            {
                learn(all.sizes, j);
            }
        }
    }
}

void forget_tasks(pool_jobs& all, const round_input& in)
{
    std::erase_if(all.tasks,
        [&](const auto& it)
        {
            const task_view& t = it.second;
            const core::mono_time last =
                t.reported_at.value_or(t.ordered_at.value_or(t.first_seen));
            if (in.now - last < forget_after)
            {
                return false;
            }
            const std::string id = job_of_task(it.first);
            const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(id)));
            const job* j = find_job(b.document, id);
            return j == nullptr || is_over(*j) || attempt_of_task(*j, it.first) < j->attempt;
        });
}

void forget_waits(pool_jobs& all, const round_input& in)
{
    std::erase_if(all.wait_until, [&](const auto& it) { return it.second <= in.now; });
    std::erase_if(all.waiting_since,
        [&](const auto& it)
        {
            const auto& b = all.buckets.at(static_cast<std::size_t>(bucket_of(it.first)));
            const job* j = find_job(b.document, it.first);
            return j == nullptr || j->state != job_state::waiting;
        });
}

void forget_now_and_then(pool_jobs& all, const round_input& in)
{
    if (in.now - all.forgot_at < forget_interval)
    {
        return;
    }
    all.forgot_at = in.now;
    forget_tasks(all, in);
    forget_waits(all, in);
}

std::string size_line(const job& j)
{
    return "declared " + to_text(j.declared) + " for " + std::to_string(j.run_time.count() / 1000) +
           " s; measured " + to_text(j.used);
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
    if (!may_place(all))
    {
        return actions;
    }
    learn_from_documents(all);
    reconcile(all, active, in, actions);
    drop_old_claims(all, in);
    round_state r{all, in, make_host_views(all, active, in), active, {}, {}, {}, {}};
    collect(r);
    leave_draining_hosts(r);
    place(r);
    make_room_for_urgent(r);
    unthrottle(r);
    keep_hosts_for_the_longest_waiting(r);
    wish_for_quota(r);
    std::move(r.actions.begin(), r.actions.end(), std::back_inserter(actions));
    command_stored(all, active, in, actions);
    forget_now_and_then(all, in);
    return actions;
}

std::vector<std::string> explain(const job& j)
{
    std::vector<std::string> lines;
    lines.push_back("job " + j.id + " of team " + j.team + " is " +
                    std::string{core::name_of(job_state_names, j.state)} +
                    (j.host.empty() ? "" : " on " + j.host) + (j.throttled ? ", throttled" : ""));
    lines.push_back("rule " + j.why.rule + ": " + j.why.weighed);
    if (j.state == job_state::waiting && j.waits_for != wait_reason::none)
    {
        lines.push_back("the last round left it waiting: " +
                        std::string{core::name_of(wait_reason_names, j.waits_for)});
    }
    lines.push_back(size_line(j));
    for (const auto& it : j.failures)
    {
        lines.push_back("failed on " + it.host + ' ' + std::to_string(it.count) + " times");
    }
    return lines;
}

} // namespace camphorhitch::jobs
