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
    std::string way;
    std::string errors;
    double used = 0;   ///< share of all processors in use
    double useful = 0; ///< share of all processor time that went into jobs that finished
    double memory = 0; ///< share of all memory in use
    int finished = 0;
    int killed = 0; ///< jobs killed because memory was short, at least once
    int slowed = 0; ///< jobs that processors were short for, at least once
    int given_up = 0;
};

struct watcher
{
    std::set<std::string> finished;
    std::set<std::string> killed;
    std::set<std::string> slowed;
    double useful_s = 0; ///< processor seconds

    void look(const job_fakes::worker_task& t, const std::string& job, core::mono_time from)
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

jobs::resources used_now(const job_fakes::world& w)
{
    jobs::resources sum;
    for (const auto& host : w.platform.all)
    {
        jobs::resources on_host;
        for (const auto& it : host.second.tasks)
        {
            const bool runs = it.second.state == ports::task_state::running;
            on_host = on_host + (runs ? job_fakes::use_of(it.second) : jobs::resources{});
        }
        on_host.processors = std::min(on_host.processors, host.second.capacity.processors);
        sum = sum + on_host;
    }
    return sum;
}

size_result measure(std::unique_ptr<scheduler> s, error_model errors, const bench_settings& how)
{
    size_result made;
    made.way = s->name();
    job_fakes::world w = make_world(hosts, 4, false);
    w.rules.terminal_job_retention = core::millis{120000};
    workload load{how.seed, {errors, 30, 600, 12, true}};
    w.platform.behaviour = [&](const ports::task_order& it)
    {
        return load.real_of(jobs::job_id_of_task(it.task));
    };
    const core::mono_time from = w.now + warm_up;
    const core::mono_time until = from + core::millis{how.quick ? 1800000 : 7200000};
    const jobs::resources capacity = capacity_of(w);
    jobs::resources sum;
    double steps = 0;
    watcher seen;
    while (w.now < until)
    {
        w.now += tick;
        job_fakes::advance(w.platform, w.now, tick);
        for (const auto& host : w.platform.all)
        {
            for (const auto& it : host.second.tasks)
            {
                if (w.now >= from)
                {
                    seen.look(it.second, jobs::job_id_of_task(it.first), from);
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
            s->submit(w, more);
        }
        s->step(w);
        if (w.now >= from)
        {
            sum = sum + used_now(w);
            steps += 1;
        }
    }
    const double seconds = steps * std::chrono::duration<double>(tick).count();
    made.used = sum.processors / steps / capacity.processors;
    made.memory = sum.memory_gb / steps / capacity.memory_gb;
    made.useful = seen.useful_s / (capacity.processors * seconds);
    made.finished = static_cast<int>(seen.finished.size());
    made.killed = static_cast<int>(seen.killed.size());
    made.slowed = static_cast<int>(seen.slowed.size());
    made.given_up = s->given_up();
    return made;
}

void print(const size_result& it)
{
    const double thousands = it.finished / 1000.0;
    std::printf("%-8s %-24s %8.1f%% %8.1f%% %8.1f%% %9d %9.1f %9.1f %9d\n",
        it.errors.c_str(),
        it.way.c_str(),
        it.used * 100,
        it.useful * 100,
        it.memory * 100,
        it.finished,
        it.killed / thousands,
        it.slowed / thousands,
        it.given_up);
}

nlohmann::json to_json(const size_result& it)
{
    return {{"way", it.way},
        {"errors", it.errors},
        {"processors_used", it.used},
        {"useful", it.useful},
        {"memory_used", it.memory},
        {"finished", it.finished},
        {"killed_for_memory", it.killed},
        {"slowed", it.slowed},
        {"given_up", it.given_up}};
}

double hurt_per_thousand(const size_result& it)
{
    return 1000.0 * (it.killed + it.slowed) / it.finished;
}

} // namespace

nlohmann::json measure_sizes(const bench_settings& how)
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
        std::vector<std::unique_ptr<scheduler>> ways;
        ways.push_back(make_first_fit(false));
        ways.push_back(make_first_fit(true));
        ways.push_back(make_rounds(core::mono_time{core::millis{1'000'000}}));
        for (auto& it : ways)
        {
            results.push_back(measure(std::move(it), model.first, how));
            results.back().errors = model.second;
            print(results.back());
            out.push_back(to_json(results.back()));
        }
        const size_result& base = results.front();
        const size_result& ours = results.back();
        const double ratio = ours.useful / base.useful;
        print_goal("useful processor time over baseline's", ratio, ">=", 1.25, ratio >= 1.25);
        const double hurt = hurt_per_thousand(ours);
        const double base_hurt = hurt_per_thousand(base);
        print_goal(
            "jobs hurt per 1000, against baseline's", hurt, "<=", base_hurt, hurt <= base_hurt);
    }
    return out;
}

} // namespace camphorhitch::bench
