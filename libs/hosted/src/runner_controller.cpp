#include "runner_controller.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/fencing_tokens.hpp"
#include "coordinator/intake.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <iterator>

namespace camphorhitch::hosted
{

using ports::runner_verdict;

runner_controller::runner_controller(term& t) : term_(t)
{
}

void runner_controller::record_loop_delay(core::micros late_by)
{
    coordinator::record_loop_delay(window_, window_settings_, late_by);
}

int runner_controller::available_orders() const
{
    return coordinator::allowed_orders(window_, window_settings_, orders_not_overdue());
}

std::uint64_t runner_controller::record_sent()
{
    in_flight_.emplace(++last_order_, term_.now());
    term_.load.orders_in_flight = static_cast<std::int64_t>(in_flight_.size());
    return last_order_;
}

void runner_controller::record_answered(std::uint64_t order)
{
    in_flight_.erase(order);
    term_.load.orders_in_flight = static_cast<std::int64_t>(in_flight_.size());
    if (std::exchange(plan_was_cut_, false))
    {
        term_.request_plan();
    }
}

/// Overdue orders do not count: if orders to unresponsive runners counted until their timeout, a
/// few such runners would hold up all work.
std::int64_t runner_controller::orders_not_overdue() const
{
    const auto since = term_.now() - answer_overdue_after;
    const auto end = std::find_if(
        in_flight_.rbegin(), in_flight_.rend(), [&](const auto& it) { return it.second < since; });
    return std::distance(in_flight_.rbegin(), end);
}

void runner_controller::finish_answer(
    bool still_leads, const std::string& host, const coordinator::task_events& out)
{
    term_.log(out);
    if (!still_leads)
    {
        term_.step_down_fenced("runner " + host);
    }
}

/// Orders name a runner by its id only, so the next incarnation of the runner would carry out a
/// repeat.
order_sender runner_controller::sender_to(const ports::runner_ref& to,
    std::function<void(const ports::runner_ref&, std::function<void(ports::runner_answer)>)> send)
{
    return [this, to, send = std::move(send)](auto on_answer)
    {
        if (!term_.fleet.hosts.contains(to.id))
        {
            on_answer({runner_verdict::not_sent, -1});
            return;
        }
        send(to, std::move(on_answer));
    };
}

void runner_controller::send(const coordinator::plan& p)
{
    for (const auto& it : p.stops)
    {
        stop(it);
    }
    for (const auto& it : p.starts)
    {
        start(it);
    }
    for (const auto& it : p.advice_requests)
    {
        request_advice(it);
    }
    plan_was_cut_ = p.truncated;
    if (p.truncated && available_orders() > 0)
    {
        // The next orders are planned in a later iteration of the loop: renewals and polls go
        // first.
        term_.request_plan();
    }
    else if (p.truncated)
    {
        // Orders that are not answered by then no longer count against the window.
        term_.ctx.time.after(answer_overdue_after, term_.guarded([this] { term_.request_plan(); }));
    }
    window_.was_limiting =
        window_.was_limiting || (p.truncated && orders_not_overdue() >= window_.size);
}

void runner_controller::handle_start_answer(
    const coordinator::start_action& a, const ports::runner_answer& answer, bool all_answered)
{
    coordinator::task_events out;
    const bool still_leads = coordinator::handle_start_answer(
        term_.fleet, a.host.id, a.task, a.run, answer, term_.now(), out, all_answered);
    finish_answer(still_leads, a.host.id, out);
    if (answer.verdict != runner_verdict::done)
    {
        term_.request_plan();
    }
}

void runner_controller::start(const coordinator::start_action& a)
{
    if (!term_.lead->holds_lease())
    {
        // Checked for each order: sending the orders before it may have outlasted the lease.
        handle_start_answer(a, {runner_verdict::not_sent, -1}, true);
        return;
    }
    auto& h = term_.fleet.hosts.at(a.host.id);
    ports::start_order order;
    order.task = workflow::write_task_name(a.task);
    order.run = a.run;
    order.payload = a.payload;
    order.checkpoint = a.checkpoint;
    order.ticket = a.ticket;
    order.fencing_token = coordinator::fencing_token_for(term_.fleet, a.host.id);
    order.lease_until_ms = coordinator::lease_end_for(term_.fleet, h, term_.now());
    coordinator::record_lease(h, order.lease_until_ms);
    const auto sent = term_.now();
    const auto order_id = record_sent();
    term_.record_start(a.task, a.run, sent);
    poll_if_delayed(a.host.id);
    send_repeated(term_.shared_from_this(),
        sender_to(a.host,
            [this, order](const auto& to, auto on_answer)
            { term_.ctx.runners.start(to, order, std::move(on_answer)); }),
        term_.guarded(
            [this, a, sent, order_id, token = order.fencing_token](
                const ports::runner_answer& answer, bool all_answered)
            {
                term_.load.record_start_answer(answer, term_.now() - sent);
                term_.ctx.tel.observe("camphorhitch_start_order_seconds",
                    {},
                    std::chrono::duration<double>(term_.now() - sent).count());
                record_answered(order_id);
                handle_start_answer(a,
                    coordinator::without_own_refusal(term_.fleet, a.host.id, token, answer),
                    all_answered);
            }));
}

void runner_controller::send_throttles(const std::vector<coordinator::throttle_action>& all)
{
    for (const auto& it : all)
    {
        const auto token = coordinator::fencing_token_for(term_.fleet, it.host.id);
        ports::throttle_order order{
            workflow::write_task_name(it.task), it.run, it.cpu_percent, token};
        term_.ctx.runners.throttle(it.host,
            std::move(order),
            term_.guarded(
                [this, it, token](const ports::runner_answer& answer)
                {
                    const auto own =
                        coordinator::without_own_refusal(term_.fleet, it.host.id, token, answer);
                    coordinator::handle_throttle_answer(term_.fleet, it, own, term_.now());
                    finish_answer(own.verdict != runner_verdict::fenced, it.host.id, {});
                }));
    }
}

void runner_controller::request_advice(const coordinator::advice_request& a)
{
    const auto handle_advice = [this, a](const ports::advice_answer& answer)
    {
        coordinator::task_events out;
        coordinator::handle_advice_answer(term_.fleet, a, answer, term_.now(), out);
        term_.log(out);
        term_.request_plan();
    };
    if (!term_.ctx.advice.ask)
    {
        handle_advice({});
        return;
    }
    term_.ctx.advice.ask(
        coordinator::write_step_name(a.step), a.runners, term_.guarded(handle_advice));
}

void runner_controller::handle_stop_answer(
    const coordinator::stop_action& a, const ports::runner_answer& answer)
{
    coordinator::task_events out;
    const bool still_leads = coordinator::handle_stop_answer(
        term_.fleet, a.host.id, a.task, a.run, answer, term_.now(), out);
    finish_answer(still_leads, a.host.id, out);
    term_.request_plan();
}

void runner_controller::stop(const coordinator::stop_action& a)
{
    if (!term_.lead->holds_lease())
    {
        handle_stop_answer(a, {runner_verdict::not_sent, -1});
        return;
    }
    const auto token = coordinator::fencing_token_for(term_.fleet, a.host.id);
    ports::stop_order order{workflow::write_task_name(a.task), a.run, token};
    const auto order_id = record_sent();
    send_repeated(term_.shared_from_this(),
        sender_to(a.host,
            [this, order](const auto& to, auto on_answer)
            { term_.ctx.runners.stop(to, order, std::move(on_answer)); }),
        term_.guarded(
            [this, a, order_id, token](const ports::runner_answer& answer, bool)
            {
                record_answered(order_id);
                handle_stop_answer(
                    a, coordinator::without_own_refusal(term_.fleet, a.host.id, token, answer));
            }));
}

void runner_controller::stop_orphaned_runs()
{
    if (!term_.lead->holds_lease())
    {
        return; // the orphaned runs stay listed
    }
    const auto orphaned = std::exchange(term_.fleet.orphaned_runs, {});
    for (const auto& it : orphaned)
    {
        const auto host = term_.fleet.hosts.find(it.host);
        if (host == term_.fleet.hosts.end())
        {
            continue;
        }
        const auto name = it.host + '/' + it.task + '/' + std::to_string(it.number);
        if (!orphan_stops_in_flight_.insert(name).second)
        {
            continue;
        }
        const auto token = coordinator::fencing_token_for(term_.fleet, it.host);
        ports::stop_order order{it.task, it.number, token};
        term_.ctx.runners.stop(host->second.ref,
            std::move(order),
            term_.guarded(
                [this, it, name, token](const ports::runner_answer& answer)
                {
                    orphan_stops_in_flight_.erase(name);
                    const auto verdict =
                        coordinator::without_own_refusal(term_.fleet, it.host, token, answer)
                            .verdict;
                    finish_answer(verdict != runner_verdict::fenced, it.host, {});
                }));
    }
}

} // namespace camphorhitch::hosted
