#include "given_up.hpp"

#include "bookkeeping.hpp"

#include <algorithm>

namespace camphorhitch::coordinator
{

namespace
{

/// A confirmed run has ended with its leases, after which its runner refuses the order.
bool may_be_carried_out(const run_entry& it)
{
    return it.phase != run_phase::running && !it.stop_confirmed;
}

} // namespace

void give_up_starts(fleet& f, const host_entry& h, task_events& out)
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
            if (it.host == h.ref.id && may_be_carried_out(it))
            {
                f.abandoned_starts[h.ref.id].push_back({name, it.number, false, {}});
                note(out, "start_given_up", name, it.number, h.ref.id, "no answer to its order");
            }
        }
    }
}

void stop_given_up(fleet& f, core::mono_time now, plan& to)
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
            if (to.room <= 0)
            {
                to.cut = true;
                return;
            }
            --to.room;
            it.stop_in_flight = true;
            to.stops.push_back({h->ref, it.task, it.number});
        }
    }
}

void given_up_answered(fleet& f,
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
