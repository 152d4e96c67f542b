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
    double first_ms = 0; ///< 10,000 waiting, all hosts empty
    int first_placed = 0;
    std::vector<double> later_ms; ///< 10,000 waiting, hosts nearly full
    std::int64_t placed = 0;
    std::int64_t judged = 0; ///< waiting jobs that the rounds looked at
};

/// Documents as large as this pool needs; one pool of 1,100 workers isn't foreseen by the bounds.
jobs::settings roomy_rules()
{
    jobs::settings rules;
    rules.max_jobs = 100000;
    rules.max_document_bytes = std::size_t{1} << 30;
    rules.terminal_job_retention = core::millis{60000};
    rules.min_terminal_job_retention = core::millis{60000};
    return rules;
}

void top_up(job_fakes::world& w, workload& load, int waiting)
{
    std::vector<jobs::submission> all;
    for (int i = waiting; i < waiting_jobs; ++i)
    {
        all.push_back(load.next());
    }
    job_fakes::submit(w, all);
}

int count_waiting(const job_fakes::world& w)
{
    int n = 0;
    for (const auto& b : w.kv.entries)
    {
        for (const auto& it : b.document.jobs)
        {
            n += it.state == jobs::job_state::waiting ? 1 : 0;
        }
    }
    return n;
}

/// Times the decision alone: what is read, written and ordered is the fakes' work.
class round_clock
{
public:
    explicit round_clock(job_fakes::world& w)
    {
        w.before_round = [this]
        {
            begin_ = clock::now();
        };
        w.after_round = [this]
        {
            const std::chrono::duration<double, std::milli> took = clock::now() - begin_;
            times_ms.push_back(took.count());
        };
    }

    std::vector<double> times_ms;

private:
    using clock = std::chrono::steady_clock;
    clock::time_point begin_;
};

round_times measure(int hosts, int rounds, std::uint64_t seed)
{
    round_times made;
    made.hosts = hosts;
    job_fakes::world w = make_world(hosts, 6, true);
    w.rules = roomy_rules();
    workload load{seed, {error_model::by_kind, 30, 600, 12, false}};
    w.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_of(jobs::job_id_of_task(it.task));
    };
    job_fakes::member m = job_fakes::make_member("bench", 1, "e1", w.now);
    m.jobs.predecessor_stopped_at = w.now;
    top_up(w, load, 0);
    round_clock timed{w};
    job_fakes::read_changes(m, w);
    job_fakes::step(m, w);
    made.first_ms = *std::max_element(timed.times_ms.begin(), timed.times_ms.end());
    made.first_placed = static_cast<int>(w.platform.starts.size());
    for (int i = 0; i < rounds; ++i)
    {
        w.now += tick;
        job_fakes::advance(w.platform, w.now, tick);
        top_up(w, load, count_waiting(w));
        job_fakes::read_changes(m, w);
        job_fakes::poll(m, w);
        const auto starts = static_cast<std::int64_t>(w.platform.starts.size());
        timed.times_ms.clear();
        job_fakes::step(m, w);
        made.later_ms.insert(made.later_ms.end(), timed.times_ms.begin(), timed.times_ms.end());
        made.placed += static_cast<std::int64_t>(w.platform.starts.size()) - starts;
        made.judged += waiting_jobs * static_cast<std::int64_t>(timed.times_ms.size());
    }
    return made;
}

} // namespace

nlohmann::json measure_rounds(const bench_settings& how)
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
        const round_times it = measure(hosts, how.quick ? 40 : 300, how.seed);
        double seconds = 0;
        for (const double ms : it.later_ms)
        {
            seconds += ms / 1000;
        }
        p99 = quantile(it.later_ms, 0.99);
        const double most = quantile(it.later_ms, 1);
        std::printf("%8d %10.1f %10d %10.2f %10.2f %10.2f %12.0f %12.0f\n",
            hosts,
            it.first_ms,
            it.first_placed,
            quantile(it.later_ms, 0.5),
            p99,
            most,
            static_cast<double>(it.placed) / seconds,
            static_cast<double>(it.judged) / seconds);
        out.push_back({{"workers", hosts},
            {"first_ms", it.first_ms},
            {"first_placed", it.first_placed},
            {"p50_ms", quantile(it.later_ms, 0.5)},
            {"p99_ms", p99},
            {"max_ms", most},
            {"rounds", it.later_ms.size()},
            {"placed_per_s", static_cast<double>(it.placed) / seconds},
            {"decided_per_s", static_cast<double>(it.judged) / seconds}});
    }
    print_goal("round at 1100 workers, p99 ms", p99, "<", 50, p99 < 50);
    return out;
}

} // namespace camphorhitch::bench
