#include "options.hpp"

#include <string>
#include <vector>

namespace camphorhitch::client
{

namespace
{

void add_connection(cxxopts::OptionAdder& add)
{
    add("s,server",
        "operators' address of a daemon, ip:port; may be repeated, tried in order",
        cxxopts::value<std::vector<std::string>>());
    add("settings", "file of addresses, token and timeout (JSON)", cxxopts::value<std::string>());
    add("token-file", "file that holds the operators' token", cxxopts::value<std::string>());
    add("timeout-ms",
        "maximum time for one call in ms; 10000 unless the settings differ",
        cxxopts::value<int>());
}

void add_input(cxxopts::OptionAdder& add)
{
    add("f,file",
        "read statements from a file; - is standard input",
        cxxopts::value<std::string>());
    add("apply",
        "apply a file of configuration and hosts; - is standard input",
        cxxopts::value<std::string>());
    add("command-id",
        "id of the command; repeats with the same id take effect once",
        cxxopts::value<std::string>()->default_value(""));
    add("statements", "statements, separated by ;", cxxopts::value<std::vector<std::string>>());
}

void add_output(cxxopts::OptionAdder& add)
{
    add("json", "print JSON instead of tables");
    add("wait", "wait until a command is in force everywhere, or a wave has ended");
    add("wait-seconds",
        "maximum time to wait, in seconds",
        cxxopts::value<int>()->default_value("600"));
    add("watch", "repeat a query every N seconds", cxxopts::value<int>()->default_value("0"));
    add("h,help", "print this help");
    add("version", "print the version");
}

} // namespace

cxxopts::Options describe_options()
{
    cxxopts::Options options("camphorhitch", "Queries and commands for a camphorhitch fleet.");
    auto add = options.add_options();
    add_connection(add);
    add_input(add);
    add_output(add);
    options.parse_positional({"statements"});
    options.positional_help("'STATEMENT; ...'");
    return options;
}

} // namespace camphorhitch::client
