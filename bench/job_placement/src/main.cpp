/// \file
/// Measures the placement of jobs on virtual time, in comparison with first fit by declared size.
#include "parts.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace camphorhitch::bench
{

void print_goal(const char* what, double measured, const char* relation, double goal, bool met)
{
    std::printf(
        "goal: %s %.3g %s %.3g: %s\n", what, measured, relation, goal, met ? "met" : "NOT MET");
}

} // namespace camphorhitch::bench

int main(int argc, char** argv)
{
    using namespace camphorhitch::bench;
    cxxopts::Options options{"bench_job_placement", "placement of jobs"};
    options.add_options()("json", "write the figures to this file", cxxopts::value<std::string>())(
        "quick", "shorter runs")("part",
        "one of rounds, classes, sizes, writes, faults; all of them "
        "without it",
        cxxopts::value<std::string>()->default_value(""))("seed",
        "of the load",
        cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    const bench_settings settings{parsed["seed"].as<std::uint64_t>(), parsed.count("quick") > 0};
    const std::string part = parsed["part"].as<std::string>();
    nlohmann::json out;
    out["seed"] = settings.seed;
    const auto run = [&](const char* name, nlohmann::json (*measure)(const bench_settings&))
    {
        if (part.empty() || part == name)
        {
            out[name] = measure(settings);
        }
    };
    run("rounds", measure_rounds);
    run("classes", measure_classes);
    run("sizes", measure_sizes);
    run("writes", measure_writes);
    run("faults", measure_faults);
    if (parsed.count("json") > 0)
    {
        std::ofstream{parsed["json"].as<std::string>()} << out.dump(2) << "\n";
    }
    return 0;
}
