/// \file
/// Measures the wave policies on virtual time.
#include "fleets.hpp"
#include "rollout.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::bench;

double ratio(const measure& m)
{
    return m.bound > 0 ? m.value / m.bound : 0;
}

nlohmann::json to_json(const measure& m)
{
    return {{"value", m.value}, {"bound", m.bound}, {"ratio", ratio(m)}};
}

nlohmann::json to_json(const rollout& r)
{
    return {{"fleet", r.fleet},
        {"policy", r.policy},
        {"trouble", r.with == trouble::correlated ? "correlated" : "none"},
        {"hosts", r.hosts},
        {"maintained", r.done},
        {"ended", r.ended},
        {"roll_out_h", to_json(r.roll_out_h)},
        {"buffer_hosts", to_json(r.buffer_hosts)},
        {"buffer_host_h", to_json(r.buffer_host_h)},
        {"job_moves", to_json(r.job_moves)},
        {"host_moves", r.host_moves},
        {"writes", r.writes},
        {"cut_off", r.cut_off},
        {"violations", r.violations}};
}

void print_header()
{
    std::printf("%-13s %-13s %-10s %9s %6s %7s %6s %9s %6s %6s %6s %6s %7s %6s\n",
        "fleet",
        "policy",
        "trouble",
        "maintained",
        "hours",
        "x bound",
        "buffer",
        "host-h",
        "xbound",
        "hmoves",
        "jmoves",
        "bound",
        "writes",
        "broken");
}

void print(const rollout& r)
{
    std::printf(
        "%-13s %-13s %-10s %4d/%4d%s %6.1f %7.2f %6.0f %9.1f %6.2f %6lld %6.0f %6.0f %7lld %6zu\n",
        r.fleet.c_str(),
        r.policy.c_str(),
        r.with == trouble::correlated ? "correlated" : "none",
        r.done,
        r.hosts,
        r.ended ? " " : "!",
        r.roll_out_h.value,
        ratio(r.roll_out_h),
        r.buffer_hosts.value,
        r.buffer_host_h.value,
        ratio(r.buffer_host_h),
        static_cast<long long>(r.host_moves),
        r.job_moves.value,
        r.job_moves.bound,
        static_cast<long long>(r.writes),
        r.violations.size() + static_cast<std::size_t>(r.cut_off));
}

nlohmann::json measure_rounds(int largest)
{
    auto all = nlohmann::json::array();
    std::printf("\n%-13s %-13s %6s %6s %14s %14s\n",
        "fleet",
        "policy",
        "hosts",
        "pools",
        "all pools us",
        "the wave us");
    for (const auto& shape : all_fleets())
    {
        for (const auto& policy : all_policies(shape))
        {
            if (count_hosts(shape) > largest)
            {
                continue;
            }
            const auto it = time_round(shape, policy);
            std::printf("%-13s %-13s %6d %6d %14.0f %14.0f\n",
                it.fleet.c_str(),
                policy.name.c_str(),
                it.hosts,
                it.pools,
                it.all_pools_us,
                it.wave_us);
            all.push_back({{"fleet", it.fleet},
                {"policy", policy.name},
                {"hosts", it.hosts},
                {"pools", it.pools},
                {"all_pools_us", it.all_pools_us},
                {"wave_us", it.wave_us}});
        }
    }
    return all;
}

int run(const cxxopts::ParseResult& options)
{
    work_settings work;
    work.seed = options["seed"].as<std::uint64_t>();
    const int largest = options["largest"].as<int>();
    auto runs = nlohmann::json::array();
    std::size_t broken = 0;
    const bool rounds_only = options.count("rounds-only") > 0;
    print_header();
    for (const auto& shape : all_fleets())
    {
        for (const auto& policy : all_policies(shape))
        {
            for (const auto with : {trouble::none, trouble::correlated})
            {
                const auto only = options["fleet"].as<std::string>();
                const bool other = !only.empty() && only != shape.name;
                if (count_hosts(shape) > largest || rounds_only || other)
                {
                    continue;
                }
                const auto r = run_wave(shape, policy, work, with);
                print(r);
                runs.push_back(to_json(r));
                broken += r.violations.size() + static_cast<std::size_t>(r.cut_off);
            }
        }
    }
    nlohmann::json out{{"seed", work.seed}, {"runs", runs}, {"rounds", measure_rounds(largest)}};
    if (options.count("json") > 0)
    {
        std::ofstream{options["json"].as<std::string>()} << out.dump(2) << "\n";
    }
    return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"bench_wave_policies", "wave policies on virtual time"};
    options.add_options()("json", "write the figures to this file", cxxopts::value<std::string>())(
        "largest", "most hosts of a fleet", cxxopts::value<int>()->default_value("1100"))(
        "seed", "of the work", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "fleet", "only this one", cxxopts::value<std::string>()->default_value(""))(
        "rounds-only", "only the CPU time of decisions")("help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    return run(parsed);
}
