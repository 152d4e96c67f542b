#include "parts.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace camphorhitch::bench
{

namespace
{

constexpr int waiting_jobs = 10000;
constexpr core::millis tick{1000};

struct round_times
{
    int hosts = 0;
    double first_ms = 0; ///< first round: 10,000 jobs waiting, all hosts empty
    int first_placed = 0;
    std::vector<double> later_ms; ///< later rounds: 10,000 jobs waiting, hosts nearly full
    std::int64_t placed = 0;
    std::int64_t considered = 0; ///< sum over the later rounds of the waiting jobs
};

/// \return settings without the usual bounds on jobs and documents, which are not sized for a
/// single pool of 1,100 workers.
jobs::settings large_pool_settings()
{
    jobs::settings rules;
    rules.max_jobs = 100000;
    rules.max_document_bytes = std::size_t{1} << 30;
    rules.terminal_job_retention = core::millis{60000};
    rules.min_terminal_job_retention = core::millis{60000};
    return rules;
}

void refill_queue(job_fakes::pool_environment& env, workload& load, int waiting)
{
    std::vector<jobs::submission> all;
    for (int i = waiting; i < waiting_jobs; ++i)
    {
        all.push_back(load.next());
    }
    job_fakes::submit(env, all);
}

int count_waiting(const job_fakes::pool_environment& env)
{
    int n = 0;
    for (const auto& b : env.kv.entries)
    {
        for (const auto& it : b.document.jobs)
        {
            n += it.state == jobs::job_state::waiting ? 1 : 0;
        }
    }
    return n;
}

/// Measures the time of the decision alone, without the fakes' reads, writes and orders.
class round_clock
{
public:
    explicit round_clock(job_fakes::pool_environment& env)
    {
        env.before_round = [this]
        {
            begin_ = clock::now();
        };
        env.after_round = [this]
        {
            const std::chrono::duration<double, std::milli> elapsed = clock::now() - begin_;
            times_ms.push_back(elapsed.count());
        };
    }

    std::vector<double> times_ms;

private:
    using clock = std::chrono::steady_clock;
    clock::time_point begin_;
};

round_times measure(int hosts, int rounds, std::uint64_t seed)
{
    round_times result;
    result.hosts = hosts;
    job_fakes::pool_environment env = make_environment(hosts, 6, true);
    env.rules = large_pool_settings();
    workload load{seed, {error_model::by_kind, 30, 600, 12, false}};
    env.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_task_of(jobs::job_id_of_task(it.task));
    };
    job_fakes::member m = job_fakes::make_member("bench", 1, "e1", env.now);
    m.jobs.predecessor_stopped_at = env.now;
    refill_queue(env, load, 0);
    round_clock timed{env};
    job_fakes::read_changes(m, env);
    job_fakes::step(m, env);
    result.first_ms = *std::max_element(timed.times_ms.begin(), timed.times_ms.end());
    result.first_placed = static_cast<int>(env.platform.starts.size());
    for (int i = 0; i < rounds; ++i)
    {
        env.now += tick;
        job_fakes::advance(env.platform, env.now, tick);
        refill_queue(env, load, count_waiting(env));
        job_fakes::read_changes(m, env);
        job_fakes::poll(m, env);
        const auto starts = static_cast<std::int64_t>(env.platform.starts.size());
        timed.times_ms.clear();
        job_fakes::step(m, env);
        result.later_ms.insert(result.later_ms.end(), timed.times_ms.begin(), timed.times_ms.end());
        result.placed += static_cast<std::int64_t>(env.platform.starts.size()) - starts;
        result.considered += waiting_jobs * static_cast<std::int64_t>(timed.times_ms.size());
    }
    return result;
}

} // namespace

nlohmann::json measure_rounds(const bench_settings& settings)
{
    std::printf("\nplacement rounds, 10000 jobs waiting\n%8s %10s %10s %10s %10s %10s %12s %12s\n",
        "workers",
        "first ms",
        "placed",
        "p50 ms",
        "p99 ms",
        "max ms",
        "placed/s",
        "decided/s");
    auto out = nlohmann::json::array();
    double p99 = 0;
    for (const int hosts : {50, 1100})
    {
        const round_times it = measure(hosts, settings.quick ? 40 : 300, settings.seed);
        double seconds = 0;
        for (const double ms : it.later_ms)
        {
            seconds += ms / 1000;
        }
        p99 = quantile(it.later_ms, 0.99);
        const double max_ms = quantile(it.later_ms, 1);
        std::printf("%8d %10.1f %10d %10.2f %10.2f %10.2f %12.0f %12.0f\n",
            hosts,
            it.first_ms,
            it.first_placed,
            quantile(it.later_ms, 0.5),
            p99,
            max_ms,
            static_cast<double>(it.placed) / seconds,
            static_cast<double>(it.considered) / seconds);
        out.push_back({{"workers", hosts},
            {"first_ms", it.first_ms},
            {"first_placed", it.first_placed},
            {"p50_ms", quantile(it.later_ms, 0.5)},
            {"p99_ms", p99},
            {"max_ms", max_ms},
            {"rounds", it.later_ms.size()},
            {"placed_per_s", static_cast<double>(it.placed) / seconds},
            {"decided_per_s", static_cast<double>(it.considered) / seconds}});
    }
    print_goal("round at 1100 workers, p99 ms", p99, "<", 50, p99 < 50);
    return out;
}

} // namespace camphorhitch::bench
