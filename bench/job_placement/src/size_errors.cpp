#include "parts.hpp"
#include "scheduler.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace camphorhitch::bench
{

namespace
{

constexpr int hosts = 50;
constexpr core::millis tick{1000};
constexpr int backlog = 400;
constexpr core::millis warm_up{1800000};

struct size_result
{
    std::string scheduler_name;
    std::string errors;
    double used = 0;   ///< mean share of all processors in use
    double useful = 0; ///< share of all processor time that was used by jobs that finished
    double memory = 0; ///< mean share of all memory in use
    int finished = 0;
    int killed = 0; ///< jobs that were killed at least once for lack of memory
    int slowed = 0; ///< jobs that were slowed at least once by a shortage of processors
    int abandoned = 0;
};

struct outcome_counter
{
    std::set<std::string> finished;
    std::set<std::string> killed;
    std::set<std::string> slowed;
    double useful_s = 0; ///< processor seconds

    void record(const job_fakes::worker_task& t, const std::string& job, core::mono_time from)
    {
        const bool ended_before = t.state != ports::task_state::running && t.ended < from;
        if (ended_before)
        {
            return;
        }
        if (t.slowed)
        {
            slowed.insert(job);
        }
        if (t.state == ports::task_state::failed)
        {
            killed.insert(job);
        }
        if (t.state == ports::task_state::finished && finished.insert(job).second)
        {
            useful_s +=
                t.real.size.processors * std::chrono::duration<double>(t.real.run_time).count();
        }
    }
};

jobs::resources used_now(const job_fakes::pool_environment& env)
{
    jobs::resources sum;
    for (const auto& host : env.platform.all)
    {
        jobs::resources on_host;
        for (const auto& it : host.second.tasks)
        {
            const bool runs = it.second.state == ports::task_state::running;
            on_host = on_host + (runs ? job_fakes::current_use(it.second) : jobs::resources{});
        }
        on_host.processors = std::min(on_host.processors, host.second.capacity.processors);
        sum = sum + on_host;
    }
    return sum;
}

size_result measure(
    std::unique_ptr<scheduler> s, error_model errors, const bench_settings& settings)
{
    size_result result;
    result.scheduler_name = s->name();
    job_fakes::pool_environment env = make_environment(hosts, 4, false);
    env.rules.terminal_job_retention = core::millis{120000};
    workload load{settings.seed, {errors, 30, 600, 12, true}};
    env.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_task_of(jobs::job_id_of_task(it.task));
    };
    const core::mono_time from = env.now + warm_up;
    const core::mono_time until = from + core::millis{settings.quick ? 1800000 : 7200000};
    const jobs::resources capacity = capacity_of(env);
    jobs::resources sum;
    double steps = 0;
    outcome_counter seen;
    while (env.now < until)
    {
        env.now += tick;
        job_fakes::advance(env.platform, env.now, tick);
        for (const auto& host : env.platform.all)
        {
            for (const auto& it : host.second.tasks)
            {
                if (env.now >= from)
                {
                    seen.record(it.second, jobs::job_id_of_task(it.first), from);
                }
            }
        }
        if (s->waiting() < backlog)
        {
            std::vector<jobs::submission> more;
            for (int i = s->waiting(); i < backlog; ++i)
            {
                more.push_back(load.next());
            }
            s->submit(env, more);
        }
        s->step(env);
        if (env.now >= from)
        {
            sum = sum + used_now(env);
            steps += 1;
        }
    }
    const double seconds = steps * std::chrono::duration<double>(tick).count();
    result.used = sum.processors / steps / capacity.processors;
    result.memory = sum.memory_gb / steps / capacity.memory_gb;
    result.useful = seen.useful_s / (capacity.processors * seconds);
    result.finished = static_cast<int>(seen.finished.size());
    result.killed = static_cast<int>(seen.killed.size());
    result.slowed = static_cast<int>(seen.slowed.size());
    result.abandoned = s->abandoned();
    return result;
}

void print(const size_result& it)
{
    const double thousands = it.finished / 1000.0;
    std::printf("%-8s %-24s %8.1f%% %8.1f%% %8.1f%% %9d %9.1f %9.1f %9d\n",
        it.errors.c_str(),
        it.scheduler_name.c_str(),
        it.used * 100,
        it.useful * 100,
        it.memory * 100,
        it.finished,
        it.killed / thousands,
        it.slowed / thousands,
        it.abandoned);
}

nlohmann::json to_json(const size_result& it)
{
    return {{"way", it.scheduler_name},
        {"errors", it.errors},
        {"processors_used", it.used},
        {"useful", it.useful},
        {"memory_used", it.memory},
        {"finished", it.finished},
        {"killed_for_memory", it.killed},
        {"slowed", it.slowed},
        {"given_up", it.abandoned}};
}

double affected_per_thousand(const size_result& it)
{
    return 1000.0 * (it.killed + it.slowed) / it.finished;
}

} // namespace

nlohmann::json measure_sizes(const bench_settings& settings)
{
    std::printf("\ndeclared sizes off by 0.3x to 3x, 50 workers, always 400 jobs waiting; killed "
                "and slowed "
                "for each 1000 jobs finished\n%-8s %-24s %9s %9s %9s %9s %9s %9s %9s\n",
        "errors",
        "",
        "used",
        "useful",
        "memory",
        "finished",
        "killed",
        "slowed",
        "given up");
    auto out = nlohmann::json::array();
    const std::vector<std::pair<error_model, const char*>> models{
        {error_model::by_kind, "by kind"}, {error_model::by_job, "by job"}};
    for (const auto& model : models)
    {
        std::vector<size_result> results;
        std::vector<std::unique_ptr<scheduler>> schedulers;
        schedulers.push_back(make_first_fit(false));
        schedulers.push_back(make_first_fit(true));
        schedulers.push_back(make_rounds(core::mono_time{core::millis{1'000'000}}));
        for (auto& it : schedulers)
        {
            results.push_back(measure(std::move(it), model.first, settings));
            results.back().errors = model.second;
            print(results.back());
            out.push_back(to_json(results.back()));
        }
        const size_result& base = results.front();
        const size_result& rounds_result = results.back();
        const double ratio = rounds_result.useful / base.useful;
        print_goal("useful processor time over baseline's", ratio, ">=", 1.25, ratio >= 1.25);
        const double affected = affected_per_thousand(rounds_result);
        const double base_affected = affected_per_thousand(base);
        print_goal("jobs hurt per 1000, against baseline's",
            affected,
            "<=",
            base_affected,
            affected <= base_affected);
    }
    return out;
}

} // namespace camphorhitch::bench
