#include "checkpoints.hpp"

#include "bookkeeping.hpp"

#include <map>
#include <tuple>
#include <utility>

namespace camphorhitch::coordinator
{

namespace
{

/// A checkpoint with the number of its run.
using run_checkpoint = std::pair<std::int64_t, std::string>;

workflow::task_progress& progress_of_member(
    job_entry& j, const workflow::task_name& name, int member)
{
    return j.tasks[workflow::task_index(j.spec, name.occurrence, name.step, member)].progress;
}

void set_gang_checkpoint(job_entry& j, const workflow::task_name& name, const run_checkpoint& it)
{
    for (int i = 0; i < step_spec(j, name).tasks; ++i)
    {
        auto& p = progress_of_member(j, name, i);
        p.checkpoint_run = it.first;
        p.checkpoint = it.second;
    }
}

/// \return the newest of the members' checkpoints; an empty one if they have none.
run_checkpoint find_newest_checkpoint(job_entry& j, const workflow::task_name& name)
{
    std::map<run_checkpoint, int> members;
    for (int i = 0; i < step_spec(j, name).tasks; ++i)
    {
        const auto& p = progress_of_member(j, name, i);
        if (!p.checkpoint.empty())
        {
            ++members[{p.checkpoint_run, p.checkpoint}];
        }
    }
    run_checkpoint newest;
    int most = 0;
    for (const auto& [it, n] : members)
    {
        if (std::tie(it.first, n) > std::tie(newest.first, most))
        {
            newest = it;
            most = n;
        }
    }
    return newest;
}

} // namespace

void record_checkpoint(
    job_entry& j, const workflow::task_name& name, std::int64_t run, const std::string& checkpoint)
{
    auto& known = progress_of_member(j, name, name.index);
    if (checkpoint.empty())
    {
        return;
    }
    if (!step_spec(j, name).gang)
    {
        known.checkpoint = checkpoint;
        return;
    }
    const bool outdated = known.done || run < known.checkpoint_run;
    if (!outdated && (run != known.checkpoint_run || checkpoint != known.checkpoint))
    {
        set_gang_checkpoint(j, name, {run, checkpoint});
    }
}

void unify_gang_checkpoints(job_entry& j)
{
    for (int k = 0; k < workflow::occurrence_count(j.spec); ++k)
    {
        for (std::size_t i = 0; i < j.spec.steps.size(); ++i)
        {
            const workflow::task_name first{j.spec.id, k, static_cast<int>(i), 0};
            if (j.spec.steps[i].gang)
            {
                set_gang_checkpoint(j, first, find_newest_checkpoint(j, first));
            }
        }
    }
}

} // namespace camphorhitch::coordinator
