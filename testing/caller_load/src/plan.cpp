#include "plan.hpp"

#include <cxxopts.hpp>
#include <sstream>

namespace camphorhitch::load
{

namespace
{

cxxopts::Options make_options()
{
    cxxopts::Options options("caller_load", "A bounded load of callers.");
    auto add = options.add_options();
    add("entries", "ip:port,...", cxxopts::value<std::vector<std::string>>());
    add("services", "names", cxxopts::value<std::vector<std::string>>());
    add("mix", "class=weight@delay_ms,...", cxxopts::value<std::vector<std::string>>());
    add("keyed", "share with an idempotency key", cxxopts::value<double>()->default_value("0.2"));
    add("rate", "requests per second", cxxopts::value<double>()->default_value("100"));
    add("seconds", "length", cxxopts::value<double>()->default_value("5"));
    add("threads", "callers", cxxopts::value<int>()->default_value("16"));
    add("repeats", "most repeats of a request", cxxopts::value<int>()->default_value("4"));
    add("timeout-ms", "most time of a call", cxxopts::value<int>()->default_value("15000"));
    add("repeat-pause-ms",
        "before the first repeat; grows",
        cxxopts::value<int>()->default_value("100"));
    add("id-prefix", "of request ids", cxxopts::value<std::string>()->default_value("r"));
    add("direct", "entries are targets");
    add("seed", "of the schedule", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("record",
        "file for one JSON line a call",
        cxxopts::value<std::string>()->default_value(""));
    add("stop-file", "end when it exists", cxxopts::value<std::string>()->default_value(""));
    add("h,help", "print this text");
    return options;
}

bool read_kind(const std::string& text, request_kind& out)
{
    std::istringstream in(text);
    char at = 0;
    return std::getline(in, out.name, '=') && (in >> out.weight >> at >> out.delay_ms) && at == '@';
}

void read_mix(const cxxopts::ParseResult& given, plan& out, core::findings& wrong)
{
    if (given.count("mix") == 0)
    {
        return;
    }
    out.kinds.clear();
    for (const auto& it : given["mix"].as<std::vector<std::string>>())
    {
        request_kind one;
        if (!read_kind(it, one))
        {
            wrong.push_back({{"--mix", "", 0, 0}, "not class=weight@delay_ms: " + it, ""});
        }
        out.kinds.push_back(one);
    }
}

parsed_plan to_plan(const cxxopts::ParseResult& given)
{
    plan out;
    core::findings wrong;
    if (given.count("entries") == 0)
    {
        wrong.push_back({{"--entries", "", 0, 0}, "missing", ""});
    }
    else
    {
        out.entries = given["entries"].as<std::vector<std::string>>();
    }
    if (given.count("services") > 0)
    {
        out.services = given["services"].as<std::vector<std::string>>();
    }
    read_mix(given, out, wrong);
    out.keyed = given["keyed"].as<double>();
    out.rate = given["rate"].as<double>();
    out.seconds = given["seconds"].as<double>();
    out.threads = given["threads"].as<int>();
    out.max_repeats = given["repeats"].as<int>();
    out.timeout_ms = given["timeout-ms"].as<int>();
    out.repeat_delay_ms = given["repeat-pause-ms"].as<int>();
    out.id_prefix = given["id-prefix"].as<std::string>();
    out.direct = given.count("direct") > 0;
    out.seed = given["seed"].as<std::uint64_t>();
    out.record = given["record"].as<std::string>();
    out.stop_file = given["stop-file"].as<std::string>();
    if (out.rate <= 0 || out.threads <= 0 || out.seconds <= 0)
    {
        wrong.push_back(
            {{"command line", "", 0, 0}, "rate, threads, seconds must be positive", ""});
    }
    if (out.services.empty() && !out.direct)
    {
        wrong.push_back({{"--services", "", 0, 0}, "missing", ""});
    }
    if (!wrong.empty())
    {
        return wrong;
    }
    return out;
}

} // namespace

parsed_plan read_plan(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            return options.help();
        }
        return to_plan(given);
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        return core::findings{{{"command line", "", 0, 0}, ec.what(), ""}};
    }
}

} // namespace camphorhitch::load
