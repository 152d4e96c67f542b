#include "coordinator/advice.hpp"

#include "bookkeeping.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

step_advice& advice_of(job_entry& j, int occurrence, int step)
{
    return j.advice[static_cast<std::size_t>(occurrence) * j.spec.steps.size() +
                    static_cast<std::size_t>(step)];
}

const step_advice* find_advice(const job_entry& j, int occurrence, int step)
{
    const auto it = j.advice.find(static_cast<std::size_t>(occurrence) * j.spec.steps.size() +
                                  static_cast<std::size_t>(step));
    return it == j.advice.end() ? nullptr : &it->second;
}

} // namespace

std::string write_step_name(const workflow::task_name& step)
{
    return step.job + '.' + std::to_string(step.occurrence) + '.' + std::to_string(step.step);
}

const std::string* find_ticket(
    const job_entry& j, int occurrence, int step, const std::string& host, core::mono_time now)
{
    const auto* const a = find_advice(j, occurrence, step);
    if (a == nullptr)
    {
        return nullptr;
    }
    const auto it = a->tickets.find(host);
    return it == a->tickets.end() || now >= it->second.until ? nullptr : &it->second.text;
}

advice_request plan_advice_request(fleet& f,
    job_entry& j,
    int occurrence,
    int step,
    const std::vector<host_entry*>& hosts,
    core::mono_time now)
{
    const auto& s = f.settings;
    advice_request out{{j.spec.id, occurrence, step, 0}, {}};
    auto& a = advice_of(j, occurrence, step);
    if (a.request_in_flight || now < a.not_before ||
        f.advice_requests_in_flight >= s.max_advice_requests)
    {
        return out;
    }
    // Each runner in a request takes processing time of the service. The request names as many as
    // the step has waiting tasks, and a few more in case some are rejected.
    const int waiting = step_of(j, occurrence, step).idle;
    const auto wanted = static_cast<std::size_t>(waiting) + s.extra_runners_asked;
    for (const auto* const h : hosts)
    {
        const bool settled = a.rejected_hosts.contains(h->ref.id) ||
                             find_ticket(j, occurrence, step, h->ref.id, now) != nullptr;
        if (!settled && out.runners.size() < std::min(wanted, s.max_runners_per_request))
        {
            out.runners.push_back(h->ref.id);
        }
    }
    if (!out.runners.empty())
    {
        a.request_in_flight = true;
        ++f.advice_requests_in_flight;
    }
    return out;
}

void handle_advice_answer(fleet& f,
    const advice_request& request,
    const ports::advice_answer& answer,
    core::mono_time now,
    task_events& out)
{
    --f.advice_requests_in_flight;
    auto* const j = find_job(f, request.step.job);
    if (j == nullptr || workflow::is_final(j->state))
    {
        return;
    }
    auto& a = advice_of(*j, request.step.occurrence, request.step.step);
    a.request_in_flight = false;
    out.push_back({"advice",
        write_step_name(request.step),
        0,
        "",
        "asked=" + std::to_string(request.runners.size()) + " good=" +
            std::to_string(answer.tickets.size()) + (answer.known ? "" : " unanswered=1")});
    if (!answer.known)
    {
        a.not_before = now + f.settings.advice_retry_delay;
        return;
    }
    a.rejected_hosts.insert(request.runners.begin(), request.runners.end());
    for (const auto& it : answer.tickets)
    {
        a.rejected_hosts.erase(it.runner);
        a.tickets[it.runner] = {it.ticket, now + answer.validity - f.settings.ticket_margin};
    }
}

/// The end of a ticket is computed from the time at which the answer is applied. If the answer was
/// unread for a while, or the machine was suspended, the ticket ends sooner, and each start with it
/// would be refused until the computed end. The refusal of the runner shows this. If the end were
/// computed from the time of the request, tickets of a slow service would end before they arrive.
void discard_ticket(fleet& f, const workflow::task_name& step, const std::string& host)
{
    if (auto* const j = find_job(f, step.job))
    {
        advice_of(*j, step.occurrence, step.step).tickets.erase(host);
    }
}

} // namespace camphorhitch::coordinator
