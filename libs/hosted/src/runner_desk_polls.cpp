/// \file
/// When each runner is polled, and what a poll's answer leads to.
#include "cadence.hpp"
#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"
#include "repeated_order.hpp"
#include "runner_desk.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

using ports::runner_verdict;

namespace
{

/// Most of what a call has beyond its wait (700 ms) before it is given up; a loop that was less
/// late can't have let it run out alone.
constexpr core::millis own_delay{200};
/// Between renewals beside a poll that is overdue: four within what is left of a lease then.
constexpr core::millis renew_again{250};
/// That such a renewal grants: several of them. A whole lease would keep the tasks of a runner that
/// is gone waiting for 1.4 s more, until the poll has timed out and a lease has passed since.
constexpr core::millis renewal_lease{1200};

} // namespace

bool runner_desk::idle_hosts_rest() const
{
    return idle_poll_gap(term_.settings, term_.fleet.hosts.size()).count() > 0;
}

/// A host on which nothing runs, of a pool for which no job is open, has nothing to tell and needs
/// no lease. Where there are so many that idle ones rest it is asked again once there is a job.
bool runner_desk::needs_polls(const coordinator::host_entry& h) const
{
    return !idle_hosts_rest() || !h.runs.empty() || h.inherited || h.orphaned_runs > 0 ||
           !h.reachable || h.clock_ms < 0 || pools_with_jobs_.contains(h.pool);
}

void runner_desk::see_jobs()
{
    pools_with_jobs_.clear();
    for (const auto& id : term_.fleet.open_jobs)
    {
        pools_with_jobs_.insert(term_.fleet.jobs.at(id)->spec.pool);
    }
}

void runner_desk::expect_work(const std::string& pool)
{
    if (idle_hosts_rest() && !pools_with_jobs_.contains(pool))
    {
        poll_all();
    }
}

void runner_desk::poll_all()
{
    if (idle_hosts_rest())
    {
        see_jobs();
    }
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (!polling_.contains(id) && needs_polls(h))
        {
            polling_.insert(id);
            poll(id);
        }
    }
}

void runner_desk::poll_later(const std::string& host, core::millis delay)
{
    term_.ctx.time.after(delay, term_.guarded([this, host] { poll(host); }));
}

/// Until the gap has passed, or work is ordered there.
void runner_desk::rest(const std::string& host, core::millis gap)
{
    resting_.insert(host);
    term_.ctx.time.after(gap, term_.guarded([this, host] { wake_up(host); }));
}

void runner_desk::wake_up(const std::string& host)
{
    if (resting_.erase(host) > 0)
    {
        poll(host);
    }
}

void runner_desk::poll(const std::string& host)
{
    const auto found = term_.fleet.hosts.find(host);
    if (found == term_.fleet.hosts.end() || !term_.lead->holds_lease() ||
        !needs_polls(found->second))
    {
        polling_.erase(host);
        return;
    }
    auto& h = found->second;
    auto order = term_.grant_lease(h, coordinator::lease_end_for(term_.fleet, h, term_.now()));
    // The first answer tells the runner's clock, without which no lease can be named, and what a
    // former owner's runner holds, for which others wait.
    // One that this owner has not heard for a lease's time gets no task before it answers.
    const bool unheard = term_.now() - h.last_answer_at >= term_.fleet.settings.runner_lease;
    const bool at_once =
        h.clock_ms < 0 || !h.reachable || h.inherited || unheard || asked_again_.contains(host);
    order.wait =
        at_once ? core::millis{0} : poll_wait_for(term_.settings, term_.fleet.hosts.size());
    const auto begun = term_.now();
    h.polled_at = begun;
    polls_out_[host] = begun;
    renew_later(host, begun, order.wait + answer_is_near);
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, begun](const ports::poll_answer& a)
            {
                if (is_open(host, begun))
                {
                    take_poll(host, begun, a);
                }
                // Else the answer to a renewal beside it was taken for it.
            }));
}

bool runner_desk::is_open(const std::string& host, core::mono_time begun) const
{
    const auto out = polls_out_.find(host);
    return out != polls_out_.end() && out->second == begun;
}

void runner_desk::renew_later(const std::string& host, core::mono_time begun, core::millis delay)
{
    if (!term_.settings.repeats_calls)
    {
        return;
    }
    const auto due = term_.now() + delay;
    term_.ctx.time.after(
        delay, term_.guarded([this, host, begun, due] { renew(host, begun, due); }));
}

/// A poll without an answer until its time-out would take most of a lease with it: one lost answer,
/// or one relay that stands still, ended the leases of runners that are well, and the ends that it
/// would have told were learnt a second late. So once the answer is overdue the runner is asked
/// beside it, again and again, and the first answer counts. A node that is late itself waits: the
/// answer may lie unread here, and more calls would make it later.
void runner_desk::renew(const std::string& host, core::mono_time begun, core::mono_time due)
{
    const auto found = term_.fleet.hosts.find(host);
    if (!is_open(host, begun) || found == term_.fleet.hosts.end() || !term_.lead->holds_lease())
    {
        return;
    }
    renew_later(host, begun, renew_again);
    auto& h = found->second;
    const auto whole = coordinator::lease_end_for(term_.fleet, h, term_.now());
    if ((whole == 0 && !h.inherited) || term_.now() - due > timer_is_late)
    {
        return;
    }
    const auto shorter = (term_.fleet.settings.runner_lease - renewal_lease).count();
    const auto asked = term_.now();
    auto order = term_.grant_lease(h, whole == 0 ? 0 : whole - shorter);
    order.direct = true;
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, begun, asked](const ports::poll_answer& a)
            {
                const bool unanswered = a.call.verdict == runner_verdict::unknown ||
                                        a.call.verdict == runner_verdict::not_sent;
                if (is_open(host, begun) && !unanswered)
                {
                    take_poll(host, asked, a);
                }
                // Whether the runner is silent is judged by the poll.
            }));
}

core::millis runner_desk::poll_gap() const
{
    const auto& s = term_.settings;
    return std::max(
        window_.gap, time_between_polls(term_.fleet.hosts.size(), s.most_polls_per_second));
}

/// An answer may have lain unread here until the call's time-out. Taken for silence, the runner
/// would be granted no lease, and its runs would end though it is well. So an owner that was late
/// itself asks once more; what proves that a lease has ended stays the time alone.
bool runner_desk::asks_again(const std::string& host, core::mono_time begun, runner_verdict v)
{
    const auto found = term_.fleet.hosts.find(host);
    const auto late_by = std::max(term_.load.timer_delays.largest_since(begun),
        term_.load.socket_delays.largest_since(begun));
    const bool may = found != term_.fleet.hosts.end() && found->second.reachable &&
                     v == runner_verdict::unknown && late_by > own_delay;
    if (!may || !asked_again_.insert(host).second)
    {
        asked_again_.erase(host);
        return false;
    }
    term_.log(ports::log_level::info, "asked_again", {{"host", host}});
    return true;
}

void runner_desk::take_poll(
    const std::string& host, core::mono_time begun, const ports::poll_answer& a)
{
    const auto found = term_.fleet.hosts.find(host);
    polls_out_.erase(host);
    const bool heard_since =
        found != term_.fleet.hosts.end() && found->second.last_answer_at > begun &&
        (a.call.verdict == runner_verdict::unknown || a.call.verdict == runner_verdict::not_sent);
    if (heard_since || asks_again(host, begun, a.call.verdict))
    {
        poll(host);
        return;
    }
    const bool first = found != term_.fleet.hosts.end() && found->second.lease_until_ms == 0;
    const bool silent = found != term_.fleet.hosts.end() && !found->second.reachable;
    const auto seen = found == term_.fleet.hosts.end() ? 0 : found->second.last_applied_end;
    term_.load.note_poll(a, seen, term_.now());
    coordinator::task_events out;
    take(coordinator::poll_answered(term_.fleet, host, begun, a, term_.now(), out), host, out);
    if (!term_.fleet.hosts.contains(host))
    {
        polling_.erase(host);
        return;
    }
    if (a.call.verdict != runner_verdict::done)
    {
        poll_later(host, term_.settings.poll_retry);
        return;
    }
    if (silent)
    {
        term_.record_hosts();
    }
    stop_strays();
    const bool news = !a.ended.empty();
    const auto idle_gap = idle_poll_gap(term_.settings, term_.fleet.hosts.size());
    if (found->second.runs.empty() && !first && idle_gap.count() > 0)
    {
        rest(host, idle_gap);
    }
    else
    {
        poll_later(host, first || !news ? core::millis{0} : poll_gap());
    }
    if (news)
    {
        term_.store_soon();
    }
    term_.wake();
}

} // namespace camphorhitch::hosted
