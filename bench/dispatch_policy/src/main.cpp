/// \file
/// Compares policies that share the targets' slots, on virtual time with the same load and seed.
#include "policies.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::bench;

constexpr double us_per_ms = 1000;

double ms(std::int64_t us)
{
    return static_cast<double>(us) / us_per_ms;
}

nlohmann::json to_json(const class_result& it)
{
    return {{"offered", it.offered},
        {"answered", it.answered},
        {"failed", it.failed},
        {"refused", it.refused},
        {"p50_ms", ms(quantile(it.latencies_us, 0.5))},
        {"p99_ms", ms(quantile(it.latencies_us, 0.99))},
        {"p999_ms", ms(quantile(it.latencies_us, 0.999))}};
}

nlohmann::json to_json(const run_result& it, const std::string& scenario)
{
    return {{"scenario", scenario},
        {"policy", it.policy},
        {"load", it.load},
        {"quick", to_json(it.quick)},
        {"long", to_json(it.long_running)},
        {"most_at_once", it.max_at_once},
        {"useful_share", it.useful_share},
        {"sends", it.sends},
        {"sends_to_failing", it.sends_to_failing}};
}

double per_thousand(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 1000.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(const run_result& it, const std::string& scenario)
{
    const auto& q = it.quick;
    const auto& l = it.long_running;
    std::printf("%-10s %-13s %4.0f%% %8.1f %8.1f %8.1f %7.1f %7.1f %8.1f %7.1f %7.1f %6d %6.1f%%\n",
        scenario.c_str(),
        it.policy.c_str(),
        it.load * 100,
        ms(quantile(q.latencies_us, 0.5)),
        ms(quantile(q.latencies_us, 0.99)),
        ms(quantile(q.latencies_us, 0.999)),
        per_thousand(q.refused, q.offered),
        per_thousand(q.failed, q.offered),
        ms(quantile(l.latencies_us, 0.5)),
        per_thousand(l.refused, l.offered),
        per_thousand(l.failed, l.offered),
        it.max_at_once,
        it.useful_share * 100);
}

void print_header()
{
    std::printf("%-10s %-13s %5s %8s %8s %8s %7s %7s %8s %7s %7s %6s %7s\n",
        "scenario",
        "policy",
        "load",
        "q p50ms",
        "q p99ms",
        "q p99.9",
        "q ref",
        "q fail",
        "l p50ms",
        "l ref",
        "l fail",
        "most",
        "useful");
}

using policies = std::vector<run_result (*)(const load_settings&)>;

const policies all_policies = {run_permits, run_subsets, run_target_queues, run_baseline};

nlohmann::json measure(const std::string& scenario,
    load_settings load,
    const std::vector<double>& loads,
    const policies& compared = all_policies)
{
    auto out = nlohmann::json::array();
    for (const auto it : loads)
    {
        load.load = it;
        for (const auto& policy : compared)
        {
            const auto result = policy(load);
            print(result, scenario);
            out.push_back(to_json(result, scenario));
        }
    }
    return out;
}

/// Most work is quick and has a deadline of a few times its run time.
load_settings urgent(load_settings it)
{
    it.quick_work = 0.95;
    it.quick_deadline = core::millis{150};
    return it;
}

/// One target fails every request immediately.
load_settings failing(load_settings it)
{
    it.failing_targets = 1;
    return it;
}

/// One connection in twenty stops answering; a connection carries about fifty requests.
load_settings silent(load_settings it)
{
    it.lost_send_share = 0.05 / 50;
    return it;
}

void append(nlohmann::json& all, const nlohmann::json& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

int run(const cxxopts::ParseResult& options)
{
    load_settings load;
    load.seed = options["seed"].as<std::uint64_t>();
    load.measured = core::millis{options["seconds"].as<std::int64_t>() * 1000};
    load.message_delay = core::micros{options["delay-us"].as<std::int64_t>()};
    print_header();
    nlohmann::json out;
    out["seed"] = load.seed;
    out["runs"] = nlohmann::json::array();
    append(out["runs"], measure("mixed", load, {0.05, 0.3, 0.7, 0.95, 1.0, 1.1, 1.3}));
    append(out["runs"], measure("urgent", urgent(load), {0.3, 0.95, 1.3, 2.0}));
    append(out["runs"], measure("fail_all", failing(load), {0.7}));
    append(out["runs"],
        measure("silent",
            silent(load),
            {0.3, 0.7},
            {run_permits, run_permits_without_timeouts, run_target_queues, run_baseline}));
    if (options.count("json") > 0)
    {
        std::ofstream{options["json"].as<std::string>()} << out.dump(2) << "\n";
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"bench_dispatch_policy", "ways to share the targets' slots"};
    auto add = options.add_options();
    add("json", "write the figures to this file", cxxopts::value<std::string>());
    add("seconds",
        "virtual time measured in each run",
        cxxopts::value<std::int64_t>()->default_value("60"));
    add("seed", "of the load", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("delay-us",
        "of a message between two hosts, one way",
        cxxopts::value<std::int64_t>()->default_value("1000"));
    add("help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    return run(parsed);
}
