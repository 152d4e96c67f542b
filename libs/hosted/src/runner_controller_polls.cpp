/// \file
/// Schedules the polls of each runner and handles their answers.
#include "cadence.hpp"
#include "coordinator/answers.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "coordinator/intake.hpp"
#include "core/rendezvous.hpp"
#include "ports/incarnation.hpp"
#include "repeated_order.hpp"
#include "runner_controller.hpp"

#include <algorithm>
#include <limits>

namespace camphorhitch::hosted
{

using ports::runner_verdict;

namespace
{

/// Least delay of this node's loop that may explain a call without an answer. A call times out 700
/// ms after its wait; a loop that was less late than this can't alone have made it time out.
constexpr core::millis min_own_delay{200};
/// Interval of the renewals that are sent beside an overdue poll: four of them fit into what is
/// left of a lease by then.
constexpr core::millis renewal_interval{250};
/// Lease that such a renewal grants: it outlasts several renewal intervals. Granting a whole lease
/// would delay the tasks of a lost runner by a further 1.4 s, until the poll has timed out and a
/// whole lease has passed since the last renewal.
constexpr core::millis renewal_lease{1200};

/// Delay of the next poll of a runner that may still carry out earlier calls: until the write of
/// its row has succeeded, there may be no token above theirs. Doubled for each further poll, up to
/// driver_settings::poll_retry_delay or the interval that the number of hosts requires.
constexpr core::millis first_settling_delay{15};

/// \return a part of the time, from none to nearly all of it, that is the same for each host.
core::millis part_for(const std::string& host, core::millis time)
{
    const auto share = static_cast<double>(core::stable_hash(host)) /
                       static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return core::millis{static_cast<std::int64_t>(static_cast<double>(time.count()) * share)};
}

} // namespace

bool runner_controller::delays_idle_polls() const
{
    return idle_poll_delay(term_.settings, term_.fleet.hosts.size()).count() > 0;
}

/// A host that runs nothing, in a pool without an open job, has nothing to report and needs no
/// lease. In a fleet so large that polls of idle hosts are delayed, such a host is not polled until
/// its pool has a job.
bool runner_controller::needs_polls(const coordinator::host_entry& h) const
{
    return !delays_idle_polls() || !h.runs.empty() || h.inherited || h.earlier_calls_token ||
           h.orphaned_runs > 0 || !h.reachable || h.clock_ms < 0 ||
           pools_with_jobs_.contains(h.pool);
}

void runner_controller::update_pools_with_jobs()
{
    pools_with_jobs_.clear();
    for (const auto& id : term_.fleet.open_jobs)
    {
        pools_with_jobs_.insert(term_.fleet.jobs.at(id)->spec.pool);
    }
}

void runner_controller::expect_work(const std::string& pool)
{
    if (delays_idle_polls() && !pools_with_jobs_.contains(pool))
    {
        poll_all();
    }
}

void runner_controller::poll_all()
{
    if (delays_idle_polls())
    {
        update_pools_with_jobs();
    }
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        begin_polling(id, h);
    }
}

void runner_controller::begin_polling(const std::string& id, const coordinator::host_entry& h)
{
    if (!polling_.contains(id) && needs_polls(h))
    {
        polling_.insert(id);
        in_step_.insert(id);
        poll(id);
    }
}

void runner_controller::poll_other_incarnations(const std::string& host)
{
    const std::string runner{ports::runner_of(host)};
    const auto& hosts = term_.fleet.hosts;
    if (const auto it = hosts.find(runner); it != hosts.end())
    {
        begin_polling(it->first, it->second);
    }
    for (auto it = hosts.lower_bound(runner + '/');
         it != hosts.end() && ports::is_same_runner(it->first, runner);
         ++it)
    {
        term_.update_runner_record(it->first);
        begin_polling(it->first, it->second);
    }
}

void runner_controller::schedule_poll(const std::string& host, core::millis delay)
{
    term_.ctx.time.after(delay, term_.guarded([this, host] { poll(host); }));
}

void runner_controller::delay_idle_poll(const std::string& host, core::millis delay)
{
    delayed_idle_.insert(host);
    term_.ctx.time.after(delay, term_.guarded([this, host] { poll_if_delayed(host); }));
}

void runner_controller::poll_if_delayed(const std::string& host)
{
    if (delayed_idle_.erase(host) > 0)
    {
        poll(host);
    }
}

void runner_controller::poll(const std::string& host)
{
    const auto found = term_.fleet.hosts.find(host);
    if (found == term_.fleet.hosts.end() || !term_.lead->holds_lease() ||
        !needs_polls(found->second))
    {
        polling_.erase(host);
        return;
    }
    auto& h = found->second;
    coordinator::raise_fencing_token(term_.fleet, h);
    auto order = term_.grant_lease(h, coordinator::lease_end_for(term_.fleet, h, term_.now()));
    // The runner answers at once where the answer is urgent. The first answer of a runner reveals
    // its clock, without which no lease can be expressed, and the runs of an inherited runner, for
    // which tasks of its pool wait. A runner that has not answered for the duration of a lease gets
    // no task until it answers.
    const bool not_heard_recently =
        term_.now() - h.last_answer_at >= term_.fleet.settings.runner_lease;
    const bool at_once = h.clock_ms < 0 || !h.reachable || h.inherited || h.earlier_calls_token ||
                         not_heard_recently || polled_again_.contains(host);
    if (!h.reachable || not_heard_recently || polled_again_.contains(host))
    {
        // Another incarnation may answer. Its ends have low numbers again, and it would forget
        // those that are acknowledged here.
        order.acknowledged_through = 0;
    }
    order.wait =
        at_once ? core::millis{0} : scaled_poll_wait(term_.settings, term_.fleet.hosts.size());
    if (delays_idle_polls() && in_step_.contains(host) && h.runs.empty())
    {
        order.wait = part_for(host, order.wait);
    }
    const auto sent_at = term_.now();
    h.polled_at = sent_at;
    polls_in_flight_[host] = sent_at;
    schedule_renewal(host, sent_at, order.wait + answer_overdue_after);
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, sent_at, order](ports::poll_answer a)
            {
                if (is_open(host, sent_at))
                {
                    a.call = coordinator::without_own_refusal(
                        term_.fleet, host, order.fencing_token, a.call);
                    handle_poll_answer(host, sent_at, a);
                    record_acknowledgement(host, order, a);
                }
                // Otherwise the answer to a renewal beside this poll has been used in its place.
            }));
}

bool runner_controller::is_open(const std::string& host, core::mono_time sent_at) const
{
    const auto out = polls_in_flight_.find(host);
    return out != polls_in_flight_.end() && out->second == sent_at;
}

void runner_controller::schedule_renewal(
    const std::string& host, core::mono_time sent_at, core::millis delay)
{
    if (!term_.settings.repeats_overdue_calls)
    {
        return;
    }
    const auto due = term_.now() + delay;
    term_.ctx.time.after(
        delay, term_.guarded([this, host, sent_at, due] { renew(host, sent_at, due); }));
}

/// A poll that stays unanswered until its timeout uses up most of a lease: one lost answer, or one
/// stalled relay, would end the leases of healthy runners, and the run ends that the answer holds
/// would become known a second late. So once the answer is overdue, further polls that renew the
/// lease are sent to the runner at renewal_interval beside the open one, and the first answer
/// counts. A node that is late itself sends none: the answer may have arrived and be unread, and
/// more calls would delay it further.
void runner_controller::renew(const std::string& host, core::mono_time sent_at, core::mono_time due)
{
    const auto found = term_.fleet.hosts.find(host);
    if (!is_open(host, sent_at) || found == term_.fleet.hosts.end() || !term_.lead->holds_lease())
    {
        return;
    }
    schedule_renewal(host, sent_at, renewal_interval);
    auto& h = found->second;
    const auto whole = coordinator::lease_end_for(term_.fleet, h, term_.now());
    if ((whole == 0 && !h.inherited) || term_.now() - due > max_timer_delay)
    {
        return;
    }
    const auto shorter = (term_.fleet.settings.runner_lease - renewal_lease).count();
    const auto asked = term_.now();
    auto order = term_.grant_lease(h, whole == 0 ? 0 : whole - shorter);
    order.direct = true;
    order.acknowledged_through = 0; // as in poll(): another incarnation may answer
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, sent_at, asked, token = order.fencing_token](ports::poll_answer a)
            {
                a.call = coordinator::without_own_refusal(term_.fleet, host, token, a.call);
                const bool unanswered = a.call.verdict == runner_verdict::unknown ||
                                        a.call.verdict == runner_verdict::not_sent;
                if (is_open(host, sent_at) && !unanswered)
                {
                    handle_poll_answer(host, asked, a);
                }
                // Only the poll itself decides whether the runner is unresponsive.
            }));
}

void runner_controller::record_acknowledgement(
    const std::string& host, const ports::poll_order& order, const ports::poll_answer& a)
{
    const auto found = term_.fleet.hosts.find(host); // gone if a later incarnation has answered
    if (found != term_.fleet.hosts.end() && a.call.verdict == runner_verdict::done)
    {
        auto& h = found->second;
        h.acknowledged_end = std::max(h.acknowledged_end, order.acknowledged_through);
    }
}

core::millis runner_controller::poll_delay() const
{
    const auto& s = term_.settings;
    return std::max(
        window_.poll_delay, poll_interval_for(term_.fleet.hosts.size(), s.max_polls_per_second));
}

/// An answer may have been unread on this node until the call's timeout. If the runner were taken
/// for unresponsive, it would be granted no lease and its runs would end although it is healthy. So
/// a coordinator that was late itself polls once more. This does not affect when a lease counts as
/// ended, which depends on time alone.
bool runner_controller::polls_again(
    const std::string& host, core::mono_time sent_at, runner_verdict v)
{
    const auto found = term_.fleet.hosts.find(host);
    const auto late_by = std::max(
        term_.load.timer_delays.max_since(sent_at), term_.load.socket_delays.max_since(sent_at));
    const bool may = found != term_.fleet.hosts.end() && found->second.reachable &&
                     v == runner_verdict::unknown && late_by > min_own_delay;
    if (!may || !polled_again_.insert(host).second)
    {
        polled_again_.erase(host);
        return false;
    }
    term_.log(ports::log_level::info, "asked_again", {{"host", host}});
    return true;
}

void runner_controller::handle_poll_answer(
    const std::string& host, core::mono_time sent_at, const ports::poll_answer& a)
{
    const auto found = term_.fleet.hosts.find(host);
    polls_in_flight_.erase(host);
    const bool answered_since =
        found != term_.fleet.hosts.end() && found->second.last_answer_at > sent_at &&
        (a.call.verdict == runner_verdict::unknown || a.call.verdict == runner_verdict::not_sent);
    if (answered_since || polls_again(host, sent_at, a.call.verdict))
    {
        poll(host);
        return;
    }
    const bool first_lease = found != term_.fleet.hosts.end() && found->second.lease_until_ms == 0;
    const bool was_unresponsive = found != term_.fleet.hosts.end() && !found->second.reachable;
    const auto last_applied = found == term_.fleet.hosts.end() ? 0 : found->second.last_applied_end;
    term_.load.record_poll(a, last_applied, term_.now());
    coordinator::task_events out;
    finish_answer(coordinator::handle_poll_answer(term_.fleet, host, sent_at, a, term_.now(), out),
        host,
        out);
    if (!term_.fleet.hosts.contains(host))
    {
        polling_.erase(host);
        poll_other_incarnations(host); // a later one may have answered
        return;
    }
    if (a.call.verdict != runner_verdict::done)
    {
        schedule_poll(host, term_.settings.poll_retry_delay);
        return;
    }
    if (was_unresponsive || found->second.earlier_calls_token)
    {
        term_.update_runner_record(host);
    }
    stop_orphaned_runs();
    const bool has_ends = !a.ended.empty();
    const auto idle_delay = idle_poll_delay(term_.settings, term_.fleet.hosts.size());
    if (found->second.earlier_calls_token)
    {
        auto& delay = settling_delays_[host];
        delay = delay.count() == 0
                    ? first_settling_delay
                    : std::min(2 * delay, std::max(term_.settings.poll_retry_delay, poll_delay()));
        schedule_poll(host, delay);
    }
    else if (settling_delays_.erase(host) > 0)
    {
        schedule_poll(host, core::millis{0});
    }
    else if (found->second.runs.empty() && !first_lease && idle_delay.count() > 0)
    {
        delay_idle_poll(host, in_step_.erase(host) > 0 ? part_for(host, idle_delay) : idle_delay);
    }
    else
    {
        schedule_poll(host, first_lease || !has_ends ? core::millis{0} : poll_delay());
    }
    if (has_ends)
    {
        term_.request_store_write();
    }
    term_.request_plan();
}

} // namespace camphorhitch::hosted
