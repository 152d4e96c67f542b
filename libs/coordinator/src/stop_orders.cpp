#include "stop_orders.hpp"

#include "bookkeeping.hpp"
#include "starts.hpp"

#include <algorithm>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

struct due_stop
{
    job_entry* job = nullptr;
    std::size_t task = 0; ///< index in job_entry::tasks
    run_entry* run = nullptr;
    const host_entry* host = nullptr;
};

/// \return whether jobs that can be in time wait for the capacity that the host gets by a stop.
bool has_needed_capacity(const fleet& f, const host_entry& h, core::mono_time now)
{
    const auto found = f.forecasts.find(h.pool);
    return found != f.forecasts.end() && found->second.lacks_capacity && accepts_tasks(f, h, now);
}

void sort_by_need(const fleet& f, core::mono_time now, std::vector<due_stop>& all)
{
    const auto key = [&](const due_stop& it)
    {
        return std::tuple(!has_needed_capacity(f, *it.host, now),
            std::string_view{it.job->spec.id},
            it.task,
            it.run->number);
    };
    std::sort(all.begin(),
        all.end(),
        [&](const due_stop& a, const due_stop& b) { return key(a) < key(b); });
}

std::vector<due_stop> find_due_stops(fleet& f, core::mono_time now)
{
    std::vector<due_stop> out;
    for (const auto& id : f.open_jobs)
    {
        auto& j = *f.jobs.at(id);
        if (j.live_runs == 0)
        {
            continue;
        }
        for (std::size_t i = 0; i < j.tasks.size(); ++i)
        {
            for (auto& it : j.tasks[i].runs)
            {
                const bool due = it.phase == run_phase::stopping && !it.stop_in_flight &&
                                 !it.stop_confirmed && now >= it.stop_retry_at;
                const auto* const h = due ? find_host(f, it.host) : nullptr;
                if (h != nullptr)
                {
                    out.push_back({&j, i, &it, h});
                }
            }
        }
    }
    return out;
}

} // namespace

void order_stops(fleet& f, core::mono_time now, plan& to)
{
    auto all = find_due_stops(f, now);
    if (f.settings.placement.forecasts)
    {
        sort_by_need(f, now, all);
    }
    for (const auto& it : all)
    {
        if (to.remaining_orders <= 0)
        {
            to.truncated = true;
            return;
        }
        --to.remaining_orders;
        it.run->stop_in_flight = true;
        to.stops.push_back(
            {it.host->ref, workflow::name_of_task(it.job->spec, it.task), it.run->number});
    }
}

} // namespace camphorhitch::coordinator
