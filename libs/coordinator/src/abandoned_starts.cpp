#include "abandoned_starts.hpp"

#include "bookkeeping.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// Returns false for runs that this incarnation has listed: they ended with their leases or their
/// runner, which refuses to start them again.
bool may_still_start(const run_entry& it)
{
    return !it.listed && !it.stop_confirmed;
}

} // namespace

void abandon_starts(fleet& f, const host_entry& h, task_events& out)
{
    for (const auto& [text, name] : h.runs)
    {
        const auto* const t = find_task(f, name);
        if (t == nullptr)
        {
            continue;
        }
        for (const auto& it : t->runs)
        {
            if (it.host == h.ref.id && may_still_start(it))
            {
                f.abandoned_starts[h.ref.id].push_back({name, it.number, false, {}});
                record_event(out,
                    "start_given_up",
                    name,
                    it.number,
                    h.ref.id,
                    "no answer to the start order");
            }
        }
    }
}

void stop_abandoned_starts(fleet& f, core::mono_time now, plan& to)
{
    for (auto& [host, starts] : f.abandoned_starts)
    {
        const auto* const h = find_host(f, host);
        if (h == nullptr || !h->reachable)
        {
            continue;
        }
        for (auto& it : starts)
        {
            if (it.stop_in_flight || now < it.stop_retry_at)
            {
                continue;
            }
            if (to.remaining_orders <= 0)
            {
                to.truncated = true;
                return;
            }
            --to.remaining_orders;
            it.stop_in_flight = true;
            to.stops.push_back({h->ref, it.task, it.number});
        }
    }
}

void handle_abandoned_start_answer(fleet& f,
    const std::string& host,
    const workflow::task_name& task,
    std::int64_t run,
    ports::runner_verdict verdict,
    core::mono_time now)
{
    const auto found = f.abandoned_starts.find(host);
    if (found == f.abandoned_starts.end())
    {
        return;
    }
    auto& starts = found->second;
    const auto it = std::find_if(starts.begin(),
        starts.end(),
        [&](const abandoned_start& s) { return s.task == task && s.number == run; });
    if (it == starts.end())
    {
        return;
    }
    it->stop_in_flight = false;
    it->stop_retry_at = now + f.settings.stop_retry_delay;
    if (verdict == ports::runner_verdict::done)
    {
        starts.erase(it);
    }
    if (starts.empty())
    {
        f.abandoned_starts.erase(found);
    }
}

} // namespace camphorhitch::coordinator
