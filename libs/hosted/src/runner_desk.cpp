#include "runner_desk.hpp"

#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"
#include "workflow/records.hpp"

namespace camphorhitch::hosted
{

using ports::runner_verdict;

runner_desk::runner_desk(term& t) : term_(t)
{
}

void runner_desk::poll_all()
{
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        if (!polling_.contains(id))
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

void runner_desk::poll(const std::string& host)
{
    const auto found = term_.fleet.hosts.find(host);
    if (found == term_.fleet.hosts.end() || !term_.lead->holds())
    {
        polling_.erase(host);
        return;
    }
    auto& h = found->second;
    ports::poll_order order;
    order.fencing_token = term_.token;
    order.acknowledged_through = h.stored_end;
    order.lease_until_ms = coordinator::lease_end_for(term_.fleet, h, term_.now());
    // The first answer tells the runner's clock, without which no lease can be named, and what a
    // former owner's runner holds, for which others wait.
    order.wait =
        h.clock_ms < 0 || !h.reachable || h.prior ? core::millis{0} : term_.settings.poll_wait;
    coordinator::note_lease(h, order.lease_until_ms);
    const auto begun = term_.now();
    h.polled_at = begun;
    term_.ctx.runners.poll(h.ref,
        order,
        term_.guarded(
            [this, host, begun](const ports::poll_answer& a) { take_poll(host, begun, a); }));
}

core::millis runner_desk::poll_gap() const
{
    constexpr double ms_per_second = 1000;
    const auto hosts = static_cast<double>(term_.fleet.hosts.size());
    const auto fair = ms_per_second * hosts / term_.settings.most_polls_per_second;
    return std::max(term_.settings.poll_gap, core::millis{static_cast<std::int64_t>(fair)});
}

void runner_desk::take_poll(
    const std::string& host, core::mono_time begun, const ports::poll_answer& a)
{
    const auto found = term_.fleet.hosts.find(host);
    const bool first = found != term_.fleet.hosts.end() && found->second.lease_until_ms == 0;
    const bool silent = found != term_.fleet.hosts.end() && !found->second.reachable;
    const auto seen = found == term_.fleet.hosts.end() ? 0 : found->second.seen_end;
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
    poll_later(host, first || !news ? core::millis{0} : poll_gap());
    if (news)
    {
        term_.store_soon();
    }
    term_.wake();
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
}

void runner_desk::start(const coordinator::start_action& a)
{
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
    term_.note_start(a.task, a.run, sent);
    term_.ctx.runners.start(a.host,
        std::move(order),
        term_.guarded(
            [this, a, sent](const ports::runner_answer& answer)
            {
                coordinator::task_events out;
                const auto now = term_.now();
                term_.load.note_start_answer(answer, now - sent);
                term_.ctx.tel.observe("camphorhitch_start_order_seconds",
                    {},
                    std::chrono::duration<double>(now - sent).count());
                const bool owner = coordinator::start_answered(
                    term_.fleet, a.host.id, a.task, a.run, answer, now, out);
                take(owner, a.host.id, out);
                if (answer.verdict != runner_verdict::done)
                {
                    term_.wake();
                }
            }));
}

void runner_desk::send_paces(const std::vector<coordinator::pace_action>& all)
{
    for (const auto& it : all)
    {
        ports::pace_order order{
            workflow::write_task_name(it.task), it.run, it.percent, term_.token};
        term_.ctx.runners.pace(it.host,
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

void runner_desk::stop(const coordinator::stop_action& a)
{
    ports::stop_order order{workflow::write_task_name(a.task), a.run, term_.token};
    ++term_.load.orders_out;
    term_.ctx.runners.stop(a.host,
        std::move(order),
        term_.guarded(
            [this, a](const ports::runner_answer& answer)
            {
                --term_.load.orders_out;
                coordinator::task_events out;
                const bool owner = coordinator::stop_answered(
                    term_.fleet, a.host.id, a.task, a.run, answer, term_.now(), out);
                take(owner, a.host.id, out);
                term_.wake();
            }));
}

void runner_desk::stop_strays()
{
    const auto strays = std::exchange(term_.fleet.strays, {});
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
