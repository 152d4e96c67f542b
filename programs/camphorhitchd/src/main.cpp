/// \file
/// camphorhitchd: the daemon that runs on every entry host.

#include "hosted_node.hpp"
#include "node.hpp"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

using namespace camphorhitch;

/// Exit codes, documented in docs/operators/daemon.md.
enum exit_code : int
{
    exit_ok = 0,
    exit_usage = 2,       ///< the command line is wrong
    exit_settings = 3,    ///< the settings are wrong; findings are printed
    exit_cannot_start = 4 ///< an address can't be opened, or a library failed
};

/// \param read the settings, or the findings about them
/// \param open makes the node from the settings
template <class Settings, class Open>
int check_and_run(const std::string& file,
    const std::variant<Settings, core::findings>& read,
    bool only_check,
    Open open)
{
    if (const auto* findings = std::get_if<core::findings>(&read))
    {
        std::cerr << core::to_text(*findings);
        return exit_settings;
    }
    if (only_check)
    {
        std::cout << file << ": good\n";
        return exit_ok;
    }
    auto opened = open(std::get<Settings>(read));
    if (!core::is_ok(opened))
    {
        std::cerr << core::failure(opened).message << '\n';
        return exit_cannot_start;
    }
    return core::value(opened)->run();
}

int run_node(const std::string& file, bool hosted, bool only_check)
{
    std::ifstream in(file);
    if (!in)
    {
        std::cerr << file << ": can't be read\n";
        return exit_settings;
    }
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (hosted)
    {
        return check_and_run(file,
            settings::read_hosted_settings(text, file),
            only_check,
            [&](const settings::hosted_settings& s) { return daemon::hosted_node::open(s, file); });
    }
    return check_and_run(file,
        settings::read_daemon_settings(text, file),
        only_check,
        [](const settings::daemon_settings& s) { return daemon::node::open(s); });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("camphorhitchd", "Fleet capacity and maintenance manager.");
    auto add = options.add_options();
    add("settings", "settings file (JSON)", cxxopts::value<std::string>());
    add("hosted", "run on a hosting platform, which keeps jobs and lists hosts");
    add("check", "check the settings and end");
    add("h,help", "print this text");
    add("version", "print the version");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "camphorhitchd 0.1.0\n";
            return exit_ok;
        }
        if (given.count("settings") == 0)
        {
            std::cerr << "--settings FILE is missing\n";
            return exit_usage;
        }
        return run_node(given["settings"].as<std::string>(),
            given.count("hosted") > 0,
            given.count("check") > 0);
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        std::cerr << ec.what() << '\n';
        return exit_usage;
    }
}
