/// \file
/// Measures the processor time of a plan of the coordinator in a large, full fleet.
#include "coordinator/answers.hpp"
#include "coordinator/intake.hpp"
#include "coordinator/placement.hpp"
#include "workflow/records.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <random>

namespace
{

using namespace camphorhitch;
using namespace std::chrono_literals;

constexpr int sizes[] = {3000, 6000, 12000}; ///< hosts
constexpr int pools = 4;
constexpr std::int64_t host_cpu = 32000;
constexpr std::int64_t host_memory = 131072;
constexpr int tasks_per_step = 8;
constexpr std::int64_t task_cpu = 8000;
constexpr int tasks_per_host = static_cast<int>(host_cpu / task_cpu);
constexpr int waiting_tasks = 10000;
constexpr int ends_per_plan = 40;
constexpr auto plan_interval = 20ms;
constexpr std::int64_t begin_unix_ms = 1'700'000'000'000;
constexpr int full_plans = 400;
constexpr int quick_plans = 60;

struct variant
{
    const char* name;
    coordinator::placement_policy policy;
};

std::vector<variant> variants()
{
    std::vector<variant> out{{"off", {}}, {"forecasts", {}}, {"all on", {}}};
    out[1].policy.forecasts = true;
    out[2].policy.forecasts = true;
    out[2].policy.packing = coordinator::packing_rule::dominant;
    out[2].policy.shares = coordinator::share_rule::work;
    return out;
}

/// A fleet whose hosts execute what is ordered.
class full_fleet
{
public:
    full_fleet(const coordinator::placement_policy& policy, int hosts) : hosts_(hosts)
    {
        fleet_.settings.placement = policy;
        for (int i = 0; i < hosts_; ++i)
        {
            add_host(i);
        }
        while (jobs_ * tasks_per_step < hosts_ * tasks_per_host + waiting_tasks)
        {
            add_job();
        }
        run_plan();
    }

    /// \return the processor time of the next plan, in milliseconds.
    double measure_plan()
    {
        now_ += plan_interval;
        for (auto& [id, h] : fleet_.hosts)
        {
            h.last_answer_at = now_;
        }
        for (int i = 0; i < ends_per_plan; ++i)
        {
            end_a_run();
        }
        for (int i = 0; i < ends_per_plan; i += tasks_per_step)
        {
            add_job();
        }
        return run_plan();
    }

private:
    coordinator::fleet fleet_;
    coordinator::task_events events_;
    core::mono_time now_{1000s};
    std::minstd_rand random_;
    int hosts_;
    int jobs_ = 0;
    std::int64_t ends_ = 0;

    std::int64_t elapsed_ms() const
    {
        return std::chrono::duration_cast<core::millis>(now_ - core::mono_time{1000s}).count();
    }

    void add_host(int number)
    {
        coordinator::host_entry h;
        const auto id = "h" + std::to_string(number);
        h.ref = {id, id + ":1", {}};
        h.machine = "of-" + id;
        h.pool = "p" + std::to_string(number % pools);
        h.capacity = {host_cpu, host_memory, 0};
        h.listed = true;
        h.recorded = true;
        h.reachable = true;
        h.last_answer_at = now_;
        h.clock_ms = 1000;
        h.clock_read_at = now_;
        fleet_.hosts[id] = h;
    }

    /// Jobs of two steps, which are due after 2 to 4 s.
    void add_job()
    {
        workflow::step s;
        s.tasks = tasks_per_step;
        s.need = {task_cpu, host_memory / 8, 0};
        s.estimated_run_time = core::millis{600 + 100 * (jobs_ % 7)};
        s.image = "image" + std::to_string(jobs_ % 20);
        auto second = s;
        second.depends_on = {0};
        workflow::job j;
        j.id = "job-" + std::to_string(jobs_);
        j.queue = "q" + std::to_string(jobs_ % pools);
        j.pool = "p" + std::to_string(jobs_ % pools);
        j.stretch = 1.6;
        j.slack = 600ms;
        j.accepted_unix_ms = begin_unix_ms + elapsed_ms();
        j.steps = {s, second};
        ++jobs_;
        coordinator::add_job(fleet_, std::move(j), 1, {}, 0);
    }

    void end_a_run()
    {
        auto it = fleet_.hosts.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_() % static_cast<unsigned>(hosts_)));
        ports::poll_answer p;
        p.call = {ports::runner_verdict::done, 1000 + elapsed_ms()};
        for (const auto& [text, task] : it->second.runs)
        {
            const auto& j = *fleet_.jobs.at(task.job);
            const auto i = workflow::task_index(j.spec, task.occurrence, task.step, task.index);
            const auto run = j.tasks[i].runs.front().number;
            if (p.ended.empty())
            {
                p.ended.push_back({++ends_, text, run, ports::run_end::done, {}});
            }
            else
            {
                p.running.push_back({text, run, {}, 0, 0});
            }
        }
        coordinator::handle_poll_answer(fleet_, it->first, now_, p, now_, events_);
    }

    double run_plan()
    {
        const auto started = std::clock();
        const auto plan =
            coordinator::make_plan(fleet_, now_, begin_unix_ms + elapsed_ms(), true, events_);
        constexpr double milli = 1000.0;
        const double ms = milli * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
        for (const auto& it : plan.starts)
        {
            const ports::runner_answer answer{ports::runner_verdict::done, 1000 + elapsed_ms()};
            coordinator::handle_start_answer(
                fleet_, it.host.id, it.task, it.run, answer, now_, events_);
        }
        events_.clear();
        return ms;
    }
};

struct row
{
    std::string name;
    double median = 0; ///< milliseconds
    double high = 0;   ///< 99th percentile in milliseconds
};

row summarize(const char* name, std::vector<double> all)
{
    constexpr std::size_t percent = 100;
    constexpr std::size_t high = 99;
    std::sort(all.begin(), all.end());
    return {name, all[all.size() / 2], all[all.size() * high / percent]};
}

/// Measures the variants in turn, so that a change of the machine's speed affects all alike.
std::vector<row> measure(int plans, int hosts)
{
    const auto all = variants();
    std::vector<std::unique_ptr<full_fleet>> fleets;
    std::vector<std::vector<double>> times(all.size());
    fleets.reserve(all.size());
    for (const auto& it : all)
    {
        fleets.push_back(std::make_unique<full_fleet>(it.policy, hosts));
    }
    for (int i = 0; i < plans; ++i)
    {
        for (std::size_t k = 0; k < all.size(); ++k)
        {
            times[k].push_back(fleets[k]->measure_plan());
        }
    }
    std::vector<row> out;
    for (std::size_t k = 0; k < all.size(); ++k)
    {
        out.push_back(summarize(all[k].name, times[k]));
    }
    return out;
}

void print_rows(int hosts, const std::vector<row>& rows, nlohmann::json& to)
{
    for (const auto& it : rows)
    {
        const double median = it.median / rows.front().median;
        const double high = it.high / rows.front().high;
        std::printf("%-8d %-10s %10.2f %10.2f %8.2f %8.2f\n",
            hosts,
            it.name.c_str(),
            it.median,
            it.high,
            median,
            high);
        to.push_back({{"policies", it.name},
            {"hosts", hosts},
            {"waiting_tasks", waiting_tasks},
            {"median_ms", it.median},
            {"p99_ms", it.high},
            {"median_ratio", median},
            {"p99_ratio", high}});
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_plan_cost", "Measures the cost of a plan.");
    auto add = options.add_options();
    add("quick", "few plans");
    add("json", "file for the figures", cxxopts::value<std::string>());
    add("h,help", "print this text");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        const int plans = given.count("quick") > 0 ? quick_plans : full_plans;
        auto out = nlohmann::json::array();
        std::printf("%-8s %-10s %10s %10s %8s %8s\n",
            "hosts",
            "policies",
            "median ms",
            "p99 ms",
            "ratio",
            "ratio");
        for (const int hosts : sizes)
        {
            print_rows(hosts, measure(plans, hosts), out);
        }
        if (given.count("json") > 0)
        {
            std::ofstream(given["json"].as<std::string>()) << out.dump(1) << '\n';
        }
        return 0;
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        std::cerr << ec.what() << '\n';
        return 2;
    }
}
