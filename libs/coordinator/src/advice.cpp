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

ask_action plan_ask(fleet& f,
    job_entry& j,
    int occurrence,
    int step,
    const std::vector<host_entry*>& hosts,
    core::mono_time now)
{
    const auto& s = f.settings;
    ask_action out{{j.spec.id, occurrence, step, 0}, {}};
    auto& a = advice_of(j, occurrence, step);
    if (a.request_in_flight || now < a.not_before ||
        f.advice_requests_in_flight >= s.max_advice_requests)
    {
        return out;
    }
    // Each runner that is named costs time: no more of them than the step has tasks waiting, and a
    // few for those that may not.
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

void advice_answered(fleet& f,
    const ask_action& asked,
    const ports::advice_answer& answer,
    core::mono_time now,
    task_events& out)
{
    --f.advice_requests_in_flight;
    auto* const j = find_job(f, asked.step.job);
    if (j == nullptr || workflow::is_final(j->state))
    {
        return;
    }
    auto& a = advice_of(*j, asked.step.occurrence, asked.step.step);
    a.request_in_flight = false;
    out.push_back({"advice",
        write_step_name(asked.step),
        0,
        "",
        "asked=" + std::to_string(asked.runners.size()) + " good=" +
            std::to_string(answer.tickets.size()) + (answer.known ? "" : " unanswered=1")});
    if (!answer.known)
    {
        a.not_before = now + f.settings.advice_retry_delay;
        return;
    }
    a.rejected_hosts.insert(asked.runners.begin(), asked.runners.end());
    for (const auto& it : answer.tickets)
    {
        a.rejected_hosts.erase(it.runner);
        a.tickets[it.runner] = {it.ticket, now + answer.validity - f.settings.ticket_margin};
    }
}

/// A ticket's end is reckoned from when the answer is taken in. Where that lay unread, or the
/// machine was suspended, the ticket ends sooner, and each start with it would be refused until the
/// reckoned end. The runner's refusal is the proof; reckoned from the call, tickets of a slow
/// service would end before they came.
void ticket_refused(fleet& f, const workflow::task_name& step, const std::string& host)
{
    if (auto* const j = find_job(f, step.job))
    {
        advice_of(*j, step.occurrence, step.step).tickets.erase(host);
    }
}

} // namespace camphorhitch::coordinator
