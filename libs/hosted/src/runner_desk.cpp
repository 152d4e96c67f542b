#include "runner_desk.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"
#include "repeated_order.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <iterator>

namespace camphorhitch::hosted
{

using ports::runner_verdict;

runner_desk::runner_desk(term& t) : term_(t)
{
}

void runner_desk::see_delay(core::micros late_by)
{
    coordinator::see_delay(window_, window_settings_, late_by);
}

int runner_desk::room() const
{
    return coordinator::room_for_orders(window_, window_settings_, orders_awaited());
}

std::uint64_t runner_desk::note_sent()
{
    out_.emplace(++last_order_, term_.now());
    term_.load.orders_out = static_cast<std::int64_t>(out_.size());
    return last_order_;
}

void runner_desk::note_back(std::uint64_t order)
{
    out_.erase(order);
    term_.load.orders_out = static_cast<std::int64_t>(out_.size());
    if (std::exchange(more_waits_, false))
    {
        term_.wake();
    }
}

/// Were orders to silent runners counted until their time-out, a few of these would hold up all
/// work.
std::int64_t runner_desk::orders_awaited() const
{
    const auto since = term_.now() - answer_is_near;
    const auto end =
        std::find_if(out_.rbegin(), out_.rend(), [&](const auto& it) { return it.second < since; });
    return std::distance(out_.rbegin(), end);
}

void runner_desk::take(
    bool still_owner, const std::string& host, const coordinator::task_events& out)
{
    term_.log(out);
    if (!still_owner)
    {
        term_.fenced_by("runner " + host);
    }
}

void runner_desk::send(const coordinator::plan& p)
{
    for (const auto& it : p.stops)
    {
        stop(it);
    }
    for (const auto& it : p.starts)
    {
        start(it);
    }
    for (const auto& it : p.asks)
    {
        ask(it);
    }
    more_waits_ = p.cut;
    if (p.cut && room() > 0)
    {
        // The next slice in a turn of its own: renewals and polls come first.
        term_.wake();
    }
    else if (p.cut)
    {
        // Orders that are not answered by then count no more.
        term_.ctx.time.after(answer_is_near, term_.guarded([this] { term_.wake(); }));
    }
    window_.was_in_the_way = window_.was_in_the_way || (p.cut && orders_awaited() >= window_.size);
}

void runner_desk::take_start(const coordinator::start_action& a, const ports::runner_answer& answer)
{
    coordinator::task_events out;
    const bool owner = coordinator::start_answered(
        term_.fleet, a.host.id, a.task, a.run, answer, term_.now(), out);
    take(owner, a.host.id, out);
    if (answer.verdict != runner_verdict::done)
    {
        term_.wake();
    }
}

void runner_desk::start(const coordinator::start_action& a)
{
    if (!term_.lead->holds_lease())
    {
        // Asked for each order: the ones before it may have taken longer than the lease had left.
        take_start(a, {runner_verdict::not_sent, -1});
        return;
    }
    auto& h = term_.fleet.hosts.at(a.host.id);
    ports::start_order order;
    order.task = workflow::write_task_name(a.task);
    order.run = a.run;
    order.payload = a.payload;
    order.checkpoint = a.checkpoint;
    order.ticket = a.ticket;
    order.fencing_token = term_.token;
    order.lease_until_ms = coordinator::lease_end_for(term_.fleet, h, term_.now());
    coordinator::note_lease(h, order.lease_until_ms);
    const auto sent = term_.now();
    const auto order_id = note_sent();
    term_.note_start(a.task, a.run, sent);
    wake_up(a.host.id);
    send_repeated(
        term_.shared_from_this(),
        [this, to = a.host, order](auto take)
        { term_.ctx.runners.start(to, order, std::move(take)); },
        term_.guarded(
            [this, a, sent, order_id](const ports::runner_answer& answer)
            {
                term_.load.note_start_answer(answer, term_.now() - sent);
                term_.ctx.tel.observe("camphorhitch_start_order_seconds",
                    {},
                    std::chrono::duration<double>(term_.now() - sent).count());
                note_back(order_id);
                take_start(a, answer);
            }));
}

void runner_desk::send_paces(const std::vector<coordinator::pace_action>& all)
{
    for (const auto& it : all)
    {
        ports::throttle_order order{
            workflow::write_task_name(it.task), it.run, it.percent, term_.token};
        term_.ctx.runners.throttle(it.host,
            std::move(order),
            term_.guarded(
                [this, it](const ports::runner_answer& answer)
                {
                    // A lost pace is mended by the next figures; only a newer owner matters.
                    take(answer.verdict != runner_verdict::fenced, it.host.id, {});
                }));
    }
}

void runner_desk::ask(const coordinator::ask_action& a)
{
    const auto answered = [this, a](const ports::advice_answer& answer)
    {
        coordinator::task_events out;
        coordinator::advice_answered(term_.fleet, a, answer, term_.now(), out);
        term_.log(out);
        term_.wake();
    };
    if (!term_.ctx.advice.ask)
    {
        answered({});
        return;
    }
    term_.ctx.advice.ask(coordinator::write_step_name(a.step), a.runners, term_.guarded(answered));
}

void runner_desk::take_stop(const coordinator::stop_action& a, const ports::runner_answer& answer)
{
    coordinator::task_events out;
    const bool owner =
        coordinator::stop_answered(term_.fleet, a.host.id, a.task, a.run, answer, term_.now(), out);
    take(owner, a.host.id, out);
    term_.wake();
}

void runner_desk::stop(const coordinator::stop_action& a)
{
    if (!term_.lead->holds_lease())
    {
        take_stop(a, {runner_verdict::not_sent, -1});
        return;
    }
    ports::stop_order order{workflow::write_task_name(a.task), a.run, term_.token};
    const auto order_id = note_sent();
    send_repeated(
        term_.shared_from_this(),
        [this, to = a.host, order](auto take)
        { term_.ctx.runners.stop(to, order, std::move(take)); },
        term_.guarded(
            [this, a, order_id](const ports::runner_answer& answer)
            {
                note_back(order_id);
                take_stop(a, answer);
            }));
}

void runner_desk::stop_strays()
{
    if (!term_.lead->holds_lease())
    {
        return; // they stay listed
    }
    const auto strays = std::exchange(term_.fleet.orphaned_runs, {});
    for (const auto& it : strays)
    {
        const auto host = term_.fleet.hosts.find(it.host);
        if (host == term_.fleet.hosts.end())
        {
            continue;
        }
        const auto name = it.host + '/' + it.task + '/' + std::to_string(it.number);
        if (!strays_out_.insert(name).second)
        {
            continue;
        }
        ports::stop_order order{it.task, it.number, term_.token};
        term_.ctx.runners.stop(host->second.ref,
            std::move(order),
            term_.guarded(
                [this, it, name](const ports::runner_answer& answer)
                {
                    strays_out_.erase(name);
                    take(answer.verdict != runner_verdict::fenced, it.host, {});
                }));
    }
}

} // namespace camphorhitch::hosted
