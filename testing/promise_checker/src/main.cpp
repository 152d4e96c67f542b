/// \file
/// promise_checker FOLDER: checks the promises against the records in a folder and prints each
/// breach.

#include "promises.hpp"

#include <array>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::checker;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_unreadable = 2;

constexpr std::array<const char*, 8> titles{"pools stay within their budgets",
    "a host is in exactly one pool",
    "whole and own answers",
    "told not-run was not run",
    "keyed requests and run-once jobs at most once",
    "a leaving target gets nothing new",
    "planned stops cut nothing off",
    "a configuration is in force in time and stays"};

void print(const breach& b)
{
    std::cout << "event=breach promise=" << static_cast<int>(b.which) << " " << b.subject
              << " at_ms=" << b.at_ms << " detail=\"" << b.detail << "\"\n";
}

void print_checked(const records& r, const verdict& v)
{
    std::map<std::string, std::size_t> faults;
    std::map<std::string, std::size_t> outcomes;
    for (const auto& it : r.faults)
    {
        ++faults[it.kind];
    }
    for (const auto& it : r.calls)
    {
        ++outcomes[it.outcome];
    }
    std::cout << "faults caused:";
    for (const auto& [kind, n] : faults)
    {
        std::cout << " " << kind << "=" << n;
    }
    std::cout << "\nchecked: requests=" << v.requests << " keyed=" << v.keyed
              << " calls=" << r.calls.size() << " jobs=" << v.jobs << " run_once=" << v.run_once
              << " task_starts=" << v.starts << " drains=" << v.drains << " reboots=" << v.reboots
              << " moves=" << v.moves << " config_versions=" << v.versions
              << " adoptions=" << v.adoptions << "\nper 1000 calls:";
    for (const auto& [outcome, n] : outcomes)
    {
        std::cout << " " << outcome << "="
                  << static_cast<double>(n) * 1000.0 / static_cast<double>(r.calls.size());
    }
    std::cout << "\n";
}

/// Prints the reasons for which calls were not answered, most frequent first.
void print_reasons(const records& r)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& it : r.calls)
    {
        if (it.outcome != "answered")
        {
            ++counts[it.outcome + (it.attempt.empty() ? "" : ", " + it.attempt) + " (" + it.reason +
                     ")"];
        }
    }
    std::multimap<std::size_t, std::string, std::greater<>> sorted;
    for (const auto& [text, n] : counts)
    {
        sorted.emplace(n, text);
    }
    std::cout << "not answered:\n";
    for (const auto& [n, text] : sorted)
    {
        std::cout << "  " << n << " " << text << "\n";
    }
}

int report(const records& r, const verdict& v)
{
    std::array<std::size_t, titles.size()> broken{};
    for (const auto& it : v.breaches)
    {
        print(it);
        ++broken[static_cast<std::size_t>(it.which) - 1];
    }
    print_checked(r, v);
    print_reasons(r);
    for (std::size_t i = 0; i < titles.size(); ++i)
    {
        std::cout << "promise " << i + 1 << " " << (broken[i] == 0 ? "held" : "BROKEN") << ": "
                  << titles[i]
                  << (broken[i] == 0 ? "" : ", " + std::to_string(broken[i]) + " times") << "\n";
    }
    return v.breaches.empty() ? exit_held : exit_broken;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("promise_checker", "Judges the promises by the records of a run.");
    auto add = options.add_options();
    add("folder", "folder with the records", cxxopts::value<std::string>());
    add("leaving-ms",
        "from a host's mark to its last new request",
        cxxopts::value<std::int64_t>()->default_value("5000"));
    add("in-force-ms",
        "from a configuration's write to all daemons",
        cxxopts::value<std::int64_t>()->default_value("19000"));
    add("old-config-ms",
        "a drain may be decided by a configuration so old",
        cxxopts::value<std::int64_t>()->default_value("5000"));
    add("h,help", "print this text");
    options.parse_positional({"folder"});
    options.positional_help("FOLDER");
    return options;
}

int check(const cxxopts::ParseResult& given)
{
    const auto read = read_records(given["folder"].as<std::string>());
    if (const auto* wrong = std::get_if<core::findings>(&read))
    {
        std::cerr << core::to_text(*wrong);
        return exit_unreadable;
    }
    const auto& all = std::get<records>(read);
    const limits l{given["leaving-ms"].as<std::int64_t>(),
        given["in-force-ms"].as<std::int64_t>(),
        given["old-config-ms"].as<std::int64_t>()};
    return report(all, check_promises(all, l));
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0 || given.count("folder") == 0)
        {
            std::cout << options.help();
            return given.count("help") > 0 ? exit_held : exit_unreadable;
        }
        return check(given);
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        std::cerr << ec.what() << "\n";
        return exit_unreadable;
    }
}
