#include "forecast_order.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace camphorhitch::coordinator
{

namespace
{

const workflow::step& spec_of(const waiting_step& w)
{
    return w.job->spec.steps[static_cast<std::size_t>(w.step)];
}

/// \param left cores that overdue work may still occupy; reduced by the result
/// \return number of tasks of the step that may start: at least one task or gang when no overdue
/// work runs, since it might never run otherwise.
int take_overdue_starts(const workflow::step& s, bool runs, double& left)
{
    constexpr double milli = 1000.0;
    const double each = static_cast<double>(std::max<std::int64_t>(s.need.cpu, 1)) / milli;
    const int within = static_cast<int>(std::clamp<double>(left / each, 0, s.tasks));
    const int least = s.gang ? s.tasks : 1;
    const int n = runs ? within : std::max(within, least);
    left -= n * each;
    return n;
}

} // namespace

void apply_forecast(waiting_step& w)
{
    const auto& outlook = w.job->forecast.outlook;
    if (!outlook)
    {
        return;
    }
    if (spec_of(w).long_running)
    {
        w.started = true; // long-running tasks keep their place before new batch jobs
        return;
    }
    const bool scheduled = workflow::is_scheduled(w.job->spec);
    // The outlook of a scheduled job is that of its newest occurrence; earlier ones are later.
    w.worthless = *outlook == job_outlook::worthless || (scheduled && w.worthless);
    w.late = *outlook != job_outlook::in_time || (scheduled && w.late);
    w.started = has_started(*w.job);
}

void add_overdue_steps(const fleet& f, std::vector<waiting_step>& all)
{
    struct budget
    {
        double cores;
        bool runs;
    };
    std::map<std::string_view, budget> budgets; // by job
    for (const auto& [pool, it] : f.forecasts)
    {
        if (!it.overdue_job.empty())
        {
            budgets.emplace(it.overdue_job, budget{it.overdue_cores, it.overdue_runs});
        }
    }
    for (std::size_t i = 0, n = all.size(); i < n && !budgets.empty(); ++i)
    {
        const auto found = budgets.find(all[i].job->spec.id);
        if (found == budgets.end() || spec_of(all[i]).long_running)
        {
            continue;
        }
        auto it = all[i];
        it.overdue = true;
        it.max_starts = take_overdue_starts(spec_of(it), found->second.runs, found->second.cores);
        if (it.max_starts > 0)
        {
            found->second.runs = true;
            all.push_back(it);
        }
    }
}

} // namespace camphorhitch::coordinator
