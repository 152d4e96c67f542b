/// \file
/// Measures the wave policies on virtual time.
#include "fleets.hpp"
#include "rollout.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <limits>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::bench;

constexpr int max_hosts_quick = 100;

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
        {"trouble", r.with == disturbance::correlated ? "correlated" : "none"},
        {"hosts", r.hosts},
        {"maintained", r.done},
        {"ended", r.ended},
        {"roll_out_h", to_json(r.roll_out_h)},
        {"buffer_hosts", to_json(r.buffer_hosts)},
        {"buffer_host_h", to_json(r.buffer_host_h)},
        {"job_moves", to_json(r.job_moves)},
        {"jobs_moved_again", r.jobs_moved_again},
        {"host_moves", r.host_moves},
        {"writes", r.writes},
        {"cut_off", r.cut_off},
        {"violations", r.violations}};
}

void print_header()
{
    std::printf("%-13s %-13s %-10s %9s %6s %7s %6s %9s %6s %6s %6s %6s %6s %7s %6s\n",
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
        "again",
        "writes",
        "broken");
}

void print(const rollout& r)
{
    std::printf("%-13s %-13s %-10s %4d/%4d%s %6.1f %7.2f %6.0f %9.1f %6.2f %6lld %6.0f %6.0f %6lld "
                "%7lld %6zu\n",
        r.fleet.c_str(),
        r.policy.c_str(),
        r.with == disturbance::correlated ? "correlated" : "none",
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
        static_cast<long long>(r.jobs_moved_again),
        static_cast<long long>(r.writes),
        r.violations.size() + static_cast<std::size_t>(r.cut_off));
}

nlohmann::json to_json(const layout_cost& it, const rollout& r)
{
    const double seconds = r.roll_out_h.value * 3600;
    return {{"fleet", r.fleet},
        {"cut", it.document_layout},
        {"documents", it.documents},
        {"largest_bytes", it.largest_bytes},
        {"writes", it.writes},
        {"written_bytes", it.written_bytes},
        {"bytes_per_s", it.written_bytes / seconds},
        {"same_second", it.same_second}};
}

/// Prints the writes of the fastest policy's waves for each layout of the documents.
nlohmann::json print_layouts(const std::vector<rollout>& runs)
{
    auto all = nlohmann::json::array();
    std::printf("\n%-13s %-12s %9s %9s %7s %12s %9s %11s\n",
        "fleet",
        "documents",
        "number",
        "largest B",
        "writes",
        "bytes",
        "bytes/s",
        "same second");
    for (const auto& r : runs)
    {
        if (r.policy != "fastest" || r.with != disturbance::none)
        {
            continue;
        }
        for (const auto& it : r.layout_costs)
        {
            all.push_back(to_json(it, r));
            std::printf("%-13s %-12s %9d %9zu %7lld %12.0f %9.0f %11lld\n",
                r.fleet.c_str(),
                it.document_layout.c_str(),
                it.documents,
                it.largest_bytes,
                static_cast<long long>(it.writes),
                it.written_bytes,
                all.back()["bytes_per_s"].get<double>(),
                static_cast<long long>(it.same_second));
        }
    }
    return all;
}

nlohmann::json measure_rounds()
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

std::vector<rollout> run_waves(int max_hosts, const std::string& only, const work_settings& work)
{
    std::vector<rollout> out;
    print_header();
    for (const auto& shape : all_fleets())
    {
        const bool other = !only.empty() && only != shape.name;
        if (other || count_hosts(shape) > max_hosts)
        {
            continue;
        }
        for (const auto& policy : all_policies(shape))
        {
            for (const auto with : {disturbance::none, disturbance::correlated})
            {
                out.push_back(run_wave(shape, policy, work, with));
                print(out.back());
            }
        }
    }
    return out;
}

int run(const cxxopts::ParseResult& options)
{
    work_settings work;
    work.seed = options["seed"].as<std::uint64_t>();
    const bool quick = options.count("quick") > 0;
    const int max_hosts = quick ? max_hosts_quick : std::numeric_limits<int>::max();
    const auto waves = run_waves(max_hosts, options["fleet"].as<std::string>(), work);
    nlohmann::json out{{"seed", work.seed}, {"runs", nlohmann::json::array()}};
    std::size_t broken = 0;
    for (const auto& it : waves)
    {
        out["runs"].push_back(to_json(it));
        broken += it.violations.size() + static_cast<std::size_t>(it.cut_off);
    }
    out["documents"] = print_layouts(waves);
    out["rounds"] = measure_rounds();
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
        "quick", "no waves over more than 100 hosts")(
        "fleet", "only waves over this one", cxxopts::value<std::string>()->default_value(""))(
        "seed", "of the work", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    return run(parsed);
}
