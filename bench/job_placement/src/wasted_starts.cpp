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

struct waste
{
    std::string way;
    std::int64_t wasted = 0;
    std::size_t jobs_hit = 0;
    int given_up = 0;
};

/// 2,000 jobs come over half an hour; one worker fails all it gets, at once.
waste measure(std::unique_ptr<scheduler> s, const bench_settings& how)
{
    waste made;
    made.way = s->name();
    job_fakes::world w = make_world(hosts, 4, false);
    w.platform.all.begin()->second.fails_all = true;
    workload load{how.seed, {error_model::none, 30, 300, 12, true}};
    w.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_of(jobs::job_id_of_task(it.task));
    };
    const int rounds = how.quick ? 3000 : 9000;
    for (int i = 0; i < rounds; ++i)
    {
        w.now += tick;
        job_fakes::advance(w.platform, w.now, tick);
        if (i % 9 < 2)
        {
            s->submit(w, {load.next()});
        }
        s->step(w);
    }
    const std::string bad = w.platform.all.begin()->first;
    std::set<std::string> hit;
    for (const auto& it : w.platform.starts)
    {
        if (it.host == bad)
        {
            hit.insert(it.job);
        }
    }
    made.wasted = w.platform.wasted_starts;
    made.jobs_hit = hit.size();
    made.given_up = s->given_up();
    return made;
}

} // namespace

nlohmann::json measure_faults(const bench_settings& how)
{
    std::printf("\none of 50 workers fails all it gets\n%-24s %14s %10s %10s\n",
        "",
        "wasted starts",
        "jobs hit",
        "given up");
    auto out = nlohmann::json::array();
    std::vector<std::unique_ptr<scheduler>> ways;
    ways.push_back(make_first_fit(false));
    ways.push_back(make_rounds(core::mono_time{core::millis{1'000'000}}));
    for (auto& it : ways)
    {
        const waste r = measure(std::move(it), how);
        std::printf("%-24s %14lld %10zu %10d\n",
            r.way.c_str(),
            static_cast<long long>(r.wasted),
            r.jobs_hit,
            r.given_up);
        out.push_back({{"way", r.way},
            {"wasted_starts", r.wasted},
            {"jobs_hit", r.jobs_hit},
            {"given_up", r.given_up}});
    }
    return out;
}

} // namespace camphorhitch::bench
