#include "forecast_order.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

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

const char* explain_outlook(job_outlook outlook)
{
    switch (outlook)
    {
    case job_outlook::in_time:
        return "it can still be in time";
    case job_outlook::late:
        return "it can't be in time any more with the capacity of the pool, so jobs that can come "
               "first";
    case job_outlook::worthless:
        break;
    }
    return "its result has no value any more, so all other jobs come first";
}

/// \return whether \p a is served before \p b, two jobs of one pool with an outlook. The shares of
/// other rules than share_rule::rate are left out.
bool is_ahead(const job_entry& a, const job_entry& b)
{
    const auto key = [](const job_entry& it)
    {
        return std::tuple(it.beyond_share,
            *it.forecast.outlook,
            !has_started(it),
            it.spec.priority,
            it.forecast.due);
    };
    return key(a) < key(b);
}

} // namespace

std::string describe_forecast(const fleet& f, const job_entry& j)
{
    const auto pool = f.forecasts.find(j.spec.pool);
    if (!j.forecast.outlook || pool == f.forecasts.end())
    {
        return {};
    }
    int ahead = 0;
    int started = 0;
    for (const auto& id : f.open_jobs)
    {
        const auto& it = *f.jobs.at(id);
        const bool counts = it.spec.pool == j.spec.pool && &it != &j && it.forecast.outlook &&
                            !workflow::is_final(it.state) && is_ahead(it, j);
        ahead += counts ? 1 : 0;
        started += counts && has_started(it) ? 1 : 0;
    }
    auto out = std::string{"outlook "} +
               std::string{core::name_of(job_outlook_names, *j.forecast.outlook)} + ": " +
               explain_outlook(*j.forecast.outlook) + "; ahead of it " + std::to_string(ahead) +
               " jobs of the pool, " + std::to_string(started) + " of them started";
    if (pool->second.overdue_job == j.spec.id)
    {
        out += "; as the oldest late job it may use a part of the cores before all others";
    }
    return out;
}

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
    const bool in_time = *outlook == job_outlook::in_time;
    // The outlook of a scheduled job is that of its newest occurrence; earlier ones are later.
    w.worthless = *outlook == job_outlook::worthless || (scheduled && w.worthless);
    w.late = w.late && (scheduled || !in_time);
    w.deferred = !in_time;
    w.started = has_started(*w.job);
}

bool is_named_before(const waiting_step& a, const waiting_step& b)
{
    return std::tie(a.job->spec.id, a.occurrence, a.step) <
           std::tie(b.job->spec.id, b.occurrence, b.step);
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
