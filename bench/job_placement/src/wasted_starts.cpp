#include "parts.hpp"
#include "scheduler.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <set>

namespace camphorhitch::bench
{

namespace
{

constexpr int hosts = 50;
constexpr core::millis tick{200};

struct waste_result
{
    std::string scheduler_name;
    std::int64_t wasted = 0;
    std::size_t jobs_hit = 0;
    int abandoned = 0;
};

/// Submits 2,000 jobs over half an hour, while one worker fails every task at its start.
waste_result measure(std::unique_ptr<scheduler> s, const bench_settings& settings)
{
    waste_result result;
    result.scheduler_name = s->name();
    job_fakes::pool_environment env = make_environment(hosts, 4, false);
    env.platform.all.begin()->second.fails_all = true;
    workload load{settings.seed, {error_model::none, 30, 300, 12, true}};
    env.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_task_of(jobs::job_id_of_task(it.task));
    };
    const int rounds = settings.quick ? 3000 : 9000;
    for (int i = 0; i < rounds; ++i)
    {
        env.now += tick;
        job_fakes::advance(env.platform, env.now, tick);
        if (i % 9 < 2)
        {
            s->submit(env, {load.next()});
        }
        s->step(env);
    }
    const std::string faulty_host = env.platform.all.begin()->first;
    std::set<std::string> hit;
    for (const auto& it : env.platform.starts)
    {
        if (it.host == faulty_host)
        {
            hit.insert(it.job);
        }
    }
    result.wasted = env.platform.wasted_starts;
    result.jobs_hit = hit.size();
    result.abandoned = s->abandoned();
    return result;
}

} // namespace

nlohmann::json measure_faults(const bench_settings& settings)
{
    std::printf("\none of 50 workers fails all it gets\n%-24s %14s %10s %10s\n",
        "",
        "wasted starts",
        "jobs hit",
        "given up");
    auto out = nlohmann::json::array();
    std::vector<std::unique_ptr<scheduler>> schedulers;
    schedulers.push_back(make_first_fit(false));
    schedulers.push_back(make_rounds(core::mono_time{core::millis{1'000'000}}));
    for (auto& it : schedulers)
    {
        const waste_result r = measure(std::move(it), settings);
        std::printf("%-24s %14lld %10zu %10d\n",
            r.scheduler_name.c_str(),
            static_cast<long long>(r.wasted),
            r.jobs_hit,
            r.abandoned);
        out.push_back({{"way", r.scheduler_name},
            {"wasted_starts", r.wasted},
            {"jobs_hit", r.jobs_hit},
            {"given_up", r.abandoned}});
    }
    return out;
}

} // namespace camphorhitch::bench
