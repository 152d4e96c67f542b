/// \file
/// Compares placement policies over many days on virtual time.
#include "day_sim/day.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <vector>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::day_sim;

constexpr int full_days = 40;
constexpr int quick_days = 2;
/// Days of a small fleet per day of a large one; a day of a large fleet takes much longer to
/// simulate.
constexpr int small_days_per_large_day = 20;
constexpr int large_fleet = 100; // hosts

/// One measurement for each day, in the order of the seeds.
using by_day = std::vector<double>;

struct row
{
    std::string fleet;
    std::string policy;
    by_day in_time;    ///< share of the jobs completed within their objective
    by_day host_share; ///< share of all host time that hosts spent in pools
    by_day moves;
    double max_plan_ms = 0;
};

double mean(const by_day& all)
{
    double sum = 0;
    for (const double it : all)
    {
        sum += it;
    }
    return all.empty() ? 0 : sum / static_cast<double>(all.size());
}

/// \return mean and standard error of the differences over the same days.
std::pair<double, double> difference(const by_day& a, const by_day& b)
{
    by_day d;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        d.push_back(a[i] - b[i]);
    }
    const double m = mean(d);
    double squares = 0;
    for (const double it : d)
    {
        squares += (it - m) * (it - m);
    }
    const auto n = static_cast<double>(d.size());
    return {m, n > 1 ? std::sqrt(squares / (n - 1) / n) : 0};
}

std::vector<day_policy> policies()
{
    std::vector<day_policy> all;
    all.push_back({"in_use", {}, true, {}, {}});
    auto it = all.front();
    it.name = "no_moves";
    it.moves = false;
    all.push_back(it);
    it = all.front();
    it.name = "least_used";
    it.placement.hosts = coordinator::host_choice::least_used;
    all.push_back(it);
    it = all.front();
    it.name = "first_come";
    it.placement.jobs = coordinator::job_order::first_come;
    all.push_back(it);
    it = all.front();
    it.name = "declared_times";
    it.placement.uses_measured_run_times = false;
    all.push_back(it);
    it = all.front();
    it.name = "no_foresight";
    it.demand.early_phase_share = 0;
    all.push_back(it);
    it = all.front();
    it.name = "never_rests";
    it.rebalance.standby_delay = core::millis{1'000'000};
    all.push_back(it);
    it = all.front();
    it.name = "forecasts";
    it.placement.forecasts = true;
    it.demand.discounts_late_work = true;
    all.push_back(it);
    for (const auto rule :
        {coordinator::allocation_rule::max_min, coordinator::allocation_rule::marginal})
    {
        it = all.front();
        it.name = std::string{core::name_of(coordinator::allocation_rule_names, rule)} + "_hosts";
        it.rebalance.allocation = rule;
        all.push_back(it);
    }
    return all;
}

/// Policies that differ when memory is scarce.
std::vector<day_policy> memory_policies()
{
    using coordinator::need_rule;
    using coordinator::packing_rule;
    std::vector<day_policy> all;
    for (const auto needs : {need_rule::cores, need_rule::vector})
    {
        for (const auto& packing : coordinator::packing_rule_names)
        {
            day_policy it{"", {}, true, {}, {}};
            it.name = std::string{needs == need_rule::vector ? "vector " : "cores "} +
                      std::string{packing.name};
            it.placement.packing = packing.value;
            it.demand.needs = needs;
            all.push_back(it);
        }
    }
    return all;
}

struct named_shape
{
    const char* name;
    day_shape shape;
    bool memory_is_scarce = false; ///< memory_policies() are compared instead of policies()
};

std::vector<named_shape> shapes()
{
    std::vector<named_shape> all{
        {"48 hosts", {}}, {"48 hosts, 20 crashes", {}}, {"48 hosts, short", {}}};
    all[1].shape.crashes_per_day = 20;
    all[2].shape.busy_cores = 1300;
    named_shape large{"349 hosts", {}};
    large.shape.hosts = 349;
    large.shape.busy_cores = 6500;
    large.shape.quiet_cores = 260;
    all.push_back(large);
    named_shape memory{"48 hosts, memory", {}, true};
    memory.shape.busy_cores = 350;
    memory.shape.large_memory_share = 0.5;
    all.push_back(memory);
    return all;
}

row run_days(const named_shape& fleet, const day_policy& policy, int days)
{
    row out{fleet.name, policy.name, {}, {}, {}, 0};
    const auto simulated = fleet.shape.length + fleet.shape.drain_time;
    const double all_seconds = fleet.shape.hosts * std::chrono::duration<double>(simulated).count();
    for (int i = 1; i <= days; ++i)
    {
        const auto r = simulate_day(fleet.shape, policy, static_cast<std::uint64_t>(i));
        out.in_time.push_back(static_cast<double>(r.in_time) / std::max(r.jobs, 1));
        out.host_share.push_back(r.host_seconds / all_seconds);
        out.moves.push_back(r.moves);
        out.max_plan_ms = std::max(out.max_plan_ms, r.max_plan_ms);
    }
    return out;
}

nlohmann::json print(const row& r, const row& base)
{
    const auto [gain, error] = difference(r.in_time, base.in_time);
    std::printf("%-21s %-15s %8.3f %+8.3f %6.3f %8.3f %7.0f %8.2f\n",
        r.fleet.c_str(),
        r.policy.c_str(),
        mean(r.in_time),
        gain,
        error,
        mean(r.host_share),
        mean(r.moves),
        r.max_plan_ms);
    return {{"fleet", r.fleet},
        {"policy", r.policy},
        {"days", r.in_time.size()},
        {"in_time", mean(r.in_time)},
        {"difference", gain},
        {"standard_error", error},
        {"host_share", mean(r.host_share)},
        {"moves", mean(r.moves)},
        {"longest_plan_ms", r.max_plan_ms}};
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bench_placement_days", "Compares policies of placement.");
    auto add = options.add_options();
    add("days", "days of each policy and fleet", cxxopts::value<int>());
    add("quick", "few days");
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
        const bool quick = given.count("quick") > 0;
        const int usual = quick ? quick_days : full_days;
        const int days = given.count("days") > 0 ? given["days"].as<int>() : usual;
        std::printf("%-21s %-15s %8s %8s %6s %8s %7s %8s\n",
            "fleet",
            "policy",
            "in time",
            "diff",
            "s.e.",
            "in pools",
            "moves",
            "plan ms");
        auto out = nlohmann::json::array();
        for (const auto& fleet : shapes())
        {
            if (quick && fleet.shape.hosts > large_fleet)
            {
                continue;
            }
            row base;
            for (const auto& it : fleet.memory_is_scarce ? memory_policies() : policies())
            {
                const bool large = fleet.shape.hosts > large_fleet;
                const int n = large ? std::max(days / small_days_per_large_day, 1) : days;
                auto r = run_days(fleet, it, n);
                base = base.policy.empty() ? r : base;
                out.push_back(print(r, base));
            }
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
