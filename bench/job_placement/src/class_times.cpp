#include "parts.hpp"
#include "scheduler.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace camphorhitch::bench
{

namespace
{

constexpr int hosts = 50;
constexpr core::millis tick{20};    // about the duration of a write or an order
constexpr double urgent_rate = 0.5; // jobs per second
constexpr double quick_rate = 2;    // jobs per second

struct class_times
{
    std::string name;
    std::vector<double> urgent_ms;
    std::vector<double> quick_ms;
    int never_started = 0;
    std::int64_t throttles = 0;
    std::int64_t checkpoints = 0;
};

jobs::submission make_short(workload& load, int n, jobs::job_class klass)
{
    jobs::submission s;
    s.id = (klass == jobs::job_class::urgent ? "urgent-" : "quick-") + std::to_string(n);
    s.team = "lens";
    s.kind = "short";
    s.klass = klass;
    s.declared.processors = std::floor(load.uniform(1, 5));
    s.declared.memory_gb = s.declared.processors * 3;
    s.run_time = core::millis{static_cast<std::int64_t>(load.uniform(2000, 15000))};
    s.idempotent = true;
    return s;
}

bool is_short(const std::string& job)
{
    return job.rfind("job-", 0) != 0;
}

void count_commands(job_fakes::pool_environment& env, class_times& result)
{
    env.on_action = [&](const jobs::action& it)
    {
        if (const auto* c = std::get_if<jobs::command_tasks>(&it))
        {
            const auto n = static_cast<std::int64_t>(c->tasks.size());
            result.throttles += c->what == ports::task_action::throttle ? n : 0;
            result.checkpoints += c->what == ports::task_action::checkpoint ? n : 0;
        }
    };
}

/// Measures the time from submission to start of urgent and quick jobs, while long jobs fill all
/// hosts and hundreds of them wait.
class_times measure(std::unique_ptr<scheduler> s, const bench_settings& settings)
{
    class_times result;
    result.name = s->name();
    job_fakes::pool_environment env = make_environment(hosts, 4, false);
    env.rounds_per_step = 1;
    count_commands(env, result);
    workload load{settings.seed, {error_model::none, 120, 1800, 12, false}};
    env.platform.behaviour = [&](const ports::task_order& it)
    {
        const std::string job = jobs::job_id_of_task(it.task);
        return is_short(job)
                   ? job_fakes::real_task{{it.processors, it.memory_gb, 0}, it.run_time, {}, false}
                   : load.real_task_of(job);
    };
    std::vector<jobs::submission> all;
    all.reserve(600);
    for (int i = 0; i < 600; ++i)
    {
        all.push_back(load.next());
    }
    s->submit(env, all);
    std::map<std::string, core::mono_time> submitted;
    std::size_t seen = 0;
    int n = 0;
    const core::mono_time from = env.now + core::millis{60000};
    const core::mono_time until = from + core::millis{settings.quick ? 120000 : 600000};
    double next_urgent_s = 0;
    double next_quick_s = 0;
    while (env.now < until + core::millis{60000})
    {
        env.now += tick;
        job_fakes::advance(env.platform, env.now, tick);
        const double at_s = std::chrono::duration<double>(env.now - from).count();
        const auto arrive = [&](double& next_s, double rate, jobs::job_class klass)
        {
            while (at_s >= next_s && env.now < until)
            {
                next_s += load.next_gap_s(rate);
                const jobs::submission job = make_short(load, ++n, klass);
                submitted[job.id] = env.now;
                s->submit(env, {job});
            }
        };
        arrive(next_urgent_s, urgent_rate, jobs::job_class::urgent);
        arrive(next_quick_s, quick_rate, jobs::job_class::quick);
        s->step(env);
        for (; seen < env.platform.starts.size(); ++seen)
        {
            const auto it = submitted.find(env.platform.starts[seen].job);
            if (it == submitted.end())
            {
                continue;
            }
            const double ms =
                std::chrono::duration<double, std::milli>(env.now - it->second).count();
            (it->first[0] == 'u' ? result.urgent_ms : result.quick_ms).push_back(ms);
            submitted.erase(it);
        }
    }
    result.never_started = static_cast<int>(submitted.size());
    return result;
}

} // namespace

nlohmann::json measure_classes(const bench_settings& settings)
{
    std::printf("\nsubmission to start beside long jobs on full hosts, 50 workers, ms\n"
                "%-24s %9s %9s %9s %9s %9s %9s %9s %9s\n",
        "",
        "urg. p50",
        "urg. p99",
        "urg. max",
        "quick p50",
        "quick p99",
        "never",
        "throttled",
        "checkp.");
    auto out = nlohmann::json::array();
    double p99 = 0;
    std::vector<std::unique_ptr<scheduler>> schedulers;
    schedulers.push_back(make_first_fit(false));
    schedulers.push_back(make_first_fit(true));
    schedulers.push_back(make_rounds(core::mono_time{core::millis{1'000'000}}));
    for (auto& it : schedulers)
    {
        const class_times t = measure(std::move(it), settings);
        p99 = quantile(t.urgent_ms, 0.99);
        std::printf("%-24s %9.0f %9.0f %9.0f %9.0f %9.0f %9d %9lld %9lld\n",
            t.name.c_str(),
            quantile(t.urgent_ms, 0.5),
            p99,
            quantile(t.urgent_ms, 1),
            quantile(t.quick_ms, 0.5),
            quantile(t.quick_ms, 0.99),
            t.never_started,
            static_cast<long long>(t.throttles),
            static_cast<long long>(t.checkpoints));
        out.push_back({{"way", t.name},
            {"urgent_p50_ms", quantile(t.urgent_ms, 0.5)},
            {"urgent_p99_ms", p99},
            {"urgent_max_ms", quantile(t.urgent_ms, 1)},
            {"quick_p50_ms", quantile(t.quick_ms, 0.5)},
            {"quick_p99_ms", quantile(t.quick_ms, 0.99)},
            {"never_started", t.never_started},
            {"urgent", t.urgent_ms.size()},
            {"throttled", t.throttles},
            {"checkpointed", t.checkpoints}});
    }
    print_goal("urgent p99 ms", p99, "<=", 1000, p99 <= 1000);
    return out;
}

} // namespace camphorhitch::bench
