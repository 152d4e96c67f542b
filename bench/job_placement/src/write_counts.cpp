#include "jobs/codec.hpp"
#include "parts.hpp"
#include "workload.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace camphorhitch::bench
{

namespace
{

constexpr int hosts = 50;
constexpr core::millis tick{100};
constexpr core::millis poll_interval{2000};

struct write_counter
{
    job_fakes::pool_environment env = make_environment(hosts, 4, false);
    workload load;
    job_fakes::member m = job_fakes::make_member("bench", 1, "e1", env.now);

    explicit write_counter(std::uint64_t seed) : load(seed, {error_model::none, 5, 30, 12, true})
    {
        m.jobs.predecessor_stopped_at = env.now;
        env.platform.behaviour = [this](const ports::task_order& it)
        {
            return load.real_task_of(jobs::job_id_of_task(it.task));
        };
        env.kv.on_stored = [this](const jobs::job_document& d)
        {
            bytes += static_cast<std::int64_t>(jobs::encode(d).size());
        };
    }

    std::int64_t bytes = 0;

    void advance_step()
    {
        env.now += tick;
        job_fakes::advance(env.platform, env.now, tick);
        job_fakes::read_changes(m, env);
        if (env.now - m.polled >= poll_interval)
        {
            job_fakes::poll(m, env);
        }
        job_fakes::step(m, env);
    }

    bool all_ended() const
    {
        for (const auto& b : env.kv.entries)
        {
            for (const auto& it : b.document.jobs)
            {
                if (!jobs::is_terminal(it))
                {
                    return false;
                }
            }
        }
        return true;
    }
};

struct write_result
{
    std::string what;
    std::int64_t writes = 0;
    std::int64_t bytes = 0;
};

/// Counts the writes from submission to end of 1,000 jobs, submitted in bursts of \p burst jobs
/// with \p gap between them.
write_result count_jobs(const std::string& what, int burst, core::millis gap, std::uint64_t seed)
{
    write_counter c{seed};
    core::mono_time next = c.env.now;
    int remaining = 1000;
    while (remaining > 0 || !c.all_ended())
    {
        if (remaining > 0 && c.env.now >= next)
        {
            std::vector<jobs::submission> all;
            all.reserve(static_cast<std::size_t>(burst));
            for (int i = 0; i < burst; ++i)
            {
                all.push_back(c.load.next());
            }
            job_fakes::submit(c.env, all);
            remaining -= burst;
            next += gap;
        }
        c.advance_step();
    }
    return {what, c.env.kv.writes, c.bytes};
}

/// Counts the writes for one burst of 1,000 cancellations, while some of the jobs wait and some
/// run.
write_result count_cancellations(std::uint64_t seed)
{
    write_counter c{seed};
    std::vector<std::string> ids;
    std::vector<jobs::submission> all;
    for (int i = 0; i < 1000; ++i)
    {
        all.push_back(c.load.next());
        all.back().run_time = core::millis{600000};
        ids.push_back(all.back().id);
    }
    job_fakes::submit(c.env, all);
    for (int i = 0; i < 45; ++i)
    {
        c.advance_step();
    }
    const std::int64_t writes = c.env.kv.writes;
    const std::int64_t bytes = c.bytes;
    job_fakes::cancel(c.env, ids);
    for (int i = 0; i < 300; ++i)
    {
        c.advance_step();
    }
    return {"1000 cancellations in a burst", c.env.kv.writes - writes, c.bytes - bytes};
}

} // namespace

nlohmann::json measure_writes(const bench_settings& settings)
{
    const std::vector<write_result> results{
        count_jobs("1000 jobs in one burst", 1000, core::millis{1000}, settings.seed),
        count_jobs("1000 jobs, 10 each second", 10, core::millis{1000}, settings.seed),
        count_jobs("1000 jobs, 1 each second", 1, core::millis{1000}, settings.seed),
        count_cancellations(settings.seed),
    };
    std::printf("\nwrites of documents, submission and end included\n%-34s %8s %12s\n",
        "",
        "writes",
        "kB written");
    auto out = nlohmann::json::array();
    for (const auto& it : results)
    {
        std::printf("%-34s %8lld %12.0f\n",
            it.what.c_str(),
            static_cast<long long>(it.writes),
            static_cast<double>(it.bytes) / 1000);
        out.push_back({{"what", it.what}, {"writes", it.writes}, {"bytes", it.bytes}});
    }
    const auto writes = static_cast<double>(results.back().writes);
    print_goal("writes per 1000 cancellations", writes, "<", 20, writes < 20);
    return out;
}

} // namespace camphorhitch::bench
